// Package endpoints decides which engines a node sends to, and when it polls for the next endpoint list.
//
// A View is built from complete lists. They may arrive late, twice or out of order, may come from a server that lost its
// state, and may lack most of the fleet. A NotifiedView is built from updates that count as notified from the moment the
// source sends them. A Poller schedules the calls to the source, a PollPolicy limits how long each step may take, and StartTimes
// translates reported start times to the node's clock. The package does no I/O and reads no clock; times are in seconds.
//
// A View applies immediately that an engine drains, was added, restarted, moved or changed its role. It waits for confirmation
// before it removes a large part of a role in one step, and before it treats an engine as ready that is removed and added
// again and again. The cost of waiting is bounded: the node sends to removed engines for at most Options.ConfirmAfter, and
// attempts fail immediately there. Without the wait, a single broken response would make the node reject every request.
package endpoints

import (
	"maps"
	"slices"
)

// State is the state of an engine in an endpoint list.
type State int

// States of a listed engine.
const (
	Ready State = iota
	Draining
)

// String returns the state's name in list files.
func (s State) String() string {
	switch s {
	case Ready:
		return "ready"
	case Draining:
		return "draining"
	}
	return "unknown"
}

// Endpoint is one engine in a list.
type Endpoint struct {
	ID, Address string
	Kind, Role  int
	Cell, Zone  int
	State       State
	Weight      float64
	BootTime    float64 // time of the last start; 0 = long ago
}

// List is a complete endpoint list as received from a source.
type List struct {
	Index     uint64 // orders the lists of one source; 0 = the source has no index
	Endpoints []Endpoint
}

// sortedIDs returns the sorted keys of a map by engine id.
func sortedIDs[V any](byID map[string]V) []string {
	return slices.Sorted(maps.Keys(byID))
}
