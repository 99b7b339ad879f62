package rules

import (
	"maps"
	"slices"

	"dillroute/lab/record"
)

// stateReleaseRule checks rule 5: a state that an engine has reserved for a decode attempt waits no longer than
// Config.StateReleaseLimit while no attempt of its call to fetch a state is in flight. If the prefill's response was lost in transit, the
// prefill counts as in flight until its node closes the connection. Before that, the node cannot know that the state exists, and a release
// call would end prefills that are still running.
//
// A call may have several states, of which an attempt fetches one. Until it has it, the others may wait as well: the limit holds "while no
// attempt of a request is out" (WIRE, rule 5).
type stateReleaseRule struct {
	config   Config
	findings *findings
	kills    *nodeKills
	reserved map[string]*reservedState // by id of the state
	calls    map[callKey]*callStates
}

func newStateReleaseRule(config Config, found *findings, kills *nodeKills) *stateReleaseRule {
	return &stateReleaseRule{
		config:   config,
		findings: found,
		kills:    kills,
		reserved: map[string]*reservedState{},
		calls:    map[callKey]*callStates{},
	}
}

// callKey identifies one attempt of a client.
type callKey struct {
	operation string
	attempt   int
}

func callOf(r record.Record) callKey { return callKey{operation: r.Op, attempt: r.Attempt} }

// callStates is what the states of one call have in common. It exists while one of them is reserved.
type callStates struct {
	states    map[string]*reservedState
	fetching  map[string]int // by engine: decode attempts in flight that fetch a state of the call
	idleSince float64        // end of the latest of them (Unix seconds); 0 = none has ended
}

func (c *callStates) isFetching() bool { return len(c.fetching) > 0 }

// fetchEnded records that an attempt has its state. It no longer waits, so the other states of the call must be released.
func (c *callStates) fetchEnded(at float64) {
	clear(c.fetching)
	c.idleSince = at
}

// reservedState is a prefilled state stored at an engine.
type reservedState struct {
	reservation     record.Record
	call            *callStates
	idleSince       float64 // time since which it could be fetched or released (Unix seconds)
	prefillInFlight bool    // the response of the prefill that made the state was lost, and the prefill has not ended
	reported        bool    // a violation was reported for it
}

func (s *stateReleaseRule) observe(r record.Record) {
	switch r.Kind {
	case record.StateReserved:
		s.reserve(r)
	case record.StateEnded:
		if state := s.reserved[r.State]; state != nil && r.Engine == state.reservation.Engine {
			s.check(state, r.T)
			s.remove(r.State)
			if r.Note == record.StateFetched {
				state.call.fetchEnded(r.T)
			}
		}
	case record.AttemptArrived:
		if call := s.calls[callOf(r)]; call != nil && call.states[r.State] != nil && stageOf(r) == stageDecode {
			s.fetchBegins(call, r)
		}
	case record.AttemptEnded, record.AttemptRejected:
		s.attemptEnded(r)
	}
}

// reserve adds a state, in place of one with the same id.
func (s *stateReleaseRule) reserve(r record.Record) {
	key := callOf(r)
	call := s.calls[key]
	if call == nil {
		call = &callStates{states: map[string]*reservedState{}, fetching: map[string]int{}}
		s.calls[key] = call
	}
	state := &reservedState{reservation: r, call: call, idleSince: r.T, prefillInFlight: r.Note == record.ResponseLost}
	call.states[r.State] = state
	s.reserved[r.State] = state
}

// remove deletes a state that has ended.
func (s *stateReleaseRule) remove(id string) {
	state := s.reserved[id]
	delete(s.reserved, id)
	delete(state.call.states, id)
	if len(state.call.states) == 0 {
		delete(s.calls, callOf(state.reservation))
	}
}

// fetchBegins processes the arrival of an attempt that fetches a state of a call.
func (s *stateReleaseRule) fetchBegins(call *callStates, r record.Record) {
	for _, state := range call.states {
		s.check(state, r.T)
	}
	call.fetching[r.Engine]++
}

func (s *stateReleaseRule) attemptEnded(r record.Record) {
	if call := s.calls[callOf(r)]; call != nil && stageOf(r) == stageDecode && call.fetching[r.Engine] > 0 {
		call.fetching[r.Engine]--
		if call.fetching[r.Engine] == 0 {
			delete(call.fetching, r.Engine)
		}
		call.idleSince = r.T
		return
	}
	state := s.reserved[r.State]
	if state == nil || r.State == "" || !state.prefillInFlight {
		return
	}
	if r.Engine == state.reservation.Engine && r.Attempt == state.reservation.Attempt {
		state.prefillInFlight = false
		state.idleSince = r.T
	}
}

// check reports a state that has been idle for longer than the limit, unless its node was killed.
func (s *stateReleaseRule) check(state *reservedState, now float64) {
	if state.prefillInFlight || state.call.isFetching() || state.reported {
		return
	}
	idle := now - max(state.idleSince, state.call.idleSince)
	reservation := state.reservation
	if idle <= s.config.StateReleaseLimit+s.config.Skew || s.kills.within(reservation.Node, reservation.T, now) {
		return
	}
	state.reported = true
	s.findings.report(5, now, "the state of %s attempt %d waited at %s for %.3f s without an attempt in flight",
		reservation.Op, reservation.Attempt, reservation.Engine, idle)
}

// sweep checks and deletes states that have been idle for longer than the horizon.
func (s *stateReleaseRule) sweep(now float64) {
	for id, state := range s.reserved {
		idle := !state.prefillInFlight && !state.call.isFetching()
		if idle && now > max(state.idleSince, state.call.idleSince)+horizon {
			s.check(state, now)
			s.remove(id)
		}
	}
}

// close checks the states that are still reserved at the end of the run.
func (s *stateReleaseRule) close(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.reserved)) {
		s.check(s.reserved[id], now)
	}
}
