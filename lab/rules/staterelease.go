package rules

import (
	"maps"
	"slices"

	"dillroute/lab/record"
)

// stateReleaseRule checks rule 5: a state that an engine has reserved for a decode attempt waits no longer than
// Config.StateReleaseLimit while no attempt to fetch it is in flight. If the prefill's response was lost in transit, the prefill counts
// as in flight until its node closes the connection. Before that, the node cannot know that the state exists, and a release call would
// end prefills that are still running.
type stateReleaseRule struct {
	config   Config
	findings *findings
	kills    *nodeKills
	reserved map[string]*reservedState // by id of the state
}

// reservedState is a prefilled state stored at an engine.
type reservedState struct {
	reservation     record.Record
	idleSince       float64 // time since which no attempt to fetch it is in flight (Unix seconds)
	inFlight        int     // number of attempts to fetch it, plus 1 while prefillInFlight
	prefillInFlight bool    // the response of the prefill that made the state was lost, and the prefill has not ended
	reported        bool    // a violation was reported for it
}

func (s *stateReleaseRule) observe(r record.Record) {
	if r.Kind == record.StateReserved {
		state := &reservedState{reservation: r, idleSince: r.T}
		if r.Note == record.ResponseLost {
			state.prefillInFlight = true
			state.inFlight = 1
		}
		s.reserved[r.State] = state
		return
	}
	state := s.reserved[r.State]
	if state == nil || r.State == "" {
		return
	}
	switch r.Kind {
	case record.StateEnded:
		if r.Engine == state.reservation.Engine {
			s.check(state, r.T)
			delete(s.reserved, r.State)
		}
	case record.AttemptArrived:
		if stageOf(r) == stageDecode {
			s.check(state, r.T)
			state.inFlight++
		}
	case record.AttemptEnded, record.AttemptRejected:
		switch {
		case stageOf(r) == stageDecode && state.inFlight > 0:
			state.inFlight--
			state.idleSince = r.T
		case state.prefillInFlight && r.Engine == state.reservation.Engine && r.Attempt == state.reservation.Attempt:
			state.prefillInFlight = false
			state.inFlight--
			state.idleSince = r.T
		}
	}
}

// check reports a state that has been idle for longer than the limit, unless its node was killed.
func (s *stateReleaseRule) check(state *reservedState, now float64) {
	if state.inFlight > 0 || state.reported {
		return
	}
	idle := now - state.idleSince
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
		if state.inFlight == 0 && now > state.idleSince+horizon {
			s.check(state, now)
			delete(s.reserved, id)
		}
	}
}

// close checks the states that are still reserved at the end of the run.
func (s *stateReleaseRule) close(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.reserved)) {
		s.check(s.reserved[id], now)
	}
}
