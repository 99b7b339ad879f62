package node_test

import (
	"strings"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// An engine sends a second response some milliseconds after the first, of a prefill or of a stream. The next request is sent before the
// second response arrives, which must not be taken for the response to that request.
func TestRelayLateSecondResponsesAreDiscarded(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	for i := range 30 {
		if i%3 > 0 {
			engines["r0"].QueueFaults(platform.DelayedSecondResponse)
		}
		engines["w0"].QueueFaults(platform.DelayedSecondResponse)
		request := harness.newRequest("chat")
		if result := harness.send(request); result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation,
			request.ResponseTokens) {
			t.Errorf("request %d: got %+v, want its own response", i, result)
		}
	}
	harness.requireNoViolations()
}

// A stream ends without its final event or within its last chunk, or has only comments from some point on. It must not be forwarded as
// complete, and the client's connection must be closed within 5 s.
func TestRelayIncompleteStreamsEndTheClientConnection(t *testing.T) {
	for _, f := range []platform.Fault{platform.NoFinalEvent, platform.CloseInLastChunk, platform.EndlessComments} {
		t.Run(string(f), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			engines["w0"].QueueFaults(f)
			request := harness.newRequest("commit")
			result := harness.send(request)
			if result.Outcome != record.Failed || result.Complete || !strings.HasPrefix(platform.ResponseText(request.Operation,
				request.ResponseTokens),
				result.Text) || result.Text == "" {
				t.Errorf("got %+v, want a stream that ends without its last chunk", result)
			}
			if result.Duration > 5*time.Second {
				t.Errorf("the stream ended after %v, want at most 5s", result.Duration)
			}
			if n := harness.countRecords(record.EffectStarted, request.Operation); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
			harness.requireNoViolations()
		})
	}
}

// The header of a rejection or of a prefill response decides the outcome of the attempt. A retry must not wait for the rest of the body.
func TestRelayIncompleteBodiesDoNotDelayRetries(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	for _, f := range []platform.Fault{platform.IncompleteRejection, platform.IncompletePrefillResponse} {
		engines["r0"].QueueFaults(f)
		request := harness.newRequest("commit")
		if result := harness.send(request); result.Outcome != record.Served || result.Duration > 2*time.Second {
			t.Errorf("%s: got %+v, want it served within 2s", f, result)
		}
	}
	harness.requireNoViolations()
}
