package node_test

import (
	"sync"
	"testing"
	"time"

	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

func TestRelayEngineDrainUnderLoad(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		requests := make([]platform.Request, 200)
		for k := range requests {
			requests[k] = harness.newRequest([]string{"chat", "commit"}[i%2])
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, request := range requests {
				select {
				case <-stop:
					return
				default:
					harness.send(request)
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	harness.discovery.SetState("w0", "draining")
	harness.discovery.SetState("r0", "draining")
	time.Sleep(500 * time.Millisecond)
	harness.discovery.SetState("w0", "removed")
	engines["w0"].Stop()
	// A new engine gets a new id, and an address that another engine may have had.
	n := harness.platform.StartEngine("w2", "write")
	harness.discovery.Update("w2", func(x *platform.Endpoint) {
		*x = platform.Endpoint{ID: "w2", Address: n.Address(), Zone: "z", Kind: "write", State: "up", Weight: 1,
			Started: time.Now().UnixMilli()}
	})
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	harness.requireNoViolations()
}

// Discovery sends invalid lists, does not respond, or refuses connections. The node must serve with the latest valid list. When
// discovery works again, an engine that it reports as draining must receive no attempt from 0.6 s on.
func TestRelayServesDuringDiscoveryFaults(t *testing.T) {
	harness, _ := newRelayHarness(t, 64, 256, "r0 read", "w0 write", "w1 write")
	requireServed := func(what string) {
		t.Helper()
		for range 3 {
			if result := harness.send(harness.newRequest("chat")); result.Outcome != record.Served {
				t.Errorf("discovery %s: got %+v, want it served", what, result)
			}
		}
	}
	requireServed("healthy")
	for _, invalidList := range []string{"{", `{"version":"x"}`, `{"version":-1,"full":true,"servers":[]}`,
		`{"version":9,"full":true,"servers":[{"id":"","state":"up"}]}`,
		`{"version":9,"full":true,"servers":[{"id":"w0","state":"sideways"}]}`} {
		harness.discovery.SetFault(invalidList, false)
		time.Sleep(20 * time.Millisecond)
		requireServed(invalidList)
	}
	harness.discovery.SetFault("", true)
	requireServed("not responding")
	harness.discovery.Close()
	requireServed("down")
	harness.discovery.SetFault("", false)
	harness.discovery.Listen()
	harness.writeConfig(64, 256)
	cfg, err := relay.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": harness.configFile}[name] })
	if err != nil {
		t.Fatal(err)
	}
	harness.node.Reload(cfg)
	harness.discovery.SetState("w0", "draining")
	at := time.Now()
	harness.eventually("w0 receives no more attempts", func() bool {
		harness.send(harness.newRequest("chat"))
		last := 0.0
		for _, x := range harness.log.All() {
			if x.Kind == record.AttemptArrived && x.Engine == "w0" {
				last = max(last, x.T)
			}
		}
		return time.Since(at) > time.Second && float64(at.UnixNano())/1e9+0.6 > last
	})
	harness.requireNoViolations()
}
