// Package shutdown decides when a node that shuts down gracefully ends the streams that it still forwards. It is for clients that
// reconnect to another node for the rest of a stream. A node that is killed ends all of its streams at the same time, perhaps while the
// other nodes restart too; a client that finds no node then loses its response. If the streams are ended one by one over the time
// that remains until the deadline, most clients find a node. The package does no I/O and reads no clock; times are in seconds.
package shutdown

import (
	"cmp"
	"slices"
)

// Stream is a response that is streaming.
type Stream struct {
	ID        string
	StartedAt float64
}

// Cutoff is a stream and the time at which the node ends it.
type Cutoff struct {
	ID string
	At float64
}

// interval is a part of the remaining time. from and to are shares of that time.
type interval struct{ from, to float64 }

var (
	// fewNodesInterval is for a rolling restart of a few nodes. At the start of the remaining time, the node that was restarted
	// before may not be available yet. Towards its end, the next node may have begun to stop. At both times a client may find
	// no node.
	fewNodesInterval = interval{from: 0.45, to: 0.9}
	// manyNodesInterval is for more nodes, of which some are always available. Streams should end by themselves if they can,
	// because the rest of a stream that is ended early has to be prefilled and generated again.
	manyNodesInterval = interval{from: 0.85, to: 0.97}
)

// maxFewNodes is the largest number of nodes that fewNodesInterval is for.
const maxFewNodes = 3

// CutoffSchedule returns when a node ends each stream that has not ended before. nodes is the number of all nodes.
// All streams are ended before the deadline, the youngest first, because they have the most left to send.
func CutoffSchedule(now, deadline float64, nodes int, streams []Stream) []Cutoff {
	timeLeft := max(0, deadline-now)
	part := fewNodesInterval
	if nodes > maxFewNodes {
		part = manyNodesInterval
	}
	youngestFirst := slices.Clone(streams)
	slices.SortFunc(youngestFirst, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(b.StartedAt, a.StartedAt), cmp.Compare(a.ID, b.ID))
	})
	cutoffs := make([]Cutoff, 0, len(youngestFirst))
	for i, stream := range youngestFirst {
		share := part.from + (part.to-part.from)*(float64(i)+0.5)/float64(len(youngestFirst))
		cutoffs = append(cutoffs, Cutoff{ID: stream.ID, At: now + timeLeft*share})
	}
	return cutoffs
}
