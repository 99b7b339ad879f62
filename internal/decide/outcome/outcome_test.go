package outcome

import (
	"testing"

	"dillroute/scheduler"
)

// The table of docs/design/node.md, row by row.
func TestWhatAnEndProves(t *testing.T) {
	for _, c := range []struct {
		name   string
		f      Facts
		status scheduler.Status
		info   int
		ran    bool
		holds  bool
		final  bool
	}{
		{"never tried", Facts{Stage: Decode, Progress: Unsent, Cause: Overtaken}, scheduler.NotSent, 0, false, false, false},
		{"ended while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: Overtaken}, scheduler.NotSent, 0, false, false, false},
		{"client left while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: ClientLeft}, scheduler.NotSent, 0, false, false, false},
		{"dial refused", Facts{Stage: Decode, Progress: Dialling, Cause: Broken}, scheduler.ConnectFailed, 0, false, false, false},
		{"dial too slow", Facts{Stage: Decode, Progress: Dialling, Cause: Expired}, scheduler.ConnectFailed, 0, false, false, false},
		{"called off while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: Stopped}, scheduler.ConnectFailed, 0, false, false, false},
		{"broke within the request", Facts{Stage: Decode, Progress: Connected, Cause: Broken}, scheduler.ConnectFailed, 0, false, false, false},
		{"broke after the request", Facts{Stage: Decode, Progress: Written, Cause: Broken}, scheduler.ConnectionLost, 0, true, false, false},
		{"broke within the answer", Facts{Stage: Decode, Progress: Headed, Cause: Broken}, scheduler.ConnectionLost, 0, true, false, false},
		{"broke in mid-stream", Facts{Stage: Decode, Progress: Streaming, Cause: Broken}, scheduler.ConnectionLost, 0, true, false, false},
		{"no answer in time", Facts{Stage: Decode, Progress: Written, Cause: Expired}, scheduler.TimedOut, 0, true, false, false},
		{"stalled", Facts{Stage: Decode, Progress: Streaming, Cause: Stalled}, scheduler.TimedOut, 0, true, false, false},
		{"called off", Facts{Stage: Decode, Progress: Written, Cause: Stopped}, scheduler.Canceled, 0, true, false, false},
		{"ended by another answer", Facts{Stage: Decode, Progress: Written, Cause: Overtaken}, scheduler.Canceled, 0, true, false, false},
		{"client left", Facts{Stage: Decode, Progress: Streaming, Cause: ClientLeft}, scheduler.Canceled, 0, true, false, false},
		{"garbage", Facts{Stage: Decode, Progress: Headed, Cause: Unreadable}, scheduler.ServerError, 0, true, false, false},
		{"served", Facts{Stage: Decode, Progress: Streaming, Cause: Answered, Meaning: Done}, scheduler.Completed, 0, true, false, false},
		{"full", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Turned}, scheduler.Rejected, 0, false, false, false},
		{"full too", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Turned}, scheduler.Rejected, 0, false, false, false},
		{"state gone", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: NoState}, scheduler.Rejected, 1, false, false, false},
		{"error", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Error}, scheduler.ServerError, 0, true, false, false},
		{"read by a writer", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Read}, scheduler.ServerError, 0, true, false, false},
		{"answered by a reader", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, Meaning: Done}, scheduler.ServerError, 0, false, true, false},
		{"judged once", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Judged, Code: 400}, scheduler.Rejected, 0, false, false, false},
		{"judged twice", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Judged, Code: 400, Agreed: true}, scheduler.Completed, 0, false, false, true},
		{"judged at the last try", Facts{Stage: Decode, Progress: Headed, Cause: Answered, Meaning: Judged, Code: 422, Last: true}, scheduler.Completed, 0, false, false, true},
		{"read", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, Meaning: Read, Kept: 7}, scheduler.Prefilled, 7, false, false, false},
		{"read without a state", Facts{Stage: Prefill, Progress: Headed, Cause: Answered}, scheduler.ServerError, 0, false, true, false},
		{"read broke", Facts{Stage: Prefill, Progress: Written, Cause: Broken}, scheduler.ConnectionLost, 0, false, true, false},
		{"read never written", Facts{Stage: Prefill, Progress: Connected, Cause: Broken}, scheduler.ConnectFailed, 0, false, false, false},
		{"read called off", Facts{Stage: Prefill, Progress: Written, Cause: Stopped}, scheduler.Canceled, 0, false, true, false},
		{"reader full", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, Meaning: Turned}, scheduler.Rejected, 0, false, false, false},
	} {
		v := Judge(c.f)
		if v.Status != c.status || v.Info != c.info || v.Ran != c.ran || v.Holds != c.holds || v.Final != c.final {
			t.Errorf("%s: %+v", c.name, v)
		}
	}
}

// Over all facts: what proves that nothing ran says so in both words, and a reader has no effect.
func TestProofsAgree(t *testing.T) {
	for stage := Prefill; stage <= Decode; stage++ {
		for p := Unsent; p <= Streaming; p++ {
			for c := Answered; c <= ClientLeft; c++ {
				for status := Error; status <= Judged; status++ {
					v := Judge(Facts{Stage: stage, Progress: p, Cause: c, Meaning: status})
					if stage == Prefill && v.Ran {
						t.Fatalf("a read has no effect: %v %v %d", p, c, status)
					}
					if v.Ran && provesNot(v.Status) {
						t.Fatalf("%v says that it never ran: %v %v %d", v.Status, p, c, status)
					}
					if c != Answered && p >= Written && stage == Decode && !v.Ran {
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
		for progress := Unsent; progress <= Streaming; progress++ {
			for cause := Answered; cause <= ClientLeft; cause++ {
				for meaning := Error; meaning <= Judged; meaning++ {
					f := Facts{Stage: stage, Progress: progress, Cause: cause, Meaning: meaning}
					if cause == Answered && progress < Headed {
						continue // no answer can have come
					}
					if ProvesNotRun(f) && Judge(f).Ran {
						t.Errorf("%+v: proven not to have run, though it may have", f)
					}
				}
			}
		}
	}
}
