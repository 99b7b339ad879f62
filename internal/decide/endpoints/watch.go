package endpoints

// WatchTimeouts says how long each step of following a list may take. Whatever a call came to, a change counts as told a fixed
// time after its source had it and could be reached; from then on a node that still sends to an engine which drains breaks
// rule 3. So a watch must not be waited for longer than a part of that time: one that has fallen silent is told apart from
// one without news only by its own end, and the calls that follow it have to fit in as well. All times are in seconds.
type WatchTimeouts struct {
	Hold             float64 // that a watch is asked to wait for news
	ResponseSlack    float64 // that its answer may be late by before the watch counts as silent
	FirstByte        float64 // for a new connection, and on it for the first byte of an answer that has nothing to wait for
	BetweenBytes     float64 // between two bytes of an answer: one that comes slowly is not one that has stopped
	CompleteResponse float64 // for a whole answer, from its first byte
	MaxSilence       float64 // for the first byte of a call that has been silent, while others have been made beside it
	MaxCallInterval  float64 // the longest between two calls that are made beside silent ones
	MaxCalls         int     // that are waited for at once; the oldest makes room
}

// PollPolicy is how a source of lists is followed.
type PollPolicy struct {
	WatchTimeouts
	FirstCallSpread float64        // over which the first calls of nodes that start together are spread
	NewPoller       func() *Poller // makes what says when to call again
}

// AgentPollPolicy is the pace for a source that is the node's own, on its machine: it answers at once and at no cost, and what it
// has counts as told. told is when a change counts as told whatever became of calls.
func AgentPollPolicy(told float64, draw func() float64) PollPolicy {
	return PollPolicy{WatchTimeouts: NewWatchTimeouts(told), NewPoller: func() *Poller { return NewAgentPoller(draw) }}
}

// SharedPollPolicy is the pace for a source that all nodes ask, which can answer each of them only every few seconds and turns away
// what would wait for longer than its time-out. Nodes that ask again at once keep it overloaded for ever: those that start with a
// list that was known before spread their first calls, each waits by chance after a failure, and once it was turned away twice so
// long that all who were do not overload it, but no longer than a change takes to count (askEvery is the time in which a node is
// expected to ask, s). An answer may be queued
// for that time-out, so that a call which waits for nothing is not silent before.
func SharedPollPolicy(told, askEvery float64, draw func() float64) PollPolicy {
	w := NewWatchTimeouts(told)
	w.Hold, w.FirstByte = sharedHold*told, sharedTimeout*told
	w.MaxCallInterval, w.MaxCalls = max(w.FirstByte, askEvery/2), sharedCalls
	asker := func() *Poller {
		a := NewAgentPoller(draw)
		a.MinBackoff, a.MaxBackoff, a.OverloadBackoff = sharedLeast, sharedMost*told, told
		a.MaxInterval, a.CongestionDelay = sharedSpacing*told, sharedLate*told
		return a
	}
	return PollPolicy{WatchTimeouts: w, FirstCallSpread: min(sharedMost*told, sharedSpread*askEvery), NewPoller: asker}
}

// Figures of a shared source. Its time-out is a third of the time after which a change counts as told (2 s of 6 s; PROTOCOL,
// figures), and a silent watch, its end and one queued answer are to fit into that time.
const (
	sharedHold    = 1.0 / 3
	sharedTimeout = 1.0 / 3
	sharedCalls   = 2
	sharedLeast   = 0.5  // s before the first further call
	sharedMost    = 0.65 // the longest wait at first, before the first call too: with a queued answer it fits into the time
	sharedSpacing = 0.4  // the longest pause after an answer: with a queued answer and a call more it fits into the time
	sharedLate    = 1.0 / 12
	sharedSpread  = 0.8 // of the time in which a node is expected to ask
)

// Shares of the time after which a change counts as told. Those of a silent watch and of two more calls that are silent or fail,
// each with the longest wait of a Watcher after it, add up to less than the whole (TestAChangeIsHeardInTime walks them).
const (
	holdPart  = 0.5
	latePart  = 0.06
	firstPart = 0.07
	wholePart = 0.3
	mostPart  = 5.0  // beyond any outage that a source is likely to answer after
	calls     = 3    // a watch, one made beside it, and one more if that one was lost
	slowPart  = 0.25 // while all calls are silent one more is made this often at the least
)

// NewWatchTimeouts returns the times for a source whose changes count as told after so long (s).
func NewWatchTimeouts(told float64) WatchTimeouts {
	return WatchTimeouts{Hold: holdPart * told, ResponseSlack: latePart * told, FirstByte: firstPart * told, BetweenBytes: firstPart * told,
		CompleteResponse: wholePart * told, MaxSilence: mostPart * told, MaxCallInterval: slowPart * told, MaxCalls: calls}
}

// WatchDeadline is when a watch that was begun at a time counts as silent, if no byte has come.
func (w WatchTimeouts) WatchDeadline(begun float64) float64 { return begun + w.Hold + w.ResponseSlack }

// CallDeadline is when a call that was begun at a time and has nothing to wait for counts as silent, so many having been silent
// before it: the longer an outage, the fewer calls are made into it.
func (w WatchTimeouts) CallDeadline(begun float64, silent int) float64 {
	return begun + min(w.MaxCallInterval, w.FirstByte*float64(int(1)<<min(max(0, silent-1), 8)))
}
