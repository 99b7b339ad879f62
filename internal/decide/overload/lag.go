package overload

// lagGain, deviationGain and boundDeviations are those of RFC 6298 (section 2) for round-trip times.
const (
	lagGain          = 0.125
	deviationGain    = 0.25
	boundDeviations  = 4
	lagHalfLife      = 2.0 // s; decay halves the estimate if it last reduced it this long ago
	minRetryAfter    = 0.1 // s; lower bound of the recovery time of the node
	maxRetryAfter    = 5.0 // s; upper bound of the recovery time, and of the time after which a client may retry
	retryRandomFloor = 0.5 // lowest multiple of the recovery time after which a client may retry; the highest is one more
)

// lagEstimate is a moving mean and deviation of the lag.
type lagEstimate struct {
	mean, deviation float64 // s
	decayedAt       float64 // when decay last reduced the estimate (s)
}

// observe adds a sample.
func (e *lagEstimate) observe(now, lag float64) {
	e.decay(now)
	lag = max(0, lag)
	difference := lag - e.mean
	if difference < 0 {
		difference = -difference
	}
	e.deviation += deviationGain * (difference - e.deviation)
	e.mean += lagGain * (lag - e.mean)
}

// decay reduces the estimate for the time since it was last reduced. So a lag that is not observed again loses weight.
func (e *lagEstimate) decay(now float64) {
	elapsed := now - e.decayedAt
	if elapsed <= 0 {
		return
	}
	remaining := lagHalfLife / (lagHalfLife + elapsed)
	e.mean *= remaining
	e.deviation *= remaining
	e.decayedAt = now
}

// bound returns an upper bound of the lag of the next event (s).
func (e *lagEstimate) bound(now float64) float64 {
	e.decay(now)
	return e.mean + boundDeviations*e.deviation
}

// retryAfter returns the time after which a rejected client may retry (s). It spreads the retries over the time that the node
// needs to recover from a lag, so that the clients do not all retry at the same time.
func retryAfter(lag, random float64) float64 {
	recovery := min(maxRetryAfter, max(minRetryAfter, 2*lagHalfLife*min(1, lag)+2*lag))
	return min(maxRetryAfter, recovery*(retryRandomFloor+random))
}
