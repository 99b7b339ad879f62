package permit

import (
	"slices"
	"testing"

	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func TestReasons(t *testing.T) {
	once := Repeat{Effect: scheduler.AtMostOnce, MayRun: true}
	keyed := Repeat{Effect: scheduler.IdempotentByKey, Group: scheduler.DedupCell, MayRun: true, Since: 1, Window: 5, BothSeen: true, SameCell: true}
	elsewhere, late := keyed, keyed
	elsewhere.SameCell, late.Since = false, 5.1
	send := Send{AttemptsLeft: 1, EngineKnown: true, Leaving: true, LeavingFor: 0.2, Grace: 0.25}
	leaving := send
	leaving.LeavingFor = 0.3
	for _, c := range []struct {
		name string
		ask  interface{ Reason() Reason }
		want Reason
	}{
		{"take", Take{MaxOpen: 1}, Allowed},
		{"take when full", Take{Open: 1, MaxOpen: 1}, Full},
		{"take when stopping", Take{Stopping: true, MaxOpen: 1}, Stopping},
		{"take an id that is in use", Take{IDInUse: true, MaxOpen: 1}, IDInUse},
		{"send within the grace", send, Allowed},
		{"send after the grace", leaving, EngineLeaving},
		{"send once more what may have run", Send{AttemptsLeft: 1, EngineKnown: true, Repeat: once}, MayRunTwice},
		{"send without attempts", Send{EngineKnown: true}, NoAttemptLeft},
		{"send after the end", Send{Ended: true, AttemptsLeft: 1, EngineKnown: true}, Ended},
		{"send to nobody", Send{AttemptsLeft: 1}, UnknownEngine},
		{"repeat within group and window", keyed, Allowed},
		{"repeat outside the group", elsewhere, MayRunTwice},
		{"repeat outside the window", late, MayRunTwice},
		{"repeat at an engine that is not known", Repeat{Effect: scheduler.IdempotentByKey, Group: scheduler.DedupZone, MayRun: true, Window: 5}, MayRunTwice},
		{"write", Write{TimeLeft: 1}, Allowed},
		{"write for a client that left", Write{TimeLeft: 1, ClientGone: true}, ClientGone},
		{"write what was called off", Write{TimeLeft: 1, CalledOff: true}, CalledOff},
		{"write when its time is over", Write{}, TimeOver},
		{"write when its window is over", Write{TimeLeft: 1, Keyed: true}, WindowOver},
		{"refuse what is repeatable", Refuse{Effect: scheduler.Idempotent, Unheard: true}, Allowed},
		{"refuse with proof", Refuse{Effect: scheduler.AtMostOnce, Proven: true, TimeLeft: 1}, Allowed},
		{"refuse without proof", Refuse{Effect: scheduler.AtMostOnce, TimeLeft: 1}, Unproven},
		{"refuse in the last moment", Refuse{Effect: scheduler.AtMostOnce, Proven: true, Unheard: true, TimeLeft: 0.05}, NotHeardOf},
		{"refuse what all engines know", Refuse{Effect: scheduler.IdempotentByKey, Group: scheduler.DedupFleet, TimeLeft: 1}, Allowed},
		{"close what has rested for its time", Close{RestedFor: 0.01, LeastRest: 0.1}, Allowed},
		{"close to make room", Close{MakesRoom: true, RestedFor: 0.2, LeastRest: 0.1}, Allowed},
		{"close to make room what has just answered", Close{MakesRoom: true, RestedFor: 0.1, LeastRest: 0.1}, RestsBriefly},
		{"release", Release{}, Allowed},
		{"release beside an attempt", Release{AttemptsOut: 1}, AttemptOut},
		{"release what is wanted", Release{StateWanted: true}, StateWanted},
		{"release beside an attempt that is not heard of", Release{AttemptsOut: 1, StateWanted: true, Due: true, Effect: scheduler.AtMostOnce}, Allowed},
		{"release beside an attempt whose engine is heard of", Release{AttemptsOut: 1, Due: true, Effect: scheduler.AtMostOnce, EngineHeard: true}, AttemptOut},
		{"release beside an attempt that will be called off", Release{AttemptsOut: 1, Due: true, Effect: scheduler.Idempotent}, AttemptOut},
		{"release beside the second silent attempt", Release{AttemptsOut: 1, Due: true, Effect: scheduler.Idempotent, SilentTwice: true}, Allowed},
		{"release beside a read", Release{AttemptsOut: 2, StateWanted: true, Due: true, Effect: scheduler.AtMostOnce, ReadsOut: 1}, AttemptOut},
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
		w := Write{TimeLeft: left, Keyed: true, WindowLeft: window}
		if w.Reason() != Allowed {
			return
		}
		at := now + rapid.Float64Range(0, heldUp).Draw(t, "held up for")
		if broken := (Written{At: at, EndsAt: now + left, WindowBy: now + window}).Violations(); len(broken) > 0 {
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
		{"in time", Written{At: 10, LeftAt: 9.95, EndsAt: 12, WindowBy: 11, DrainsAt: 9.9, Grace: 0.25}, nil},
		{"after its client left", Written{At: 10, LeftAt: 9.8}, []Violation{{1, ClientGone}}},
		{"after its time", Written{At: 10, EndsAt: 9.8}, []Violation{{1, TimeOver}}},
		{"after its window", Written{At: 10, WindowBy: 9.8}, []Violation{{2, WindowOver}}},
		{"after the grace", Written{At: 10, DrainsAt: 9.7, Grace: 0.25}, []Violation{{3, EngineLeaving}}},
		{"a late answer", Answered{At: 10.4, DueBy: 10}, nil},
		{"an answer that is lost", Answered{At: 10.6, DueBy: 10}, []Violation{{1, TimeOver}}},
		{"a close", Closed{}, nil},
		{"a close over a request", Closed{Unanswered: true}, []Violation{{1, Unanswered}}},
		{"a close on a client that left", Closed{Unanswered: true, ClientGone: true}, nil},
		{"a state that nobody released in time", Held{At: 11, By: 11}, []Violation{{5, NotReleased}}},
		{"a state that may yet be released in time", Held{At: 10.9, By: 11}, nil},
		{"a state that was released", Held{Answered: true, At: 11, By: 11}, nil},
	} {
		if got := c.done.Violations(); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
