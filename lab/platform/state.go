package platform

import "dillroute/lab/record"

// stateID returns the name that records use for the state of a call at an engine.
func stateID(call, engine string) string { return call + "@" + engine }

// CallsWithState returns the number of calls for which at least one engine stores a reserved state.
func (p *Platform) CallsWithState() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.states)
}

// reserveState reserves a state for a call at an engine. It records the reservation with the given note.
func (p *Platform) reserveState(node, call, engine, note string) {
	p.mu.Lock()
	operation := p.operations[call]
	if p.states[call] == nil {
		p.states[call] = map[string]bool{}
	}
	p.states[call][engine] = true
	p.mu.Unlock()
	p.Log.Add(record.Record{
		Kind:    record.StateReserved,
		Op:      operation.Name,
		Attempt: operation.Attempt,
		Class:   operation.Class,
		Node:    node,
		Engine:  engine,
		State:   stateID(call, engine),
		Note:    note,
	})
}

// releaseUnneededStates handles a release call: it ends the states of a call at all engines, unless an attempt waits for them.
func (p *Platform) releaseUnneededStates(call string) {
	p.mu.Lock()
	needed := p.waitingAttempts[call] > 0
	p.mu.Unlock()
	if !needed {
		p.releaseStates(call, "released")
	}
}

// addWaiting changes the number of attempts that wait for the state of a call: delta is 1 when one starts to wait, -1 when it stops.
func (p *Platform) addWaiting(call string, delta int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingAttempts[call] += delta
	if p.waitingAttempts[call] == 0 {
		delete(p.waitingAttempts, call)
	}
}

// releaseStates ends the states of a call at all engines, and records the cause.
func (p *Platform) releaseStates(call, cause string) {
	p.mu.Lock()
	engines := p.states[call]
	delete(p.states, call)
	p.mu.Unlock()
	for engine := range engines {
		p.Log.Add(record.Record{Kind: record.StateEnded, Engine: engine, State: stateID(call, engine), Note: cause})
	}
}

// dropStates ends the states that an engine stores, because its process has ended.
func (p *Platform) dropStates(engine string) {
	p.mu.Lock()
	var calls []string
	for call, engines := range p.states {
		if !engines[engine] {
			continue
		}
		calls = append(calls, call)
		delete(engines, engine)
		if len(engines) == 0 {
			delete(p.states, call)
		}
	}
	p.mu.Unlock()
	for _, call := range calls {
		p.Log.Add(record.Record{Kind: record.StateEnded, Engine: engine, State: stateID(call, engine), Note: "lost"})
	}
}

// stateHolder returns an engine that stores a reserved state for a call; "" if there is none.
func (p *Platform) stateHolder(call string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for engine := range p.states[call] {
		return engine
	}
	return ""
}
