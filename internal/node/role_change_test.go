package node_test

import (
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// restartAs restarts engines with another role. The endpoint list still names the role from before.
func (h *relayHarness) restartAs(role string, engines ...*platform.Engine) {
	h.t.Helper()
	for _, e := range engines {
		e.SetLocalPrefill(true)
		if err := e.RestartAs(role); err != nil {
			h.t.Fatal(err)
		}
	}
}

// requireServedOnce sends a request, which must be served completely and run once.
func (h *relayHarness) requireServedOnce(class string) {
	h.t.Helper()
	request := h.newRequest(class)
	result := h.send(request)
	if result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation, request.ResponseTokens) {
		h.t.Errorf("%s: got %+v, want it served unchanged", class, result)
	}
	if runs := h.countRecords(record.EffectStarted, request.Operation); runs != 1 {
		h.t.Errorf("%s %s ran %d times, want once", class, request.Operation, runs)
	}
}

// lastPrefillEngine returns the engine that received the latest prefill.
func (h *relayHarness) lastPrefillEngine() (engine string) {
	for _, x := range h.log.All() {
		if x.Kind == record.AttemptArrived && x.Note == "prefill" {
			engine = x.Engine
		}
	}
	return engine
}

// A prefill engine was restarted as one that runs requests before the endpoint list said so: a request that must never run twice ran there
// and at a second engine. The client must get the stream of the first.
func TestRelayUnsafeRequestRunsOnceAtPrefillEngineThatDecodes(t *testing.T) {
	for _, role := range []string{"write", "both"} {
		t.Run(role, func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
			for range 3 {
				harness.requireServedOnce("commit")
			}
			harness.restartAs(role, engines["r0"], engines["r1"])
			for range 6 {
				harness.requireServedOnce("commit")
				harness.requireServedOnce("chat")
			}
			harness.requireNoViolations()
		})
	}
}

// A prefill engine that has become one that runs requests fails after it has run one. The request must fail and must not run a second time,
// whatever came back.
func TestRelayUnsafeRequestIsNotRepeatedAfterFaultOfPrefillEngineThatDecodes(t *testing.T) {
	for _, fault := range []platform.Fault{platform.InternalError, platform.Unavailable, platform.CloseBeforeResponse,
		platform.GarbageHead, platform.MalformedHead, platform.EndlessHead, platform.CloseMidStream, platform.StallMidStream,
		platform.MalformedChunkSize, platform.NoFinalEvent} {
		t.Run(string(fault), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
			for range 3 {
				harness.requireServedOnce("commit")
			}
			harness.restartAs("both", engines["r0"], engines["r1"])
			engines["r0"].QueueFaults(fault, fault, fault, fault)
			engines["r1"].QueueFaults(fault, fault, fault, fault)
			request := harness.newRequest("commit")
			if result := harness.send(request); result.Outcome != record.Failed {
				t.Errorf("got %+v, want it failed", result)
			}
			if runs := harness.countRecords(record.EffectStarted, request.Operation); runs != 1 {
				t.Errorf("ran %d times, want once", runs)
			}
			harness.requireNoViolations()
		})
	}
}

// A prefill engine that has become one that runs requests hangs with a request. The scheduler must not cancel the attempt and repeat the
// request: the engine may run it.
func TestRelayUnsafeRequestIsNotRepeatedWhilePrefillEngineThatDecodesHangs(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
	for range 3 {
		harness.requireServedOnce("commit")
	}
	harness.restartAs("both", engines["r0"], engines["r1"])
	engines["r0"].SetFrozen(true)
	engines["r1"].SetFrozen(true)
	request := harness.newRequest("commit")
	request.Timeout = 2 * time.Second
	done := make(chan platform.Response)
	go func() { done <- harness.send(request) }()
	result := <-done
	engines["r0"].SetFrozen(false)
	engines["r1"].SetFrozen(false)
	if result.Outcome != record.Failed {
		t.Errorf("got %+v, want it failed: it may run yet", result)
	}
	if arrivals := harness.countRecords(record.AttemptArrived, request.Operation); arrivals != 1 {
		t.Errorf("got %d attempts, want one", arrivals)
	}
	harness.requireNoViolations()
}

// A decode engine was restarted as a prefill engine before the endpoint list said so. Its responses show that nothing ran: the request must
// be served by another engine, or rejected if there is none, and no state may be left.
func TestRelayUnsafeRequestIsServedAfterDecodeEngineBecamePrefillEngine(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
	for range 3 {
		harness.requireServedOnce("commit")
	}
	harness.restartAs("read", engines["w0"])
	for range 6 {
		harness.requireServedOnce("commit")
	}
	harness.restartAs("read", engines["w1"])
	request := harness.newRequest("commit")
	request.Timeout = time.Second
	if result := harness.send(request); result.Outcome != record.Rejected {
		t.Errorf("got %+v, want it rejected: it has run nowhere", result)
	}
	harness.requireNoViolations()
}

// A prefill engine fails on a connection on which it has completed a prefill. It has no effect, so a request that must never run twice must
// be retried.
func TestRelayUnsafeRequestIsRetriedAfterFaultOfProvenPrefillEngine(t *testing.T) {
	for _, fault := range []platform.Fault{platform.InternalError, platform.CloseBeforeResponse, platform.IncompleteRejection} {
		t.Run(string(fault), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
			for range 12 {
				harness.requireServedOnce("commit")
				time.Sleep(60 * time.Millisecond) // a connection is reused only after it has been idle for a moment
			}
			engines[harness.lastPrefillEngine()].QueueFaults(fault)
			harness.requireServedOnce("commit")
			harness.requireNoViolations()
		})
	}
}

// The endpoint list turns engines into others and back under steady load, some time after they have changed. Each request must get its
// response, no effect may happen twice and no state may stay.
func TestRelayRolesChangeUnderLoad(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "r2 read", "w0 write", "w1 write", "w2 write")
	stop := make(chan struct{})
	ended := make(chan platform.Response, 1000)
	clients := 6
	for i := range clients {
		request := harness.newRequest([]string{"chat", "commit"}[i%2])
		go func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					ended <- platform.Response{}
					return
				default:
				}
				next := request
				next.Operation = request.Operation + "-" + string(rune('a'+n%26)) + time.Duration(n).String()
				harness.send(next)
			}
		}()
	}
	change := func(id, role string, lag time.Duration) {
		harness.restartAs(role, engines[id])
		started := time.Now().UnixMilli()
		time.Sleep(lag)
		harness.discovery.Update(id, func(e *platform.Endpoint) { e.Kind, e.Started = role, started })
	}
	for _, c := range []struct {
		id, role string
		lag      time.Duration
	}{
		{"r0", "write", 400 * time.Millisecond},
		{"w0", "read", 400 * time.Millisecond},
		{"r0", "both", 0},
		{"r0", "read", 200 * time.Millisecond},
		{"w0", "write", 50 * time.Millisecond},
	} {
		change(c.id, c.role, c.lag)
	}
	close(stop)
	for range clients {
		<-ended
	}
	harness.requireNoViolations()
}

// A request leaves two states: one at its prefill engine, one at a decode engine that has become a prefill engine. While its next attempt
// is out at an engine that hangs, both may wait; when it is served, both must be gone.
func TestRelayStatesOfTwoPrefillsWaitForOneAttempt(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write", "w1 write")
	for range 3 {
		harness.requireServedOnce("commit")
	}
	harness.restartAs("read", engines["w1"])
	for range 4 {
		engines["w0"].SetHung(true)
		time.AfterFunc(1800*time.Millisecond, func() { engines["w0"].SetHung(false) })
		harness.requireServedOnce("commit")
	}
	harness.requireNoViolations()
}
