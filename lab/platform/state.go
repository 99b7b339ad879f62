package platform

import "dillroute/lab/record"

// stateID names the state of a call at an engine in records.
func stateID(call, engine string) string { return call + "@" + engine }

// CallsWithState returns for how many calls an engine reserves a state.
func (p *Platform) CallsWithState() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.states)
}

// reserveState notes that an engine reserves a state for a call; note is that of its record.
func (p *Platform) reserveState(node, call, engine, note string) {
	p.mu.Lock()
	operation := p.operations[call]
	if p.states[call] == nil {
		p.states[call] = map[string]bool{}
	}
	p.states[call][engine] = true
	p.mu.Unlock()
	p.Log.Add(record.Record{
		Kind:   record.StateReserved,
		Op:     operation.Name,
		Try:    operation.Attempt,
		Class:  operation.Class,
		Node:   node,
		Engine: engine,
		State:  stateID(call, engine),
		Note:   note,
	})
}

// releaseUnneededStates carries out a release call: it ends the states of a call at all engines, unless an attempt waits for them.
func (p *Platform) releaseUnneededStates(call string) {
	p.mu.Lock()
	needed := p.waitingAttempts[call] > 0
	p.mu.Unlock()
	if !needed {
		p.releaseStates(call, "released")
	}
}

// addWaiting counts an attempt that waits for the state of a call (1), or that does so no longer (-1).
func (p *Platform) addWaiting(call string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingAttempts[call] += delta
	if p.waitingAttempts[call] == 0 {
		delete(p.waitingAttempts, call)
	}
}

// releaseStates ends the states of a call at all engines.
func (p *Platform) releaseStates(call, cause string) {
	p.mu.Lock()
	engines := p.states[call]
	delete(p.states, call)
	p.mu.Unlock()
	for engine := range engines {
		p.Log.Add(record.Record{Kind: record.StateEnded, Engine: engine, State: stateID(call, engine), Note: cause})
	}
}

// stateHolder returns an engine that reserves a state for a call; "" = there is none.
func (p *Platform) stateHolder(call string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine := range p.states[call] {
		return engine
	}
	return ""
}
