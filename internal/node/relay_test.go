package node_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

func TestRelayForwardsEveryEventUnchanged(t *testing.T) {
	harness, _ := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write", "m0 both")
	var wg sync.WaitGroup
	for i := range 40 {
		request := harness.newRequest([]string{"chat", "commit"}[i%2])
		wg.Add(1)
		go func() {
			defer wg.Done()
			if result := harness.send(request); result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation,
				request.ResponseTokens) {
				t.Errorf("got %+v, want it served unchanged", result)
			}
		}()
	}
	wg.Wait()
	harness.requireNoViolations()
}

// An engine fails before the first event of a response. The attempt must be retried where that is safe. An at-most-once request that may
// have run must fail and not be retried.
func TestRelayFaultsBeforeFirstEvent(t *testing.T) {
	for _, c := range []struct {
		fault platform.Fault
		ran   bool
	}{
		{platform.Rejection, false}, {platform.StateMissing, false}, {platform.InternalError, true}, {platform.Unavailable, true},
		{platform.CloseBeforeResponse, true}, {platform.GarbageHead, true}, {platform.MalformedHead, true}, {platform.EndlessHead, true},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			// A request that loses its state at both engines needs six attempts.
			settings := strings.Replace(platform.SettingsJSON, `"max_attempts":4`, `"max_attempts":6`, 1)
			harness, engines := newRelayHarnessWith(t, settings, 64, 256, "r0 read", "w0 write", "w1 write")
			for _, class := range []string{"chat", "commit"} {
				engines["w0"].QueueFaults(c.fault)
				engines["w1"].QueueFaults(c.fault)
				harness.requireFaultHandled(class, class == "commit" && c.ran)
				harness.send(harness.newRequest("chat")) // consumes the remaining faults
				harness.send(harness.newRequest("chat"))
			}
			harness.requireNoViolations()
		})
	}
}

// requireFaultHandled sends a request whose first attempts meet a fault. With mustFail, the request may have run and must fail without a
// repeat. Otherwise it must be served; an idempotent request may also be rejected.
func (h *relayHarness) requireFaultHandled(class string, mustFail bool) {
	h.t.Helper()
	request := h.newRequest(class)
	request.Timeout = 3 * time.Second
	result := h.send(request)
	want := record.Served
	if mustFail {
		want = record.Failed
	}
	if result.Outcome != want && !(class == "chat" && result.Outcome == record.Rejected) {
		h.t.Errorf("%s: got %+v, want %s", class, result, want)
	}
	if runs := h.countRecords(record.EffectStarted, request.Operation); class == "commit" && runs > 1 {
		h.t.Errorf("%s ran %d times, want at most 1", request.Operation, runs)
	}
}

// A stream is malformed or cut off after its first events. The client's connection must be closed without the last chunk, within
// 2 s, or within 5 s if the stream stalls.
func TestRelayFaultsMidStreamEndTheClientConnection(t *testing.T) {
	for _, f := range []platform.Fault{platform.MalformedChunkSize, platform.ChunkSizeMismatch, platform.HugeChunk,
		platform.CloseMidStream, platform.StallMidStream} {
		t.Run(string(f), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			engines["w0"].QueueFaults(f)
			request := harness.newRequest("chat")
			result := harness.send(request)
			if result.Outcome != record.Failed || result.Complete || result.Text == "" ||
				!strings.HasPrefix(platform.ResponseText(request.Operation,
					request.ResponseTokens), result.Text) {
				t.Errorf("got %+v, want an incomplete stream", result)
			}
			if limit := map[bool]time.Duration{true: 5 * time.Second,
				false: 2 * time.Second}[f == platform.StallMidStream]; result.Duration > limit {
				t.Errorf("the stream ended after %v, want at most %v", result.Duration, limit)
			}
			if n := harness.countRecords(record.EffectStarted, request.Operation); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
			harness.requireNoViolations()
		})
	}
}

// Interim responses, malformed load reports and extra bytes after a response must affect neither that response nor the next one on the
// connection.
func TestRelayExtraBytesDoNotAffectResponses(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["r0"].QueueFaults(platform.MalformedLoadReport)
	engines["w0"].QueueFaults(platform.InterimResponses, platform.MalformedLoadReport, platform.SecondResponse, platform.NoFault)
	for range 5 {
		request := harness.newRequest("commit")
		if result := harness.send(request); result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation,
			request.ResponseTokens) {
			t.Errorf("got %+v, want it served unchanged", result)
		}
	}
	harness.requireNoViolations()
}

// A prefill that completes when its connection breaks leaves a state, which must be released. The call may go to any engine, because the
// engine that holds the state may have been removed.
func TestRelayStatesOfCutPrefillsAreReleased(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write")
	for range 6 {
		engines["r0"].QueueFaults(platform.CloseBeforeResponse)
		engines["r1"].QueueFaults(platform.CloseBeforeResponse)
		request := harness.newRequest("chat")
		request.Timeout = 2 * time.Second
		harness.send(request)
	}
	harness.requireNoViolations()
	if n := harness.node.UnfinishedRequests(); n != 0 {
		harness.eventually("the node has forgotten every request", func() bool { return harness.node.UnfinishedRequests() == 0 })
	}
}
