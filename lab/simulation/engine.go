package simulation

import (
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// EngineFault is a fault of an engine.
type EngineFault string

// Faults of an engine.
const (
	// Healthy is no fault.
	Healthy EngineFault = ""
	// Hangs accepts connections and requests, and answers none.
	Hangs EngineFault = "hangs"
	// Silent establishes no connection, and sends nothing on those that are open.
	Silent EngineFault = "silent"
	// RejectsAll rejects all requests.
	RejectsAll EngineFault = "refuses"
	// FailsAll answers 500 at once.
	FailsAll EngineFault = "errors"
	// SlowsDown works at slowSpeed.
	SlowsDown EngineFault = "crawls"
	// LosesStates has lost the states that are fetched.
	LosesStates EngineFault = "loses"
	// LosesPrefixes caches no prefixes.
	LosesPrefixes EngineFault = "forgets"
)

// slowSpeed is the part of its speed at which an engine works that slows down.
const slowSpeed = 0.1

// engine is an emulated engine: a model of slots and a queue, which the socket side (engineserver.go) and the baseline policy share.
type engine struct {
	EngineSpec
	kind  Kind
	fleet *fleet

	mu             sync.Mutex // guards all that follows
	running        int        // slots in use
	waiting        []chan struct{}
	fault          EngineFault
	up             bool
	dead           chan struct{} // closed when the process ends
	startedAt      time.Time     // of the last cold start; zero = long ago
	arrivals       []arrival     // in the window of slow start
	overloaded     bool          // it was sent more than it can serve during slow start
	cachedPrefixes map[string]bool
	listener       *memnet.Listener
}

// engineState is what an engine is like at a moment.
type engineState struct {
	fault          EngineFault
	up, overloaded bool
	dead           chan struct{}
}

// unresponsive reports whether the engine takes requests and answers none.
func (s engineState) unresponsive() bool {
	return s.fault == Hangs || s.fault == Silent || s.overloaded
}

func (e *engine) state() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineState{fault: e.fault, up: e.up, overloaded: e.overloaded, dead: e.dead}
}

func (e *engine) address() string { return e.ID + ":5000" }

// start starts the process; a cold start has nothing cached, and begins slow start.
func (e *engine) start(isCold bool) {
	if !e.reset(isCold) {
		return
	}
	if isCold {
		e.fleet.log.Add(record.Record{Kind: record.EngineStarted, Engine: e.ID, Tokens: 1})
	}
	if e.fleet.network == nil {
		return
	}
	listener := e.fleet.network.Listen(e.address())
	e.mu.Lock()
	e.listener = listener
	e.mu.Unlock()
	e.fleet.run(func() { e.accept(listener) })
}

// reset makes the engine a process that has just started; false = it runs already.
func (e *engine) reset(isCold bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		return false
	}
	e.up = true
	e.dead = make(chan struct{})
	e.cachedPrefixes = map[string]bool{}
	e.running = 0
	e.waiting = nil
	e.arrivals = nil
	e.overloaded = false
	if isCold {
		e.startedAt = time.Now()
	}
	return true
}

// kill ends the process: connections are reset and new ones refused.
func (e *engine) kill() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.dead)
	listener := e.listener
	e.mu.Unlock()
	if listener != nil {
		closeAndReset(listener)
	}
	e.fleet.dropStates(e.ID)
}

// closeAndReset closes a listener and resets its connections, as the end of a process does.
func closeAndReset(l *memnet.Listener) {
	l.Close()
	l.ResetAll()
}

func (e *engine) setFault(f EngineFault) {
	e.mu.Lock()
	e.fault = f
	if f == LosesPrefixes {
		e.cachedPrefixes = map[string]bool{}
	}
	e.mu.Unlock()
	if e.fleet.network != nil {
		e.fleet.network.Silence(e.address(), f == Silent)
	}
}

// slotResult says how the wait for a slot ended.
type slotResult int

const (
	slotAcquired slotResult = iota
	queueFull
	waitEnded // by the end of the process or of the request
)

// acquireSlot waits for a slot until gone is closed.
func (e *engine) acquireSlot(gone <-chan struct{}) slotResult {
	e.mu.Lock()
	if e.running < e.kind.Slots {
		e.running++
		e.mu.Unlock()
		return slotAcquired
	}
	if len(e.waiting) >= e.kind.Queue {
		e.mu.Unlock()
		return queueFull
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	dead := e.dead
	e.mu.Unlock()
	select {
	case <-turn:
		return slotAcquired
	case <-dead:
		return waitEnded
	case <-gone:
	}
	if !e.leaveQueue(turn) {
		e.releaseSlot(dead) // the slot came at the same moment
	}
	return waitEnded
}

// leaveQueue removes a wait from the queue; false = it has a slot already.
func (e *engine) leaveQueue(turn chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// releaseSlot gives a slot to the next that waits, unless the process that had it has ended.
func (e *engine) releaseSlot(dead chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead != dead {
		return
	}
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// occupancy returns how many requests have a slot, and how many wait.
func (e *engine) occupancy() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
