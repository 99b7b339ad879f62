// Package staterelease decides when, and on which engine, the state that engines hold for a request is released.
//
// A state must be released within a stated time (rule 5). A release call may be lost, and is then repeated. An acknowledged call is
// followed by others only if an attempt ended without a response (AttemptEnd). Calls to an engine that must have terminated stop. The
// package does no I/O and reads no clock; times are in seconds. Its functions are safe for concurrent use; a RetrySchedule is not.
package staterelease

// ReleaseLeadTime is how long an attempt waits for a release call that was started just before it (s). If the call reached the
// engine after the attempt, it would release the state of that attempt too. The wait is a few times what a call takes on an open
// connection, and not longer, because the attempt's own timeout is running.
const ReleaseLeadTime = 0.015

const (
	// canceledAttemptDelay is how long a canceled attempt may still be in progress (s).
	canceledAttemptDelay = 0.03
	// releaseStartShare is the share of the allowed time after which a release starts. The rest is for its calls, and for
	// canceling attempts before them.
	releaseStartShare = 0.9
	// silentAttemptShare is the share of the allowed time that an attempt in flight gets before the state is released despite it.
	// Most first tokens take less.
	silentAttemptShare = 0.3
)
