package staterelease

import "math"

// RetrySchedule schedules the calls that release one state.
type RetrySchedule struct {
	Deadline  float64         // the latest time at which the state may still be held
	Attempts  int             // rounds of calls since the last acknowledged one; if only one engine is called, a round is one call
	AnyEngine bool            // any engine can release a state that another holds: the next calls go to others after short pauses
	Allowed   float64         // how long a state may be held (s); 0 = there is no limit
	End       AttemptEnd      // end of an attempt that requires calls even if all earlier ones were acknowledged
	delayed   bool            // all remaining calls are delayed ones (AttemptEnd.NextCall)
	lastCall  float64         // when the latest call was due
	called    map[string]bool // engines that were called since the last time that all had been called
}

// CallResult is the outcome of a call.
type CallResult int

// Outcomes of a call.
const (
	Acknowledged   CallResult = iota // the engine has released the states that none of its attempts waits for, or does not support the call
	Unacknowledged                   // the connection failed or broke: the call may not have arrived
)

// String returns the outcome as logs show it.
func (r CallResult) String() string {
	switch r {
	case Acknowledged:
		return "acknowledged"
	case Unacknowledged:
		return "unacknowledged"
	}
	return "unknown"
}

// Parameters of calls before the deadline.
const (
	initialPause     = 0.04 // s before the first retry
	pauseGrowth      = 2    // factor from one pause to the next
	maxPauseDivisor  = 4    // the pause before another engine is at most the remaining time divided by this, but at least initialPause
	maxAttempts      = 6    // calls in total to one engine: an engine that acknowledges none of them is down, and its states are lost
	spreadAttempts   = 2    // number of last calls that are spread over the remaining time
	minCallTimeout   = 0.05 // s, a few times what a connection and a response take
	callTimeoutParts = 4.0  // the timeout of a call is the remaining time divided by this
)

// Parameters of calls past the deadline. They continue because the state is still held and the cause of the failures may end.
const (
	minOverduePause   = 0.25 // s between calls
	overdueRetryTime  = 60.0 // s past the deadline until which calls continue; by then the unused state is evicted, or its engine removed
	overduePauseParts = 4    // a pause is at least the time past the deadline divided by this
)

// Next records the outcome of a call and returns when to make the next one; again is false if no further call is useful.
//
// The last call before the deadline may be made at the deadline itself. Calls that fail immediately do not use up the calls too
// early: the pauses between them grow, and the last call is made shortly before the deadline, because the cause of the failures
// may last only a moment. If any engine can release the state, calls continue past the deadline with growing pauses, because the
// state is still held.
func (s *RetrySchedule) Next(now float64, result CallResult) (at float64, again bool) {
	s.Attempts++
	switch {
	case result == Acknowledged:
		return s.nextAfterEnd(now)
	case !s.AnyEngine && s.Attempts >= maxAttempts:
		return 0, false
	case now >= s.Deadline:
		s.lastCall = now + s.overduePause(now)
		return s.lastCall, s.AnyEngine && s.lastCall <= s.Deadline+overdueRetryTime
	}
	if s.AnyEngine {
		at = max(now, s.lastCall+s.pauseForOtherEngine(now))
	} else {
		at = now + s.pauseForSameEngine(now)
	}
	s.lastCall = min(at, s.Deadline)
	return s.lastCall, true
}

// nextAfterEnd returns the time of the next call that the end of an attempt requires. That call gets as many retries as a first call.
func (s *RetrySchedule) nextAfterEnd(now float64) (at float64, again bool) {
	at, s.delayed, again = s.End.NextCall(now, s.Allowed)
	if again {
		s.Attempts = 0
		s.Deadline += at - now
	}
	return at, again
}

// OnlyDelayedCallsLeft reports whether a call has been acknowledged and all remaining calls are for engines that are slow to notice the
// end of an attempt. A node that stops need not wait for these calls.
func (s *RetrySchedule) OnlyDelayedCallsLeft() bool { return s.delayed }

// pauseForOtherEngine returns the minimum time from one call to the next one if that goes to another engine. The second call is
// made immediately.
func (s *RetrySchedule) pauseForOtherEngine(now float64) float64 {
	if s.Attempts == 1 {
		return 0
	}
	pause := initialPause * math.Pow(pauseGrowth, float64(s.Attempts-2))
	return max(initialPause, min(pause, (s.Deadline-now)/maxPauseDivisor))
}

// pauseForSameEngine returns the time from the end of a call to the next one if that goes to the same engine.
func (s *RetrySchedule) pauseForSameEngine(now float64) float64 {
	pause := initialPause * math.Pow(pauseGrowth, float64(s.Attempts-1))
	if remaining := maxAttempts - s.Attempts; remaining <= spreadAttempts {
		pause = max(pause, (s.Deadline-now)/float64(remaining))
	}
	return pause
}

// overduePause returns the time from the end of a call past the deadline to the next one.
func (s *RetrySchedule) overduePause(now float64) float64 {
	return max(minOverduePause, (now-s.Deadline)/overduePauseParts)
}

// CallTimeout returns how long the next call may take (s). If any engine can release the state, the first calls have a short
// timeout, so that a silent engine costs little of the time; otherwise a call gets a share of the remaining time.
func (s *RetrySchedule) CallTimeout(now float64) float64 {
	timeout := (s.Deadline - now) / callTimeoutParts
	if s.AnyEngine {
		timeout = min(timeout, minCallTimeout*(1+float64(s.Attempts)/2))
	}
	return max(minCallTimeout, timeout)
}
