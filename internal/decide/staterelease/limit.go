package staterelease

// Progress is how far the attempts of a request have come for which engines hold a state that is due for its release. Of several
// attempts the one counts that has come furthest, in the order of the values.
type Progress int

// Values of Progress.
const (
	// NoneInFlight says that no attempt is in flight.
	NoneInFlight Progress = iota
	// NotDelivered says that the requests of all attempts wait in this machine for their engines.
	NotDelivered
	// Silent says that an attempt has left this machine, or is being canceled, and that no byte of a response has come. Whether it has
	// reached a running engine cannot be known: the kernel of the next machine has its bytes.
	Silent
	// Arrived says that an attempt has reached a running engine, though no byte of its response has come.
	Arrived
	// Responding says that the response of an attempt has begun to stream.
	Responding
)

// Delivery is what is known of the way of an attempt's request to its engine.
type Delivery int

// Values of Delivery.
const (
	// NotSent says that the request waits in this machine.
	NotSent Delivery = iota
	// Unconfirmed says that the next machine has the request. Whether the engine has cannot be known.
	Unconfirmed
	// Confirmed says that the engine's machine has been active since, over a connection that would have fallen silent with this one.
	Confirmed
)

// ProgressOf returns how far an attempt has come of which no byte of a response has come. One that was overtaken, since its engine has
// begun the response of a later attempt, may be lost on a connection that has fallen silent alone; so may one that is being canceled.
func ProgressOf(delivery Delivery, overtaken, canceling bool) Progress {
	switch {
	case canceling:
		return Silent
	case delivery == NotSent:
		return NotDelivered
	case delivery == Confirmed && !overtaken:
		return Arrived
	}
	return Silent
}

// Action is what is done about a state that is due for its release.
type Action int

// Actions.
const (
	// Wait leaves everything as it is, for an attempt is certainly in flight.
	Wait Action = iota
	// Cancel cancels the attempts, which can still be kept from their engines, and looks again after CancelGrace.
	Cancel
	// Release releases the state at once, whatever is in flight.
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

// AtLimit returns what is done when a state is due. It asks neither for the class of the request nor for what the scheduler may do
// about it: whoever else could have used the state in time has not.
//
// An attempt that has arrived is in flight by the rule, and slow: to release its state would cost a prefill (measured in
// docs/incidents/held-states-2026-12.md).
func AtLimit(progress Progress) Action {
	switch progress {
	case Arrived, Responding:
		return Wait
	case NotDelivered:
		return Cancel
	}
	return Release
}

// CancelGrace is the time in which a canceled attempt ends (s).
const CancelGrace = canceledAttemptDelay

// DueAt returns when a state must be released, or be fetched by an attempt that responds, if it has been held since a time, may be held
// for allowed, and the latest attempt started at attemptAt (0 = none has). That attempt has a little time for its response, but not
// beyond the allowed time.
func DueAt(since, allowed, attemptAt float64) float64 {
	due := since + releaseStartShare*allowed
	if attemptAt > 0 {
		due = max(due, attemptAt+silentAttemptShare*allowed)
	}
	return min(due, since+allowed)
}
