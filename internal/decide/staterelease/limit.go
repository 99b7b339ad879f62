package staterelease

// Progress is the progress of a request's attempts while engines hold a state of the request that is due for release. Of several
// attempts, the one that has progressed furthest counts, in the order of the values.
type Progress int

// Values of Progress.
const (
	// NoneInFlight means that no attempt is in flight.
	NoneInFlight Progress = iota
	// NotDelivered means that the requests of all attempts are still queued on this machine.
	NotDelivered
	// Silent means that an attempt has left this machine, or is being canceled, and that no byte of a response has been received.
	// Whether it has reached a running engine is unknown: its bytes may only have reached the kernel of the next machine.
	Silent
	// Responding means that the response of an attempt has begun to stream.
	Responding
)

// Action is what is done about a state that is due for release.
type Action int

// Actions.
const (
	// Wait does nothing, because an attempt is certainly in flight.
	Wait Action = iota
	// Cancel cancels the attempts, none of which has reached its engine, and checks again after CancelGrace.
	Cancel
	// Release releases the state immediately, even while attempts are in flight.
	Release
)

// String returns the action as logs show it.
func (a Action) String() string {
	switch a {
	case Wait:
		return "wait"
	case Cancel:
		return "cancel"
	case Release:
		return "release"
	}
	return "unknown"
}

// ActionAtLimit returns what is done when a state is due for release. fetchable means that an attempt in flight may need to fetch the
// state. The class of the request and later actions of the scheduler don't matter, because nothing has used the state until it was due.
//
// The state of a silent attempt is released although the attempt may have reached a slow engine. Data received from the engine, the
// connection that it came over and its order do not prove that the attempt arrived (docs/incidents/held-states-2026-12.md).
func ActionAtLimit(progress Progress, fetchable bool) Action {
	switch {
	case progress == Responding:
		return Wait
	case progress == NotDelivered && fetchable:
		return Cancel
	}
	return Release
}

// CancelGrace is the time within which a canceled attempt ends (s).
const CancelGrace = canceledAttemptDelay

// repeatShare is the share of the allowed time after which a release that was made while a silent attempt was in flight is repeated. The
// interval is shorter than the slack that rule 5 adds to the limit. So the state is released within that slack even if its engine lost
// the attempt just after a call.
const repeatShare = 0.25

// RepeatInterval returns the time from a release that was acknowledged while a silent attempt was in flight to the next one (s).
func RepeatInterval(allowed float64) float64 { return repeatShare * allowed }

// DueAt returns when a state that has been held since the given time, and may be held for allowed seconds, must be released or be
// fetched by an attempt that responds. attemptAt is the start of the latest attempt (0 = none has started). That attempt gets a little
// time for its response, but not beyond the allowed time.
func DueAt(since, allowed, attemptAt float64) float64 {
	due := since + releaseStartShare*allowed
	if attemptAt > 0 {
		due = max(due, attemptAt+silentAttemptShare*allowed)
	}
	return min(due, since+allowed)
}
