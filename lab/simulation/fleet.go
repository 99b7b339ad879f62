package simulation

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// Tolerances of the platform's requirements (s).
const (
	// disconnectSlack is how long after its client's disconnect an attempt may still begin.
	disconnectSlack = 0.1
	// budgetSlack is the maximum excess of the time stated to an engine over the client's remaining time.
	budgetSlack = 0.15
	// stepSlack is the time allowed for one iteration of a node's event loop and its socket operations.
	stepSlack = 0.02
	// changeDeliveredAfter is the time after which a change counts as delivered to all nodes.
	changeDeliveredAfter = 6.0
)

// clientAttempt is one attempt of a client to get its request served. The records treat it as an operation of its own: a node is not
// responsible for effects that a client's own retry repeats.
type clientAttempt struct {
	*request
	id     string
	number int
	sentAt time.Time
	budget float64 // how long its client waits for the first token (s)

	disconnectedAt time.Time // when its client disconnected or had its final response; zero = not yet; guarded by fleet.mu
	reached        int       // number of the node's attempts that reached an engine; guarded by fleet.mu
}

// fleet holds the engines and the discovery of a run, and the data that is recorded in runs of the product and of the baseline policy.
type fleet struct {
	site      Site
	log       *record.Log
	network   *memnet.Network // nil = the run uses the baseline policy
	startedAt time.Time
	engines   []*engine
	byID      map[string]*engine
	discovery *discovery
	tasks     sync.WaitGroup

	mu            sync.Mutex // guards all that follows
	attempts      map[string]*clientAttempt
	stateOwners   map[string]*engine // by id of the attempt
	violations    []string
	slowStartPeak float64 // greatest fraction of a slow-start limit that was used
}

func newFleet(site Site, network *memnet.Network) *fleet {
	f := &fleet{
		site:        site,
		network:     network,
		startedAt:   time.Now(),
		byID:        map[string]*engine{},
		attempts:    map[string]*clientAttempt{},
		stateOwners: map[string]*engine{},
	}
	if network != nil {
		f.log = &record.Log{}
	}
	f.discovery = newDiscovery(f)
	for _, spec := range site.Engines {
		e := &engine{EngineSpec: spec, kind: site.Kinds[spec.Kind], fleet: f}
		f.engines = append(f.engines, e)
		f.byID[e.ID] = e
		e.start(false)
		f.discovery.set(e, stateUp)
	}
	return f
}

// run runs a function on a new goroutine. The simulation ends only after the function has returned.
func (f *fleet) run(task func()) {
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		task()
	}()
}

// now returns the time since the start of the run (s).
func (f *fleet) now() float64 { return time.Since(f.startedAt).Seconds() }

func (f *fleet) addViolation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%.3f s: ", f.now())+fmt.Sprintf(format, args...))
}

func (f *fleet) recordSlowStartUse(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowStartPeak = max(f.slowStartPeak, share)
}

func (f *fleet) addAttempt(a *clientAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a.id] = a
}

// removeAttempt deletes a client's attempt and returns how many of the node's attempts for it reached an engine.
func (f *fleet) removeAttempt(a *clientAttempt) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.attempts, a.id)
	return a.reached
}

func (f *fleet) attempt(id string) *clientAttempt {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts[id]
}

// clientClosed records that the client of an attempt has disconnected or received its final response.
func (f *fleet) clientClosed(a *clientAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.disconnectedAt = time.Now()
}

// attemptReached counts an attempt of a node that has reached an engine. It checks that the client had not disconnected before, and that
// the stated time does not exceed the client's remaining time.
func (f *fleet) attemptReached(a *clientAttempt, e *engine, node, statedTime string) {
	f.mu.Lock()
	a.reached++
	disconnectedAt := a.disconnectedAt
	f.mu.Unlock()
	now := time.Now()
	since := now.Sub(disconnectedAt).Seconds()
	if !disconnectedAt.IsZero() && since > disconnectSlack+stepSlack {
		f.addViolation("rule 1: %s attempt %d was sent to %s by %s %.3f s after its client disconnected", a.op, a.number, e.ID, node, since)
	}
	budget, err := strconv.ParseFloat(statedTime, 64)
	remaining := a.budget - now.Sub(a.sentAt).Seconds()
	if err != nil || budget > remaining+budgetSlack {
		f.addViolation("rule 1: %s attempt %d stated to %s %q, but its client has %.3f s left", a.op, a.number, e.ID, statedTime, remaining)
	}
}

// stateID returns the id of an attempt's state at an engine in the records.
func stateID(attempt string, e *engine) string { return attempt + "@" + e.ID }

// reserveState records that an engine stores the state of an attempt.
func (f *fleet) reserveState(a *clientAttempt, e *engine, node string) {
	f.mu.Lock()
	f.stateOwners[a.id] = e
	f.mu.Unlock()
	f.log.Add(record.Record{
		Kind:    record.StateReserved,
		Op:      a.id,
		Attempt: a.number,
		Class:   className(a.class),
		Node:    node,
		Engine:  e.ID,
		State:   stateID(a.id, e),
	})
}

func (f *fleet) stateOwner(id string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateOwners[id]
}

// releaseState releases the state of an attempt, if it has one.
func (f *fleet) releaseState(id string) {
	f.mu.Lock()
	e := f.stateOwners[id]
	delete(f.stateOwners, id)
	f.mu.Unlock()
	if e != nil {
		f.log.Add(record.Record{Kind: record.StateEnded, Engine: e.ID, State: stateID(id, e)})
	}
}

// dropStates deletes the states of an engine whose process has ended.
func (f *fleet) dropStates(engine string) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.stateOwners {
		if e.ID == engine {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.releaseState(id)
	}
}
