package endpoints

// WatchTimeouts bound each step of a watch. A change counts as notified a fixed time after its source had it and could be reached,
// whatever became of the node's calls; from then on a node that still sends to a draining engine breaks rule 3. So a watch
// may take only a part of that time: one that has failed silently differs from one without changes only by its deadline,
// and the calls after it have to fit into the rest. All times are in seconds.
type WatchTimeouts struct {
	Hold             float64 // for which a watch asks the source to wait for a change
	ResponseSlack    float64 // by which a response may be late before the watch counts as silent
	FirstByte        float64 // for a new connection, and on it for the first byte of a call that waits for nothing
	BetweenBytes     float64 // between two bytes of a response: one that comes slowly is not one that has stopped
	CompleteResponse float64 // for a complete response, from its first byte
	MaxSilence       float64 // for the first byte of a call that has been silent, while others are made beside it
	MaxCallInterval  float64 // longest interval between calls that are made beside silent ones
	MaxCalls         int     // that are in flight at once; the oldest one is ended for a new one
}

// Shares of the time after which a change counts as notified. Those of a silent watch and of two more calls that are silent or fail,
// each with the longest backoff of an agent's poller after it, add up to less than the whole
// (TestNextCallComesBeforeNotificationTime walks them).
const (
	watchHoldShare        = 0.5
	responseSlackShare    = 0.06
	firstByteShare        = 0.07
	completeResponseShare = 0.3
	maxSilenceShare       = 5.0  // longer than any outage after which a source is likely to answer a call made before it
	maxCallIntervalShare  = 0.25 // while all calls are silent, one more is made at least this often
)

// maxWatchCalls allows a watch, a call made beside it, and one more if that one was lost.
const maxWatchCalls = 3

// maxBackoffDoublings bounds the doublings of CallDeadline's time, so that the shift stays within an int.
const maxBackoffDoublings = 8

// NewWatchTimeouts returns the timeouts for a source whose changes count as notified after so long (s).
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

// WatchDeadline returns when a watch that started at a time counts as silent, if no byte has come.
func (w WatchTimeouts) WatchDeadline(started float64) float64 {
	return started + w.Hold + w.ResponseSlack
}

// CallDeadline returns when a call that started at a time and waits for nothing counts as silent. silentCalls is the number
// of silent calls before it: the longer an outage lasts, the fewer calls are made into it.
func (w WatchTimeouts) CallDeadline(started float64, silentCalls int) float64 {
	doublings := min(max(0, silentCalls-1), maxBackoffDoublings)
	return started + min(w.MaxCallInterval, w.FirstByte*float64(int(1)<<doublings))
}
