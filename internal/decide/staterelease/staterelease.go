// Package staterelease decides when a call that releases the state held for a request is made again. A state must be released
// within a stated time (rule 5); a call may be lost, and an engine that answered, or that cannot be there any more, needs no
// second one. It does no I/O and reads no clock.
package staterelease

import (
	"math"
	"slices"
)

// RetrySchedule is the release of one state. Times are in seconds.
type RetrySchedule struct {
	Deadline     float64 // the latest time at which it may still be held
	Attempts     int     // calls made so far
	AnyEngine    bool    // any engine releases what any holds: another one is asked next, so there is little to wait for
	PastDeadline bool    // it is known that the state was not released in time
	last         float64 // when the latest call was to be made
}

// CallResult is what a call came to.
type CallResult int

// Outcomes of a call.
const (
	Acknowledged   CallResult = iota // the engine answered, with whatever status: it has released the state, or lacks the call
	Unacknowledged                   // no connection, or none that lasted: it may not have heard
)

const (
	firstWait   = 0.04 // s before a call is made again,
	growth      = 2    // times as long before each further one,
	leftPart    = 4    // but no more than this part of the time that is left
	maxAttempts = 6    // calls in all to one engine: one that hears none of them is down, and its states with it
	lastTries   = 2    // of them, which are spread over the time that is left

	minOverduePause  = 0.25 // s between calls once the time is over: the state is still held, and whatever kept the calls away may end
	overdueRetryTime = 60.0 // s for which they are made then; by then an engine has freed what nobody took, or is gone
)

// Next is told what a call came to and says when to call again; again is false where there is no use. The last call
// in time may come at the time By. Where any engine will do, calls go on after it, for the state is still held: seldom, and ever more
// so. Calls that fail at once do not use up the time: the pauses between them grow, and
// the last one comes when the time is nearly over, for what made them fail may last but a moment.
func (p *RetrySchedule) Next(now float64, o CallResult) (at float64, again bool) {
	p.Attempts++
	switch {
	case o == Acknowledged || !p.AnyEngine && p.Attempts >= maxAttempts:
		return 0, false
	case now >= p.Deadline:
		p.last = now + p.pauseWhenLate(now)
		return p.last, p.AnyEngine && p.last <= p.Deadline+overdueRetryTime
	}
	if p.AnyEngine {
		at = max(now, p.last+p.pauseForAny(now))
	} else {
		at = now + p.pauseForOne(now)
	}
	p.last = min(at, p.Deadline)
	return p.last, true
}

// pauseForAny is the least time from one call to the next where another engine is asked: the second one is asked at once.
func (p *RetrySchedule) pauseForAny(now float64) float64 {
	if p.Attempts == 1 {
		return 0
	}
	pause := firstWait * math.Pow(growth, float64(p.Attempts-2))
	return max(firstWait, min(pause, (p.Deadline-now)/leftPart))
}

// pauseWhenLate is the time from the end of a call to the next once the time is over: the longer that is, the longer the pause.
func (p *RetrySchedule) pauseWhenLate(now float64) float64 {
	return max(minOverduePause, (now-p.Deadline)/leftPart)
}

// pauseForOne is the time from the end of a call to the next where the same engine is asked.
func (p *RetrySchedule) pauseForOne(now float64) float64 {
	pause := firstWait * math.Pow(growth, float64(p.Attempts-1))
	if left := maxAttempts - p.Attempts; left <= lastTries {
		pause = max(pause, (p.Deadline-now)/float64(left))
	}
	return pause
}

// EarliestRelease says when the first call may be made: at once, but where an attempt was broken off just before (cutAt; 0 = none was) a
// little after that, for its engine may take it up only then.
func EarliestRelease(now, cutAt float64) float64 {
	if cutAt > 0 {
		return max(now, cutAt+settle)
	}
	return now
}

const settle = 0.03 // s that a broken attempt may still be under way

// ReleaseAt is when the release of a state must be begun that has been held since a time and may be held for so long: the calls that
// release it, and what has to be called off before, take the rest.
func ReleaseAt(since, letGoBy float64) float64 { return since + heldPart*letGoBy }

const heldPart = 0.9

// SilentReleaseAt is when a state that has been held since a time is released beside an attempt begun at now which is to take it, if nothing has
// come of that: when the release is due, but not before the attempt has had some time to be answered.
func SilentReleaseAt(now, since, letGoBy float64) float64 {
	return max(ReleaseAt(since, letGoBy), now+quietPart*letGoBy)
}

const quietPart = 0.3 // a first token takes less, in most cases

// EngineResponded tells whether an engine that was last heard of at a time counts as heard of since an attempt there began: what it said in the
// moment in which that began it may have said before the attempt came.
func EngineResponded(heardAt, begun float64) bool { return heardAt > begun+crossing }

const crossing = 0.05 // s, a few times what an answer is under way

// ReleaseLeadTime is how long an attempt waits for a call that releases and was begun just before it (s): if the call came after what the
// attempt brings, it would take that too. It is a few times what a call takes on a connection that is there, and no more, for the
// attempt's own time runs on.
const ReleaseLeadTime = 0.015

// CallTimeout is how long one call may take (s). Where any engine will do the first calls are short, so that one that is silent
// costs little of the time; else a call gets a part of the time that is left.
func (p *RetrySchedule) CallTimeout(now float64) float64 {
	part := (p.Deadline - now) / callPart
	if p.AnyEngine {
		part = min(part, leastCall*(1+float64(p.Attempts)/2))
	}
	return max(leastCall, part)
}

const (
	leastCall = 0.05 // s, a few times what a connection and an answer take
	callPart  = 4.0
)

// Engine is one that may be asked to release, where any engine can.
type Engine struct {
	ID                       string
	Listed                   bool
	Holder                   bool    // it may hold the state
	LastSuccess, LastFailure float64 // when it last answered a call, and when one last failed; 0 = never
}

// RankEngines puts those to be asked in the order in which they are: engines that answered last come before those that failed
// last, the holder first among its likes, then who answered latest.
func RankEngines(engines []Engine) []Engine {
	rank := func(e Engine) int {
		n := 0
		if e.LastFailure > e.LastSuccess {
			n += 4
		}
		if !e.Listed {
			n += 2
		}
		if !e.Holder {
			n++
		}
		return n
	}
	out := slices.Clone(engines)
	slices.SortStableFunc(out, func(a, b Engine) int {
		if d := rank(a) - rank(b); d != 0 {
			return d
		}
		switch {
		case a.LastSuccess > b.LastSuccess:
			return -1
		case a.LastSuccess < b.LastSuccess:
			return 1
		}
		return 0
	})
	return out
}
