package node_test

import (
	"sync"
	"testing"
	"time"

	"dillroute/internal/node"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// A client that does not read its stream must not delay other clients. Its socket is blocked by a write gate while others are served
// completely.
func TestRelaySlowClientDoesNotDelayOtherStreams(t *testing.T) {
	g := newWriteGate(t, "op1.2 ")
	harness, engines := newRelayHarnessOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
	engines["w0"].TokenInterval = 5 * time.Millisecond
	slow := harness.newRequest("chat")
	slow.ResponseTokens = 20
	slowResult := make(chan platform.Response, 1)
	go func() { slowResult <- harness.send(slow) }()
	<-g.reached
	for range 4 {
		request := harness.newRequest("chat")
		request.ResponseTokens = 20
		if result := harness.send(request); result.Outcome != record.Served || !result.Complete {
			t.Errorf("got %+v, want it served while another client does not read", result)
		}
	}
	select {
	case result := <-slowResult:
		t.Fatalf("got %+v for the slow client while its socket is blocked, want none", result)
	default:
	}
	close(g.opened)
	if result := <-slowResult; result.Outcome != record.Served || result.Text != platform.ResponseText(slow.Operation,
		slow.ResponseTokens) {
		t.Errorf("got %+v, want the complete stream after its socket is unblocked", result)
	}
	harness.requireNoViolations()
}

// Nodes that start together while discovery does not respond must become ready with the endpoint list in their configuration, within 10 s
// for at least nine tenths of them.
func TestRelayNodesBecomeReadyWithoutDiscovery(t *testing.T) {
	const nodes = 300
	p := platform.New("n0", &record.Log{})
	d := p.StartDiscovery(p.StartEngine("r0", "read"), p.StartEngine("w0", "write"))
	defer func() { d.Close(); p.Stop() }()
	known := d.Snapshot()
	d.SetFault("", true)
	file := t.TempDir() + "/config.json"
	if err := platform.WriteConfig(file, platform.ConfigText(platform.SettingsJSON, "127.0.0.1:0", d.Address(), known, 32,
		256)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	var mu sync.Mutex
	var all []*node.RelayNode
	startedLate := 0
	var wg sync.WaitGroup
	for range nodes {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n, err := loadAndStart(file)
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
				startedLate++
			}
		}()
	}
	wg.Wait()
	if len(all) < nodes || startedLate > nodes/10 {
		t.Errorf("got %d of %d nodes started, %d of them after more than 10 s", len(all), nodes, startedLate)
	}
	for _, n := range all {
		wg.Add(1)
		go func() { defer wg.Done(); n.Stop() }()
	}
	wg.Wait()
}
