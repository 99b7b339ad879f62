package node_test

import (
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// A client that does not take its stream holds up no other: its socket is held at a gate while others are served whole.
func TestRelayStreamsDoNotWaitForASlowNeighbour(t *testing.T) {
	g := newGate(t, "op1.2 ")
	s, e := newStageOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
	e["w0"].TokenInterval = 5 * time.Millisecond
	slow := s.ask("chat")
	slow.ResponseTokens = 20
	held := make(chan platform.Response, 1)
	go func() { held <- s.do(slow) }()
	<-g.reached
	for range 4 {
		a := s.ask("chat")
		a.ResponseTokens = 20
		if r := s.do(a); r.Outcome != record.Served || !r.Complete {
			t.Errorf("got %+v, want it served beside a slow client", r)
		}
	}
	select {
	case r := <-held:
		t.Fatalf("the slow client was answered: %+v", r)
	default:
	}
	close(g.opened)
	if r := <-held; r.Outcome != record.Served || r.Text != platform.ResponseText(slow.Operation, slow.ResponseTokens) {
		t.Errorf("got %+v, want its stream once it is taken", r)
	}
	s.lawful()
}

// Many nodes that are started together while discovery says nothing are ready by the list that they knew.
func TestRelayNodesAreReadyWhileDiscoveryIsSilent(t *testing.T) {
	const nodes = 300
	p := platform.New("n0", &record.Log{})
	d := p.StartDiscovery(p.StartEngine("r0", "read"), p.StartEngine("w0", "write"))
	defer func() { d.Close(); p.Stop() }()
	known := d.Snapshot()
	d.SetFault("", true)
	file := t.TempDir() + "/config.json"
	if err := platform.WriteConfig(file, platform.ConfigText(platform.SettingsJSON, "127.0.0.1:0", d.Address(), known, 32, 256)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	var mu sync.Mutex
	var all []*node.RelayNode
	late := 0
	var wg sync.WaitGroup
	for range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cfg, err := relay.Load(func(string) string { return file })
			if err != nil {
				t.Error(err)
				return
			}
			n, err := node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
			if err != nil {
				t.Error(err)
				return
			}
			for !n.Ready() && time.Since(start) < 30*time.Second {
				time.Sleep(time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, n)
			if time.Since(start) > 10*time.Second {
				late++
			}
		}()
	}
	wg.Wait()
	if len(all) < nodes || late > nodes/10 {
		t.Errorf("%d of %d nodes have started, %d of them later than 10 s", len(all), nodes, late)
	}
	for _, n := range all {
		wg.Add(1)
		go func() { defer wg.Done(); n.Stop() }()
	}
	wg.Wait()
}
