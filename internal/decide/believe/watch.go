package believe

// Watching says how long each step of following a list may take. Whatever a call came to, a change counts as told a fixed
// time after its source had it and could be reached; from then on a node that still sends to an engine which drains breaks
// rule 3. So a watch must not be waited for longer than a part of that time: one that has fallen silent is told apart from
// one without news only by its own end, and the calls that follow it have to fit in as well. All times are in seconds.
type Watching struct {
	Hold  float64 // that a watch is asked to wait for news
	Late  float64 // that its answer may be late by before the watch counts as silent
	First float64 // for a new connection, and on it for the first byte of an answer that has nothing to wait for
	Idle  float64 // between two bytes of an answer: one that comes slowly is not one that has stopped
	Whole float64 // for a whole answer, from its first byte
	Most  float64 // for the first byte of a call that has been silent, while others have been made beside it
	Calls int     // that are waited for at once; the oldest makes room
}

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

// NewWatching returns the times for a source whose changes count as told after so long (s).
func NewWatching(told float64) Watching {
	return Watching{Hold: holdPart * told, Late: latePart * told, First: firstPart * told, Idle: firstPart * told,
		Whole: wholePart * told, Most: mostPart * told, Calls: calls}
}

// Silent is when a watch that was begun at a time counts as silent, if no byte has come.
func (w Watching) Silent(begun float64) float64 { return begun + w.Hold + w.Late }

// Patience is when a call that was begun at a time and has nothing to wait for counts as silent, so many having been silent
// before it: the longer an outage, the fewer calls are made into it.
func (w Watching) Patience(begun float64, silent int) float64 {
	most := w.Most / mostPart * slowPart
	return begun + min(most, w.First*float64(int(1)<<min(max(0, silent-1), 8)))
}
