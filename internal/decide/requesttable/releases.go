package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
)

// release lets go of the read state that waits, unless an attempt is out to fetch it: the state is its now.
func (l *Table) release(id string) {
	e := l.records[id]
	if e == nil || e.state == "" {
		return
	}
	for i := range e.attempts {
		if t := &e.attempts[i]; !t.over && t.withState {
			return
		}
	}
	l.letGo(id, e, ReleaseState{Engine: e.state, Attempt: e.stateN})
	e.state = ""
	l.flush(e)
	l.settle(id, e)
}

// letGo has a state released: at once, or where a release takes all that is held, as soon as nothing else is at stake.
func (l *Table) letGo(id string, e *requestRecord, r ReleaseState) {
	r.ID = id
	if !l.config.ReleaseFreesAllStates {
		r.CutAt = 0
		l.do(r)
		return
	}
	if r.CutAt > 0 {
		e.owedCut = &r
	} else {
		e.owed = &r
	}
}

// AttemptSilent is told that nothing has come of an attempt in the time for which the state may be held that it is to take, though its request
// was written, and whether its engine has been heard of since. The state is released beside the attempt where permit allows it.
func (l *Table) AttemptSilent(id string, n int, engineHeard bool) {
	e := l.records[id]
	if e == nil || !l.config.ReleaseFreesAllStates {
		return
	}
	if t := e.attempt(n); t != nil && e.releasesBeside(t, engineHeard) {
		l.do(ReleaseState{ID: id, Engine: e.state, Attempt: e.stateN, Beside: n, IsBeside: true})
	}
}

// releasesBeside tells whether the attempt still waits for a first token, and the state that it is to take may be released beside it.
func (e *requestRecord) releasesBeside(t *attempt, engineHeard bool) bool {
	due := !t.over && !t.streaming && e.state != "" && t.took(e)
	ask := permit.Release{AttemptsInFlight: e.out, StateNeeded: true, LimitNear: due, EngineResponded: engineHeard, Effect: e.class.Effect,
		SilentTwice: e.silent, PrefillsInFlight: e.readsOut()}
	return ask.Reason() == permit.Allowed
}

// readsOut counts the attempts that are out and read a prompt.
func (e *requestRecord) readsOut() (n int) {
	for i := range e.attempts {
		if t := &e.attempts[i]; !t.over && t.stage == outcome.Prefill {
			n++
		}
	}
	return n
}

// mayRelease says why a call that releases all that is held for the request may not be made yet.
func (e *requestRecord) mayRelease() permit.Reason {
	return permit.Release{AttemptsInFlight: e.out, StateNeeded: e.state != ""}.Reason()
}

// flush makes the releases that are owed once no attempt is out and no state is wanted. That of a state does not wait for the
// moment which that of an attempt broken off needs: the next attempt may be begun before it has passed.
func (l *Table) flush(e *requestRecord) {
	if e.mayRelease() != permit.Allowed {
		return
	}
	for _, r := range []*ReleaseState{e.owed, e.owedCut} {
		if r != nil {
			l.do(*r)
		}
	}
	e.owed, e.owedCut = nil, nil
}

// ReleaseAllowed is asked before a release is tried again. Where it would take what has come since, it is owed anew.
func (l *Table) ReleaseAllowed(r ReleaseState) bool {
	e := l.records[r.ID]
	if e == nil || !l.config.ReleaseFreesAllStates || e.mayRelease() == permit.Allowed {
		return true
	}
	if r.IsBeside {
		t := e.attempt(r.Beside)
		return t != nil && e.releasesBeside(t, false)
	}
	l.letGo(r.ID, e, r)
	return false
}
