// Package staterelease decides when, and on which engine, the state that engines hold for a request is released.
//
// A state must be released within a stated time (rule 5). A call that releases it may be lost, and is made again; an engine that
// has responded, or that cannot be there any more, needs no second call. The package does no I/O and reads no clock; times are
// in seconds. Its functions may be called by any goroutine; a RetrySchedule belongs to one.
package staterelease

// ReleaseLeadTime is for how long an attempt waits for a release call that was started just before it (s): if the call arrived
// after what the attempt brings, it would release that too. It is a few times what a call takes on an open connection, and no
// more, because the attempt's own time passes.
const ReleaseLeadTime = 0.015

const (
	// canceledAttemptDelay is the time for which a canceled attempt may still be under way (s).
	canceledAttemptDelay = 0.03
	// releaseStartShare is the share of the allowed time after which a release starts; its calls, and attempts that have to be
	// canceled before, take the rest.
	releaseStartShare = 0.9
	// silentAttemptShare is the share of the allowed time that an attempt gets before a release beside it. Most first tokens
	// take less.
	silentAttemptShare = 0.3
	// responseTransit is a few times the transit time of a response (s).
	responseTransit = 0.05
)

// EarliestRelease returns when the first call may be made: at once, or a little after an attempt that was canceled just before
// (canceledAt; 0 = none was), because its engine may start it only then.
func EarliestRelease(now, canceledAt float64) float64 {
	if canceledAt > 0 {
		return max(now, canceledAt+canceledAttemptDelay)
	}
	return now
}

// ReleaseAt returns when the release of a state must start that has been held since a time and may be held for allowed (s).
func ReleaseAt(since, allowed float64) float64 { return since + releaseStartShare*allowed }

// SilentReleaseAt returns when a state that has been held since a time is released beside an attempt that starts now to use it,
// if the attempt has stayed silent: when the release is due, but not before the attempt has had some time for a response.
func SilentReleaseAt(now, since, allowed float64) float64 {
	return max(ReleaseAt(since, allowed), now+silentAttemptShare*allowed)
}

// EngineResponded tells whether an engine that last responded at a time has done so since an attempt there started. A response
// at about the same moment may have been sent before the attempt arrived.
func EngineResponded(respondedAt, startedAt float64) bool {
	return respondedAt > startedAt+responseTransit
}
