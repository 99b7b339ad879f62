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
		e.LocalPrefill = true
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
