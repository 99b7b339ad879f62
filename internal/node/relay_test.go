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
			if result := harness.send(request); result.Outcome != record.Served || result.Text != platform.Whole(request.Op,
				request.Tokens) {
				t.Errorf("got %+v, want it served unchanged", result)
			}
		}()
	}
	wg.Wait()
	harness.requireNoViolations()
}

// Each fault before the first event: an attempt is retried where that is safe, and an at-most-once request that may have run is
// not.
func TestRelayFaultsBeforeFirstEvent(t *testing.T) {
	for _, c := range []struct {
		fault platform.Fault
		ran   bool
	}{
		{platform.Rejects, false}, {platform.NoState, false}, {platform.Error500, true}, {platform.Plain503, true},
		{platform.CutBefore, true}, {platform.Noise, true}, {platform.BadHead, true}, {platform.EndlessHead, true},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write", "w1 write")
			for _, class := range []string{"chat", "commit"} {
				engines["w0"].Next(c.fault)
				engines["w1"].Next(c.fault)
				harness.requireFaultHandled(class, class == "commit" && c.ran)
				harness.send(harness.newRequest("chat")) // consumes the faults that are left
				harness.send(harness.newRequest("chat"))
			}
			harness.requireNoViolations()
		})
	}
}

// requireFaultHandled sends a request whose first attempts meet a fault. It must fail if it may have run and must not be repeated;
// otherwise it is served, or rejected where a retry is safe.
func (h *relayHarness) requireFaultHandled(class string, mustFail bool) {
	h.t.Helper()
	request := h.newRequest(class)
	request.Patience = 3 * time.Second
	result := h.send(request)
	want := record.Served
	if mustFail {
		want = record.Failed
	}
	if result.Outcome != want && !(class == "chat" && result.Outcome == record.Refused) {
		h.t.Errorf("%s: got %+v, want %s", class, result, want)
	}
	if runs := h.countRecords(record.Run, request.Op); class == "commit" && runs > 1 {
		h.t.Errorf("%s ran %d times, want at most 1", request.Op, runs)
	}
}

// A stream that is malformed or cut after its first events closes the client's connection soon, without the last chunk.
func TestRelayFaultsMidStreamEndTheClientConnection(t *testing.T) {
	for _, f := range []platform.Fault{platform.BadChunk, platform.MisfitChunk, platform.HugeChunk, platform.CutStream, platform.Silent} {
		t.Run(string(f), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			engines["w0"].Next(f)
			request := harness.newRequest("chat")
			result := harness.send(request)
			if result.Outcome != record.Failed || result.Done || result.Text == "" || !strings.HasPrefix(platform.Whole(request.Op,
				request.Tokens), result.Text) {
				t.Errorf("got %+v, want an incomplete stream", result)
			}
			if limit := map[bool]time.Duration{true: 5 * time.Second, false: 2 * time.Second}[f == platform.Silent]; result.Took > limit {
				t.Errorf("the stream ended after %v, want at most %v", result.Took, limit)
			}
			if n := harness.countRecords(record.Run, request.Op); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
			harness.requireNoViolations()
		})
	}
}

// Bytes beyond a response affect neither it nor the next one on that connection.
func TestRelayExtraBytesDoNotAffectResponses(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["r0"].Next(platform.BadReport)
	engines["w0"].Next(platform.Interim, platform.BadReport, platform.SecondAnswer, platform.None)
	for range 5 {
		request := harness.newRequest("commit")
		if result := harness.send(request); result.Outcome != record.Served || result.Text != platform.Whole(request.Op, request.Tokens) {
			t.Errorf("got %+v, want it served unchanged", result)
		}
	}
	harness.requireNoViolations()
}

// A prefill that completed just as its connection broke leaves a state, which is released, by any engine: the holder may be
// removed.
func TestRelayStatesOfCutPrefillsAreReleased(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write")
	for range 6 {
		engines["r0"].Next(platform.CutBefore)
		engines["r1"].Next(platform.CutBefore)
		request := harness.newRequest("chat")
		request.Patience = 2 * time.Second
		harness.send(request)
	}
	harness.requireNoViolations()
	if n := harness.node.UnfinishedRequests(); n != 0 {
		harness.eventually("the node has forgotten every request", func() bool { return harness.node.UnfinishedRequests() == 0 })
	}
}
