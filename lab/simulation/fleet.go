package simulation

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// Slacks of the platform's terms (s).
const (
	// disconnectSlack is within which an attempt may still begin once its client has disconnected.
	disconnectSlack = 0.1
	// budgetSlack is by how much the time stated to an engine may exceed what its client has left.
	budgetSlack = 0.15
	// stepSlack is for one pass of a node and its sockets.
	stepSlack = 0.02
	// changeDeliveredAfter is after which a change counts as delivered to all nodes.
	changeDeliveredAfter = 6.0
)

// clientAttempt is one attempt of a client to get its request served. To the records it is an operation of its own: what a client
// requests anew by its own choice is not the node's to answer for.
type clientAttempt struct {
	*request
	id     string
	number int
	sentAt time.Time
	budget float64 // s that its client waits

	disconnectedAt time.Time // zero = its client has not disconnected before the response; guarded by fleet.mu
	reached        int       // attempts of the node that reached an engine; guarded by fleet.mu
}

// fleet is the engines and the discovery of a run, and what both policies record.
type fleet struct {
	site      Site
	log       *record.Log
	network   *memnet.Network // nil = the baseline policy plays
	began     time.Time
	engines   []*engine
	byID      map[string]*engine
	discovery *discovery
	tasks     sync.WaitGroup

	mu            sync.Mutex // guards all that follows
	attempts      map[string]*clientAttempt
	stateOwners   map[string]*engine // by id of the attempt
	violations    []string
	slowStartPeak float64 // greatest part of a slow-start budget that was used
}

func newFleet(site Site, network *memnet.Network) *fleet {
	f := &fleet{
		site:        site,
		network:     network,
		began:       time.Now(),
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

// run runs a function on a goroutine that the end of the run waits for.
func (f *fleet) run(task func()) {
	f.tasks.Add(1)
	go func() {
		defer f.tasks.Done()
		task()
	}()
}

// now returns the time since the start of the run (s).
func (f *fleet) now() float64 { return time.Since(f.began).Seconds() }

func (f *fleet) violation(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.violations = append(f.violations, fmt.Sprintf("%.3f s: ", f.now())+fmt.Sprintf(format, args...))
}

func (f *fleet) noteSlowStartUse(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slowStartPeak = max(f.slowStartPeak, share)
}

func (f *fleet) addAttempt(a *clientAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts[a.id] = a
}

// removeAttempt forgets an attempt and returns how many attempts of the node reached an engine for it.
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

// clientClosed notes that the client of an attempt has closed its connection, or needs it no more.
func (f *fleet) clientClosed(a *clientAttempt) {
	f.mu.Lock()
	defer f.mu.Unlock()
	a.disconnectedAt = time.Now()
}

// attemptReached checks an attempt that has reached an engine by the terms on disconnects and on the stated time.
func (f *fleet) attemptReached(a *clientAttempt, e *engine, node, statedTime string) {
	f.mu.Lock()
	a.reached++
	disconnectedAt := a.disconnectedAt
	f.mu.Unlock()
	now := time.Now()
	since := now.Sub(disconnectedAt).Seconds()
	if !disconnectedAt.IsZero() && since > disconnectSlack+stepSlack {
		f.violation("rule 1: %s try %d was sent to %s by %s %.3f s after its client had closed", a.op, a.number, e.ID, node, since)
	}
	budget, err := strconv.ParseFloat(statedTime, 64)
	remaining := a.budget - now.Sub(a.sentAt).Seconds()
	if err != nil || budget > remaining+budgetSlack {
		f.violation("rule 1: %s try %d told %s %q, its client has %.3f s left", a.op, a.number, e.ID, statedTime, remaining)
	}
}

// stateID returns the name of an attempt's state at an engine, as records have it.
func stateID(attempt string, e *engine) string { return attempt + "@" + e.ID }

// reserveState notes that an engine holds the state of an attempt.
func (f *fleet) reserveState(a *clientAttempt, e *engine, node string) {
	f.mu.Lock()
	f.stateOwners[a.id] = e
	f.mu.Unlock()
	f.log.Add(record.Record{
		Kind:   record.StateReserved,
		Op:     a.id,
		Try:    a.number,
		Class:  className(a.class),
		Node:   node,
		Engine: e.ID,
		State:  stateID(a.id, e),
	})
}

func (f *fleet) stateOwner(id string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stateOwners[id]
}

// releaseState releases the state of an attempt, if there is one.
func (f *fleet) releaseState(id string) {
	f.mu.Lock()
	e := f.stateOwners[id]
	delete(f.stateOwners, id)
	f.mu.Unlock()
	if e != nil {
		f.log.Add(record.Record{Kind: record.StateEnded, Engine: e.ID, State: stateID(id, e)})
	}
}

// dropStates releases the states of an engine whose process has ended.
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
