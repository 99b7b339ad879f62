package outcome

import (
	"testing"

	"dillroute/scheduler"
)

// The table of docs/design/node.md, row by row.
func TestWhatAnEndProves(t *testing.T) {
	for _, c := range []struct {
		name   string
		f      Evidence
		status scheduler.Status
		info   int
		ran    bool
		holds  bool
		final  bool
	}{
		{"never tried", Evidence{Stage: Decode, Progress: NotStarted, Cause: RequestEnded}, scheduler.NotSent, 0, false, false, false},
		{"ended while dialling", Evidence{Stage: Decode, Progress: Connecting, Cause: RequestEnded}, scheduler.NotSent, 0, false, false, false},
		{"client left while dialling", Evidence{Stage: Decode, Progress: Connecting, Cause: ClientDisconnected}, scheduler.NotSent, 0, false, false, false},
		{"dial refused", Evidence{Stage: Decode, Progress: Connecting, Cause: ConnectionBroken}, scheduler.ConnectFailed, 0, false, false, false},
		{"dial too slow", Evidence{Stage: Decode, Progress: Connecting, Cause: AttemptTimedOut}, scheduler.ConnectFailed, 0, false, false, false},
		{"called off while dialling", Evidence{Stage: Decode, Progress: Connecting, Cause: CanceledByScheduler}, scheduler.ConnectFailed, 0, false, false, false},
		{"broke within the request", Evidence{Stage: Decode, Progress: Connected, Cause: ConnectionBroken}, scheduler.ConnectFailed, 0, false, false, false},
		{"broke after the request", Evidence{Stage: Decode, Progress: RequestWritten, Cause: ConnectionBroken}, scheduler.ConnectionLost, 0, true, false, false},
		{"broke within the answer", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ConnectionBroken}, scheduler.ConnectionLost, 0, true, false, false},
		{"broke in mid-stream", Evidence{Stage: Decode, Progress: Streaming, Cause: ConnectionBroken}, scheduler.ConnectionLost, 0, true, false, false},
		{"no answer in time", Evidence{Stage: Decode, Progress: RequestWritten, Cause: AttemptTimedOut}, scheduler.TimedOut, 0, true, false, false},
		{"stalled", Evidence{Stage: Decode, Progress: Streaming, Cause: StreamStalled}, scheduler.TimedOut, 0, true, false, false},
		{"called off", Evidence{Stage: Decode, Progress: RequestWritten, Cause: CanceledByScheduler}, scheduler.Canceled, 0, true, false, false},
		{"ended by another answer", Evidence{Stage: Decode, Progress: RequestWritten, Cause: RequestEnded}, scheduler.Canceled, 0, true, false, false},
		{"client left", Evidence{Stage: Decode, Progress: Streaming, Cause: ClientDisconnected}, scheduler.Canceled, 0, true, false, false},
		{"garbage", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: MalformedResponse}, scheduler.ServerError, 0, true, false, false},
		{"served", Evidence{Stage: Decode, Progress: Streaming, Cause: ResponseComplete, ResponseKind: DecodeDone}, scheduler.Completed, 0, true, false, false},
		{"full", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected}, scheduler.Rejected, 0, false, false, false},
		{"full too", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected}, scheduler.Rejected, 0, false, false, false},
		{"state gone", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: StateMissing}, scheduler.Rejected, 1, false, false, false},
		{"error", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineError}, scheduler.ServerError, 0, true, false, false},
		{"read by a writer", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: PrefillDone}, scheduler.ServerError, 0, true, false, false},
		{"answered by a reader", Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: DecodeDone}, scheduler.ServerError, 0, false, true, false},
		{"judged once", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 400}, scheduler.Rejected, 0, false, false, false},
		{"judged twice", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 400, ConfirmedElsewhere: true}, scheduler.Completed, 0, false, false, true},
		{"judged at the last try", Evidence{Stage: Decode, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: InvalidRequest, Code: 422, LastAttempt: true}, scheduler.Completed, 0, false, false, true},
		{"read", Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: PrefillDone, CachedTokens: 7}, scheduler.Prefilled, 7, false, false, false},
		{"read without a state", Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete}, scheduler.ServerError, 0, false, true, false},
		{"read broke", Evidence{Stage: Prefill, Progress: RequestWritten, Cause: ConnectionBroken}, scheduler.ConnectionLost, 0, false, true, false},
		{"read never written", Evidence{Stage: Prefill, Progress: Connected, Cause: ConnectionBroken}, scheduler.ConnectFailed, 0, false, false, false},
		{"read called off", Evidence{Stage: Prefill, Progress: RequestWritten, Cause: CanceledByScheduler}, scheduler.Canceled, 0, false, true, false},
		{"reader full", Evidence{Stage: Prefill, Progress: HeaderReceived, Cause: ResponseComplete, ResponseKind: EngineRejected}, scheduler.Rejected, 0, false, false, false},
	} {
		v := Classify(c.f)
		if v.Status != c.status || v.Info != c.info || v.MayHaveRun != c.ran || v.MayHoldState != c.holds || v.PassThrough != c.final {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// Over all facts: what proves that nothing ran says so in both words, and a reader has no effect.
func TestProofsAgree(t *testing.T) {
	for stage := Prefill; stage <= Decode; stage++ {
		for p := NotStarted; p <= Streaming; p++ {
			for c := ResponseComplete; c <= ClientDisconnected; c++ {
				for status := EngineError; status <= InvalidRequest; status++ {
					v := Classify(Evidence{Stage: stage, Progress: p, Cause: c, ResponseKind: status})
					if stage == Prefill && v.MayHaveRun {
						t.Fatalf("a read has no effect: %v %v %d", p, c, status)
					}
					if v.MayHaveRun && provesNot(v.Status) {
						t.Fatalf("%v says that it never ran: %v %v %d", v.Status, p, c, status)
					}
					if c != ResponseComplete && p >= RequestWritten && stage == Decode && !v.MayHaveRun {
						t.Fatalf("a request that was written whole may have run: %v %v", p, c)
					}
				}
			}
		}
	}
}

// What the bytes prove is never more than what the verdict does: an attempt that may have run by the table is not proven not
// to have. Walked over all facts.
func TestBytesProveNoMoreThanTheVerdict(t *testing.T) {
	for stage := Prefill; stage <= Decode; stage++ {
		for progress := NotStarted; progress <= Streaming; progress++ {
			for cause := ResponseComplete; cause <= ClientDisconnected; cause++ {
				for meaning := EngineError; meaning <= InvalidRequest; meaning++ {
					f := Evidence{Stage: stage, Progress: progress, Cause: cause, ResponseKind: meaning}
					if cause == ResponseComplete && progress < HeaderReceived {
						continue // no answer can have come
					}
					if ProvesNotRun(f) && Classify(f).MayHaveRun {
						t.Errorf("%+v: proven not to have run, though it may have", f)
					}
				}
			}
		}
	}
}
