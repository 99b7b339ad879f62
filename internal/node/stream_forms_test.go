package node_test

import (
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// A stream that ended with a bare comment line was cut off before its last chunk, although the client had its final event. A stream in any
// form that the protocol and the standard of server-sent events allow must reach the client to its end.
func TestRelayStreamsOfEveryValidFormAreForwardedToTheirEnd(t *testing.T) {
	for _, form := range []platform.Fault{platform.NoFault, platform.CommentBlock, platform.CutComment, platform.SeveralComments,
		platform.CRLFLines, platform.CRLines, platform.OtherFields, platform.HalfEventAfterFinal} {
		t.Run(string(form), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			for _, class := range []string{"chat", "commit", "chat"} {
				engines["w0"].QueueFaults(form)
				request := harness.newRequest(class)
				result := harness.send(request)
				if result.Outcome != record.Served || !result.Complete || result.Text != platform.ResponseText(request.Operation,
					request.ResponseTokens) {
					t.Errorf("%s: got %+v, want it served to its end", class, result)
				}
			}
			if ejected := harness.nodeLog.linesWith("ejected"); len(ejected) > 0 {
				t.Errorf("an engine was ejected for a valid stream: %q", ejected)
			}
			harness.requireNoViolations()
		})
	}
}

// A stream whose body ends within its final event, or within an event before it, is incomplete: the client must not get the last chunk.
func TestRelayStreamsThatEndWithinAnEventAreNotForwardedAsComplete(t *testing.T) {
	for _, form := range []platform.Fault{platform.HalfEvent, platform.HalfFinalEvent} {
		t.Run(string(form), func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			for _, class := range []string{"chat", "commit"} {
				engines["w0"].QueueFaults(form)
				request := harness.newRequest(class)
				result := harness.send(request)
				if result.Outcome != record.Failed || result.Complete {
					t.Errorf("%s: got %+v, want a stream that ends without its last chunk", class, result)
				}
				if result.Duration > time.Second {
					t.Errorf("%s: the stream ended after %v, want at once", class, result.Duration)
				}
			}
			harness.requireNoViolations()
		})
	}
}
