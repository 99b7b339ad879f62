package permit

import (
	"slices"
	"testing"

	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func TestReasons(t *testing.T) {
	once := Repeat{Effect: scheduler.AtMostOnce, MayHaveRun: true}
	keyed := Repeat{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupCell, MayHaveRun: true, SinceFirst: 1, DedupWindow: 5, EnginesKnown: true, SameCell: true}
	elsewhere, late := keyed, keyed
	elsewhere.SameCell, late.SinceFirst = false, 5.1
	send := Send{AttemptsLeft: 1, EngineKnown: true, Draining: true, DrainingFor: 0.2, DrainGrace: 0.25}
	leaving := send
	leaving.DrainingFor = 0.3
	for _, c := range []struct {
		name string
		ask  interface{ Reason() Reason }
		want Reason
	}{
		{"take", Accept{MaxOpen: 1}, Allowed},
		{"take when full", Accept{Open: 1, MaxOpen: 1}, NodeFull},
		{"take when stopping", Accept{Stopping: true, MaxOpen: 1}, NodeStopping},
		{"take an id that is in use", Accept{IDInUse: true, MaxOpen: 1}, IDInUse},
		{"send within the grace", send, Allowed},
		{"send after the grace", leaving, EngineDraining},
		{"send once more what may have run", Send{AttemptsLeft: 1, EngineKnown: true, Repeat: once}, RepeatUnsafe},
		{"send without attempts", Send{EngineKnown: true}, AttemptsExhausted},
		{"send after the end", Send{RequestEnded: true, AttemptsLeft: 1, EngineKnown: true}, RequestEnded},
		{"send to nobody", Send{AttemptsLeft: 1}, UnknownEngine},
		{"repeat within group and window", keyed, Allowed},
		{"repeat outside the group", elsewhere, RepeatUnsafe},
		{"repeat outside the window", late, RepeatUnsafe},
		{"repeat at an engine that is not known", Repeat{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupZone, MayHaveRun: true, DedupWindow: 5}, RepeatUnsafe},
		{"write", Write{ClientTimeLeft: 1}, Allowed},
		{"write for a client that left", Write{ClientTimeLeft: 1, ClientDisconnected: true}, ClientDisconnected},
		{"write what was called off", Write{ClientTimeLeft: 1, AttemptCanceled: true}, AttemptCanceled},
		{"write when its time is over", Write{}, DeadlinePassed},
		{"write when its window is over", Write{ClientTimeLeft: 1, HasDedupWindow: true}, DedupWindowPassed},
		{"refuse what is repeatable", Reject{Effect: scheduler.Idempotent, OutcomeUnknown: true}, Allowed},
		{"refuse with proof", Reject{Effect: scheduler.AtMostOnce, ProvenNotRun: true, ClientTimeLeft: 1}, Allowed},
		{"refuse without proof", Reject{Effect: scheduler.AtMostOnce, ClientTimeLeft: 1}, EffectPossible},
		{"refuse in the last moment", Reject{Effect: scheduler.AtMostOnce, ProvenNotRun: true, OutcomeUnknown: true, ClientTimeLeft: 0.05}, OutcomeUnknown},
		{"refuse what all engines know", Reject{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupFleet, ClientTimeLeft: 1}, Allowed},
		{"close what has rested for its time", CloseIdle{IdleFor: 0.01, MinIdle: 0.1}, Allowed},
		{"close to make room", CloseIdle{Evicts: true, IdleFor: 0.2, MinIdle: 0.1}, Allowed},
		{"close to make room what has just answered", CloseIdle{Evicts: true, IdleFor: 0.1, MinIdle: 0.1}, IdleTooBriefly},
		{"release", Release{}, Allowed},
		{"release beside an attempt", Release{AttemptsInFlight: 1}, AttemptInFlight},
		{"release what is wanted", Release{StateNeeded: true}, StateNeeded},
		{"release beside an attempt that is not heard of", Release{AttemptsInFlight: 1, StateNeeded: true, LimitNear: true, Effect: scheduler.AtMostOnce}, Allowed},
		{"release beside an attempt whose engine is heard of", Release{AttemptsInFlight: 1, LimitNear: true, Effect: scheduler.AtMostOnce, EngineResponded: true}, AttemptInFlight},
		{"release beside an attempt that will be called off", Release{AttemptsInFlight: 1, LimitNear: true, Effect: scheduler.Idempotent}, AttemptInFlight},
		{"release beside the second silent attempt", Release{AttemptsInFlight: 1, LimitNear: true, Effect: scheduler.Idempotent, SilentTwice: true}, Allowed},
		{"release beside a read", Release{AttemptsInFlight: 2, StateNeeded: true, LimitNear: true, Effect: scheduler.AtMostOnce, PrefillsInFlight: 1}, AttemptInFlight},
	} {
		if got := c.ask.Reason(); got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

// What a write is asked about and what it is judged by agree: one that was allowed, and made within the time for which a node may be held
// up, breaks nothing that the pages count.
func TestAllowedWritesBreakNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 1000.0
		left, window := rapid.Float64Range(-1, 1).Draw(t, "time left"), rapid.Float64Range(-1, 1).Draw(t, "window left")
		w := Write{ClientTimeLeft: left, HasDedupWindow: true, DedupWindowLeft: window}
		if w.Reason() != Allowed {
			return
		}
		at := now + rapid.Float64Range(0, heldUp).Draw(t, "held up for")
		if broken := (Written{At: at, ClientDeadline: now + left, DedupWindowEnd: now + window}).Violations(); len(broken) > 0 {
			t.Fatalf("allowed with %g s and %g s left, written %g s later: %v", left, window, at-now, broken)
		}
	})
}

func TestAuditCountsEachRule(t *testing.T) {
	for _, c := range []struct {
		name string
		done interface{ Violations() []Violation }
		want []Violation
	}{
		{"in time", Written{At: 10, ClientDisconnectedAt: 9.95, ClientDeadline: 12, DedupWindowEnd: 11, DrainingSince: 9.9, DrainGrace: 0.25}, nil},
		{"after its client left", Written{At: 10, ClientDisconnectedAt: 9.8}, []Violation{{1, ClientDisconnected}}},
		{"after its time", Written{At: 10, ClientDeadline: 9.8}, []Violation{{1, DeadlinePassed}}},
		{"after its window", Written{At: 10, DedupWindowEnd: 9.8}, []Violation{{2, DedupWindowPassed}}},
		{"after the grace", Written{At: 10, DrainingSince: 9.7, DrainGrace: 0.25}, []Violation{{3, EngineDraining}}},
		{"a late answer", Responded{At: 10.4, DueBy: 10}, nil},
		{"an answer that is lost", Responded{At: 10.6, DueBy: 10}, []Violation{{1, DeadlinePassed}}},
		{"a close", Closed{}, nil},
		{"a close over a request", Closed{Unanswered: true}, []Violation{{1, Unanswered}}},
		{"a close on a client that left", Closed{Unanswered: true, ClientDisconnected: true}, nil},
		{"a state that nobody released in time", HeldState{At: 11, By: 11}, []Violation{{5, StateNotReleased}}},
		{"a state that may yet be released in time", HeldState{At: 10.9, By: 11}, nil},
		{"a state that was released", HeldState{Answered: true, At: 11, By: 11}, nil},
	} {
		if got := c.done.Violations(); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
