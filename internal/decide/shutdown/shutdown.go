// Package shutdown decides when a node that stops ends the streams that it still passes on, where clients come again for
// the rest of a stream. A node that is killed cuts all of them at one moment, perhaps one at which the other nodes are
// restarting too: whoever finds nobody then has lost its answer. Ended one by one over the time that is left, most find
// somebody. It does no I/O and reads no clock; times are in seconds.
package shutdown

import (
	"cmp"
	"slices"
)

// Stream is an answer that runs.
type Stream struct {
	ID        string
	StartedAt float64 // when it began
}

// Cutoff is a stream and when it is ended.
type Cutoff struct {
	ID string
	At float64
}

// Shares of the time that is left in which streams are ended. In a rolling restart of a few nodes the one before us may not be
// back yet at first, and the one after us may be told to stop towards the end, so that nobody may be there for a while; where
// there are more, somebody is, and what can end by itself should: the rest of a stream that is ended is read and made anew.
const (
	from, to         = 0.45, 0.9
	fromMany, toMany = 0.85, 0.97
	few              = 3 // nodes
)

// CutoffSchedule says when each stream is ended that has not ended by itself, by one of so many nodes. The youngest go first, for they
// have most before them.
func CutoffSchedule(now, by float64, nodes int, streams []Stream) []Cutoff {
	left, begin, end := max(0, by-now), from, to
	if nodes > few {
		begin, end = fromMany, toMany
	}
	xs := slices.Clone(streams)
	slices.SortFunc(xs, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.StartedAt, a.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	moves := make([]Cutoff, 0, len(xs))
	for i, s := range xs {
		at := begin + (end-begin)*(float64(i)+0.5)/float64(len(xs))
		moves = append(moves, Cutoff{s.ID, now + left*at})
	}
	return moves
}
