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
	// Hangs accepts connections and requests, but sends no response.
	Hangs EngineFault = "hangs"
	// Silent accepts no connections and sends nothing on open ones.
	Silent EngineFault = "silent"
	// RejectsAll rejects all requests.
	RejectsAll EngineFault = "refuses"
	// FailsAll responds to each request with status 500 immediately.
	FailsAll EngineFault = "errors"
	// SlowsDown reduces the engine's speed to slowSpeed.
	SlowsDown EngineFault = "crawls"
	// LosesStates answers each decode request that needs a stored state with an error: the state is lost (status 410).
	LosesStates EngineFault = "loses"
	// LosesPrefixes empties the prefix cache and adds no prefixes to it.
	LosesPrefixes EngineFault = "forgets"
)

// slowSpeed is the fraction of its speed to which SlowsDown reduces an engine.
const slowSpeed = 0.1

// engine is an emulated engine: a model of slots and a queue, used by both the socket server (engineserver.go) and the baseline policy.
type engine struct {
	EngineSpec
	kind  Kind
	fleet *fleet

	mu             sync.Mutex      // guards all that follows
	running        int             // slots in use
	queue          []chan struct{} // of each waiting request, closed when it is granted a slot
	fault          EngineFault
	up             bool
	exited         chan struct{} // closed when the process ends
	startedAt      time.Time     // time of the last cold start; zero = none during the run
	arrivals       []arrival     // requests received in the slow-start window
	overloaded     bool          // received more work than the limit during slow start
	cachedPrefixes map[string]bool
	listener       *memnet.Listener
}

// engineState is a snapshot of an engine's state.
type engineState struct {
	fault          EngineFault
	up, overloaded bool
	exited         chan struct{}
}

// unresponsive reports whether the engine sends no responses.
func (s engineState) unresponsive() bool {
	return s.fault == Hangs || s.fault == Silent || s.overloaded
}

func (e *engine) state() engineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineState{fault: e.fault, up: e.up, overloaded: e.overloaded, exited: e.exited}
}

func (e *engine) address() string { return e.ID + ":5000" }

// start starts the engine's process. A cold start begins slow start.
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

// reset sets the engine to the state of a process that has just started; false = it is already running.
func (e *engine) reset(isCold bool) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up {
		return false
	}
	e.up = true
	e.exited = make(chan struct{})
	e.cachedPrefixes = map[string]bool{}
	e.running = 0
	e.queue = nil
	e.arrivals = nil
	e.overloaded = false
	if isCold {
		e.startedAt = time.Now()
	}
	return true
}

// kill ends the engine's process: its connections are reset and new ones are refused.
func (e *engine) kill() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.exited)
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

// slotResult is the result of waiting for a slot.
type slotResult int

const (
	slotAcquired slotResult = iota
	queueFull
	waitEnded // the process ended or the request was canceled
)

// acquireSlot waits for a slot until the process ends or canceled is closed.
func (e *engine) acquireSlot(canceled <-chan struct{}) slotResult {
	e.mu.Lock()
	if e.running < e.kind.Slots {
		e.running++
		e.mu.Unlock()
		return slotAcquired
	}
	if len(e.queue) >= e.kind.QueueLimit {
		e.mu.Unlock()
		return queueFull
	}
	granted := make(chan struct{})
	e.queue = append(e.queue, granted)
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-granted:
		return slotAcquired
	case <-exited:
		return waitEnded
	case <-canceled:
	}
	if !e.leaveQueue(granted) {
		e.releaseSlot(exited) // the slot was granted at the same time
	}
	return waitEnded
}

// leaveQueue removes a waiter from the queue; false = it has been granted a slot.
func (e *engine) leaveQueue(granted chan struct{}) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, w := range e.queue {
		if w == granted {
			e.queue = append(e.queue[:i:i], e.queue[i+1:]...)
			return true
		}
	}
	return false
}

// releaseSlot passes a slot to the next waiter, unless the process that granted it has ended.
func (e *engine) releaseSlot(exited chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.exited != exited {
		return
	}
	if len(e.queue) > 0 {
		close(e.queue[0])
		e.queue = e.queue[1:]
		return
	}
	e.running--
}

// occupancy returns the number of requests that have a slot and the number of those that wait for one.
func (e *engine) occupancy() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.queue)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
