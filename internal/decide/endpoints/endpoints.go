// Package endpoints decides which engines a node sends to, and when it polls for the next engine list.
//
// A View is built from complete lists that may come late, twice or out of order, from servers that lost their state, and
// at times with most of the fleet missing. A NotifiedView is built from updates that count as notified from the moment the
// source sends them. A Poller says when to call the source, a PollPolicy how long each step may take, and StartTimes
// translates reported start times into the node's clock. The package does no I/O and reads no clock; times are in seconds.
//
// A View applies at once that an engine drains, that one was added, restarted, moved or changed its role. It waits for
// confirmation before it removes a large part of a role in one step, and before it calls an engine ready that keeps
// coming and going. Both errors are bounded: a node that waits sends to removed engines, which fail at once, for at most
// Options.ConfirmAfter; a node that did not wait would reject every request because of one broken response.
package endpoints

import (
	"maps"
	"slices"
)

// State is the state that a list gives an engine.
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
	BootTime    float64 // last start; 0 = long ago
}

// List is a complete engine list as a source gave it.
type List struct {
	Index     uint64 // orders the lists of one source; 0 = the source has no index
	Endpoints []Endpoint
}

// sortedIDs returns the keys of a map by engine id in their order.
func sortedIDs[V any](byID map[string]V) []string {
	return slices.Sorted(maps.Keys(byID))
}
