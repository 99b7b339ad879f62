package permit

import (
	"slices"
	"testing"

	"dillroute/scheduler"

	"pgregory.net/rapid"
)

// Actions that several cases are derived from.
var (
	atMostOnceRepeat = Repeat{Effect: scheduler.AtMostOnce, MayHaveRun: true}
	keyedRepeat      = Repeat{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupCell, MayHaveRun: true, SinceFirst: 1,
		DedupWindow: 5, EnginesKnown: true, SameCell: true}
	sendWithinGrace = Send{AttemptsLeft: 1, EngineKnown: true, Draining: true, DrainingFor: 0.2, DrainGrace: 0.25}
)

func TestReasonOfEachAction(t *testing.T) {
	otherCell, lateRepeat, sendAfterGrace := keyedRepeat, keyedRepeat, sendWithinGrace
	otherCell.SameCell = false
	lateRepeat.SinceFirst = 5.1
	sendAfterGrace.DrainingFor = 0.3
	for _, c := range []struct {
		name   string
		action interface{ Reason() Reason }
		want   Reason
	}{
		{"accept", Accept{MaxOpen: 1}, Allowed},
		{"accept when full", Accept{Open: 1, MaxOpen: 1}, NodeFull},
		{"accept when stopping", Accept{Stopping: true, MaxOpen: 1}, NodeStopping},
		{"accept an id that is in use", Accept{IDInUse: true, MaxOpen: 1}, IDInUse},
		{"send to a draining engine within the grace", sendWithinGrace, Allowed},
		{"send to a draining engine after the grace", sendAfterGrace, EngineDraining},
		{"repeat an at-most-once request that may have run",
			Send{AttemptsLeft: 1, EngineKnown: true, Repeat: atMostOnceRepeat},
			RepeatUnsafe},
		{"send with no attempt left", Send{EngineKnown: true}, AttemptsExhausted},
		{"send after the end of the request", Send{RequestEnded: true, AttemptsLeft: 1, EngineKnown: true}, RequestEnded},
		{"send to an unknown engine", Send{AttemptsLeft: 1}, UnknownEngine},
		{"repeat within the deduplication scope and window", keyedRepeat, Allowed},
		{"repeat outside the scope", otherCell, RepeatUnsafe},
		{"repeat after the window", lateRepeat, RepeatUnsafe},
		{"repeat at an unknown engine", Repeat{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupZone, MayHaveRun: true,
			DedupWindow: 5}, RepeatUnsafe},
		{"write", Write{ClientTimeLeft: 1}, Allowed},
		{"write after the client disconnected", Write{ClientTimeLeft: 1, ClientDisconnected: true}, ClientDisconnected},
		{"write a canceled attempt", Write{ClientTimeLeft: 1, AttemptCanceled: true}, AttemptCanceled},
		{"write after the client's deadline", Write{}, DeadlinePassed},
		{"write after the deduplication window", Write{ClientTimeLeft: 1, HasDedupWindow: true}, DedupWindowPassed},
		{"reject an idempotent request", Reject{Effect: scheduler.Idempotent, OutcomeUnknown: true}, Allowed},
		{"reject with proof", Reject{Effect: scheduler.AtMostOnce, ProvenNotRun: true, ClientTimeLeft: 1}, Allowed},
		{"reject without proof", Reject{Effect: scheduler.AtMostOnce, ClientTimeLeft: 1}, EffectPossible},
		{"reject with no time for a retry", Reject{Effect: scheduler.AtMostOnce, ProvenNotRun: true, OutcomeUnknown: true,
			ClientTimeLeft: 0.05}, OutcomeUnknown},
		{"reject with a key that the fleet recognizes", Reject{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupFleet,
			ClientTimeLeft: 1}, Allowed},
		{"close after the idle timeout", CloseIdle{IdleFor: 0.01, MinIdle: 0.1}, Allowed},
		{"evict an idle connection", CloseIdle{Evicts: true, IdleFor: 0.2, MinIdle: 0.1}, Allowed},
		{"evict a connection that has just responded", CloseIdle{Evicts: true, IdleFor: 0.1, MinIdle: 0.1}, IdleTooBriefly},
		{"release", Release{}, Allowed},
		{"release with an attempt in flight", Release{AttemptsInFlight: 1}, AttemptInFlight},
		{"release a state that is needed", Release{StateNeeded: true}, StateNeeded},
		{"release a state that is due", Release{Due: true, StateNeeded: true}, Allowed},
		{"release a state that is due during silent attempts", Release{AttemptsInFlight: 2, StateNeeded: true, Due: true}, Allowed},
		{"release a state that is due during a response", Release{AttemptsInFlight: 1, Due: true, Responding: true}, AttemptInFlight},
	} {
		if got := c.action.Reason(); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// The permit of a write and its audit agree: a write that was allowed, and made within the time for which a node may be paused,
// breaks no rule.
func TestAllowedWriteIsNoViolation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 1000.0
		left, window := rapid.Float64Range(-1, 1).Draw(t, "time left"), rapid.Float64Range(-1, 1).Draw(t, "window left")
		w := Write{ClientTimeLeft: left, HasDedupWindow: true, DedupWindowLeft: window}
		if w.Reason() != Allowed {
			return
		}
		at := now + rapid.Float64Range(0, maxPause).Draw(t, "held up for")
		if broken := (Written{At: at, ClientDeadline: now + left, DedupWindowEnd: now + window}).Violations(); len(broken) > 0 {
			t.Fatalf("allowed with %g s and %g s left, written %g s later: %v", left, window, at-now, broken)
		}
	})
}

func TestAuditReportsEachRule(t *testing.T) {
	for _, c := range []struct {
		name string
		done interface{ Violations() []Violation }
		want []Violation
	}{
		{"in time", Written{At: 10, ClientDisconnectedAt: 9.95, ClientDeadline: 12, DedupWindowEnd: 11, DrainingSince: 9.9,
			DrainGrace: 0.25}, nil},
		{"after the client disconnected", Written{At: 10, ClientDisconnectedAt: 9.8}, []Violation{{1, ClientDisconnected}}},
		{"after the client's deadline", Written{At: 10, ClientDeadline: 9.8}, []Violation{{1, DeadlinePassed}}},
		{"after the deduplication window", Written{At: 10, DedupWindowEnd: 9.8}, []Violation{{2, DedupWindowPassed}}},
		{"after the drain grace", Written{At: 10, DrainingSince: 9.7, DrainGrace: 0.25}, []Violation{{3, EngineDraining}}},
		{"a late response", Responded{At: 10.4, DueBy: 10}, nil},
		{"a response so late that it is lost", Responded{At: 10.6, DueBy: 10}, []Violation{{1, DeadlinePassed}}},
		{"a close", Closed{}, nil},
		{"a close with an unanswered request", Closed{Unanswered: true}, []Violation{{1, Unanswered}}},
		{"a close after the client disconnected", Closed{Unanswered: true, ClientDisconnected: true}, nil},
		{"a state not released in time", HeldState{At: 11, Deadline: 11}, []Violation{{5, StateNotReleased}}},
		{"a state that can still be released in time", HeldState{At: 10.9, Deadline: 11}, nil},
		{"a state that was released", HeldState{Acknowledged: true, At: 11, Deadline: 11}, nil},
		{"a state that was released too late", HeldState{Acknowledged: true, At: 11.1, Deadline: 11}, []Violation{{5, StateNotReleased}}},
	} {
		if got := c.done.Violations(); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
