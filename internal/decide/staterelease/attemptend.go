package staterelease

import "math"

// AttemptEnd is the end of an attempt that got no response after its request had been written. Its engine may notice the end a moment
// later, or much later if it hangs or cannot be reached. Until then the engine may hold a state despite release calls, or may be running
// a prefill that leaves one. An acknowledged call rules out neither.
type AttemptEnd struct {
	At             float64 // 0 = no attempt ended this way
	EngineServedAt float64 // start of the latest request that the engine has responded to, over any connection
}

const (
	// delayedCallShare is the share of the allowed time from the end to the first delayed call. Delayed calls are for an engine that
	// notices the end late.
	delayedCallShare = 0.7
	// delayedCallInterval is the share of the allowed time from one delayed call to the next. It is below 1 because the allowed time of
	// a state starts when its engine notices the end.
	delayedCallInterval = 0.9
	// delayedCallTime is how long after the end delayed calls continue if the engine has responded to no later request (s).
	delayedCallTime = 15.0
	// timeTolerance is the share of an interval by which a computed time may be too early because of rounding.
	timeTolerance = 1e-3
)

// NextCall returns the time of the next call that the end requires even if all earlier calls were acknowledged; again is false if there
// is none. delayed reports whether the call is for an engine that is slow to notice the end.
func (e AttemptEnd) NextCall(now, allowed float64) (at float64, delayed, again bool) {
	if e.At <= 0 {
		return 0, false, false
	}
	if at = e.At + canceledAttemptDelay; at > now {
		return at, false, true
	}
	first := e.At + delayedCallShare*allowed
	if first > now {
		return first, true, true
	}
	if allowed <= 0 || e.engineNoticed() {
		return 0, false, false
	}
	interval := delayedCallInterval * allowed
	at = first + interval*(math.Floor((now-first)/interval+timeTolerance)+1)
	return at, true, at <= e.At+delayedCallTime
}

// MaxAttemptDelay returns the longest time for which the next attempt of the request waits for a release that starts now (s). The attempt
// waits for the call that is made once the engine can have noticed the end, because that call would otherwise release the attempt's own
// state. To wait for an earlier call is not enough: that call may have reached the engine before the end did.
func (e AttemptEnd) MaxAttemptDelay(now float64) float64 {
	return max(0, e.At+canceledAttemptDelay-now) + ReleaseLeadTime
}

// FollowUpCallPending reports whether the follow-up call, which is made once the engine can have noticed the end, is still to be made.
func (e AttemptEnd) FollowUpCallPending(now float64) bool {
	return e.At > 0 && now < e.At+canceledAttemptDelay
}

// AttemptsMustWait reports whether attempts that started after the end must still wait for a release call.
func (e AttemptEnd) AttemptsMustWait(now float64) bool {
	return e.At > 0 && now < e.At+canceledAttemptDelay+ReleaseLeadTime
}

// engineNoticed reports whether the engine has responded to a request that was started after the end. Receiving data from the engine
// after the end is no proof: a response already in transit may be completed although the engine's process hangs.
func (e AttemptEnd) engineNoticed() bool { return e.EngineServedAt > e.At+canceledAttemptDelay }
