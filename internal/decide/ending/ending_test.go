package ending

import (
	"testing"

	"dillroute/brain"
)

// The table of docs/design/node.md, row by row.
func TestWhatAnEndProves(t *testing.T) {
	for _, c := range []struct {
		name   string
		f      Facts
		status brain.Status
		info   int
		ran    bool
		holds  bool
		final  bool
	}{
		{"never tried", Facts{Stage: Decode, Progress: Unsent, Cause: Overtaken}, brain.NotSent, 0, false, false, false},
		{"ended while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: Overtaken}, brain.NotSent, 0, false, false, false},
		{"client left while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: ClientLeft}, brain.NotSent, 0, false, false, false},
		{"dial refused", Facts{Stage: Decode, Progress: Dialling, Cause: Broken}, brain.NoConnection, 0, false, false, false},
		{"dial too slow", Facts{Stage: Decode, Progress: Dialling, Cause: Expired}, brain.NoConnection, 0, false, false, false},
		{"called off while dialling", Facts{Stage: Decode, Progress: Dialling, Cause: Stopped}, brain.NoConnection, 0, false, false, false},
		{"broke within the request", Facts{Stage: Decode, Progress: Connected, Cause: Broken}, brain.NoConnection, 0, false, false, false},
		{"broke after the request", Facts{Stage: Decode, Progress: Written, Cause: Broken}, brain.ConnectionLost, 0, true, false, false},
		{"broke within the answer", Facts{Stage: Decode, Progress: Headed, Cause: Broken, HTTP: 200}, brain.ConnectionLost, 0, true, false, false},
		{"broke in mid-stream", Facts{Stage: Decode, Progress: Streaming, Cause: Broken, HTTP: 200}, brain.ConnectionLost, 0, true, false, false},
		{"no answer in time", Facts{Stage: Decode, Progress: Written, Cause: Expired}, brain.NoAnswer, 0, true, false, false},
		{"stalled", Facts{Stage: Decode, Progress: Streaming, Cause: Stalled}, brain.NoAnswer, 0, true, false, false},
		{"called off", Facts{Stage: Decode, Progress: Written, Cause: Stopped}, brain.CalledOff, 0, true, false, false},
		{"ended by another answer", Facts{Stage: Decode, Progress: Written, Cause: Overtaken}, brain.CalledOff, 0, true, false, false},
		{"client left", Facts{Stage: Decode, Progress: Streaming, Cause: ClientLeft}, brain.CalledOff, 0, true, false, false},
		{"garbage", Facts{Stage: Decode, Progress: Headed, Cause: Unreadable, HTTP: 200}, brain.ServerError, 0, true, false, false},
		{"served", Facts{Stage: Decode, Progress: Streaming, Cause: Answered, HTTP: 200}, brain.Served, 0, true, false, false},
		{"full", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 429}, brain.TurnedAway, 0, false, false, false},
		{"full too", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 503}, brain.TurnedAway, 0, false, false, false},
		{"state gone", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 409, Code: CodeStateGone}, brain.TurnedAway, 1, false, false, false},
		{"error", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 500}, brain.ServerError, 0, true, false, false},
		{"bad gateway", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 502}, brain.ServerError, 0, true, false, false},
		{"odd success", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 204}, brain.ServerError, 0, true, false, false},
		{"judged once", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 400}, brain.TurnedAway, 0, false, false, false},
		{"judged twice", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 400, Agreed: true}, brain.Served, 0, false, false, true},
		{"judged at the last try", Facts{Stage: Decode, Progress: Headed, Cause: Answered, HTTP: 422, Last: true}, brain.Served, 0, false, false, true},
		{"read", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, HTTP: 200, State: true, Kept: 7}, brain.Parsed, 7, false, false, false},
		{"read without a state", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, HTTP: 200}, brain.ServerError, 0, false, true, false},
		{"read broke", Facts{Stage: Prefill, Progress: Written, Cause: Broken}, brain.ConnectionLost, 0, false, true, false},
		{"read never written", Facts{Stage: Prefill, Progress: Connected, Cause: Broken}, brain.NoConnection, 0, false, false, false},
		{"read called off", Facts{Stage: Prefill, Progress: Written, Cause: Stopped}, brain.CalledOff, 0, false, true, false},
		{"reader full", Facts{Stage: Prefill, Progress: Headed, Cause: Answered, HTTP: 503}, brain.TurnedAway, 0, false, false, false},
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
				for _, status := range []int{0, 200, 400, 429, 500, 503} {
					v := Judge(Facts{Stage: stage, Progress: p, Cause: c, HTTP: status})
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
