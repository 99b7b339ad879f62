package endpoints

// WatchTimeouts limit each step of a watch. A change counts as notified a fixed time after its source had it and could be reached,
// even if all calls of the node failed; from then on a node that still sends to a draining engine breaks rule 3. A watch may
// therefore take only a part of that time: until its deadline, a watch that has failed silently looks like one without changes,
// and the calls after it have to fit into the rest of the time. All times are in seconds.
type WatchTimeouts struct {
	Hold             float64 // how long a watch asks the source to wait for a change
	ResponseSlack    float64 // time beyond Hold after which a watch without a byte of a response counts as silent
	FirstByte        float64 // limit for a new connection, and for the first byte of the response to a call that does not wait
	BetweenBytes     float64 // limit between two bytes of a response: a slow response is allowed, one that has stopped is not
	CompleteResponse float64 // limit for a complete response, from its first byte
	MaxSilence       float64 // limit for the first byte of the response to a silent call, while others are made in parallel
	MaxCallInterval  float64 // longest interval between calls that are made in parallel to silent ones
	MaxCalls         int     // maximum number of calls in flight; a further call ends the oldest one
}

// Shares of the time after which a change counts as notified. The shares of a silent watch and of two more calls that are silent or
// fail, each followed by the longest backoff of an agent's poller, add up to less than the whole
// (TestNextCallComesBeforeNotificationTime checks this).
const (
	watchHoldShare        = 0.5
	responseSlackShare    = 0.06
	firstByteShare        = 0.07
	completeResponseShare = 0.3
	maxSilenceShare       = 5.0  // a source is unlikely to answer a call that was made before a longer outage
	maxCallIntervalShare  = 0.25 // while all calls are silent, one more is made at least this often
)

// maxWatchCalls allows a watch, a call in parallel to it, and one more in case that call was lost.
const maxWatchCalls = 3

// maxBackoffDoublings limits how often CallDeadline doubles its time, so that the shifted number fits into an int.
const maxBackoffDoublings = 8

// NewWatchTimeouts returns the timeouts for a source whose changes count as notified after the given time (s).
func NewWatchTimeouts(notifiedAfter float64) WatchTimeouts {
	return WatchTimeouts{
		Hold:             watchHoldShare * notifiedAfter,
		ResponseSlack:    responseSlackShare * notifiedAfter,
		FirstByte:        firstByteShare * notifiedAfter,
		BetweenBytes:     firstByteShare * notifiedAfter,
		CompleteResponse: completeResponseShare * notifiedAfter,
		MaxSilence:       maxSilenceShare * notifiedAfter,
		MaxCallInterval:  maxCallIntervalShare * notifiedAfter,
		MaxCalls:         maxWatchCalls,
	}
}

// WatchDeadline returns when a watch that started at the given time counts as silent if no byte has been received.
func (w WatchTimeouts) WatchDeadline(started float64) float64 {
	return started + w.Hold + w.ResponseSlack
}

// CallDeadline returns when a call that started at the given time and does not wait for a change counts as silent. silentCalls
// is the number of silent calls before it: the longer an outage lasts, the fewer calls are made.
func (w WatchTimeouts) CallDeadline(started float64, silentCalls int) float64 {
	doublings := min(max(0, silentCalls-1), maxBackoffDoublings)
	return started + min(w.MaxCallInterval, w.FirstByte*float64(int(1)<<doublings))
}
