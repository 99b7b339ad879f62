package simulation

import (
	"fmt"
	"math"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// coldLimit is how many calls of mean work a cold engine may get in a window of which it bears n.
func coldLimit(n float64) float64 {
	if n < smallWindow {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// smallWindow is the number of calls under which chance is allowed for more widely.
const smallWindow = 30

// Slacks of the terms (s).
const (
	afterClose   = 0.1  // within which an attempt may still begin once its client has closed
	budgetSlack  = 0.15 // by which the time told to an engine may exceed what its client has left
	stepSlack    = 0.02 // for one pass of a node and its sockets
	countsAsTold = 6.0  // after which a change counts as told
)

// request is one thing that a client wants done.
type request struct {
	op            string
	at            float64 // s from the start of the day
	class, tenant int
	zone          int
	session       string
	prefix        string
	prefixLen     float64
	prompt        float64
	out, maxOut   int
	draw          [4]float64 // chance of its client's own: node, patience, leaving, backoff
	leaves        float64    // s after which its client leaves; 0 = it does not
}

// try is one try of a request.
type try struct {
	*request
	id     string
	n      int
	sent   time.Time
	budget float64
	closed time.Time // when its client closed the connection before its answer
	begun  int       // attempts that reached an engine
}

// name is the try as records name it: what a client asks for anew by its own choice is not the node's to answer for.
func (t *try) name() string { return t.id }

// fleet is what a day is played on.
type fleet struct {
	site    Site
	log     *record.Log
	network *memnet.Network // nil = the plain policy plays
	began   time.Time
	engines []*engine
	byID    map[string]*engine
	list    *registry
	wg      sync.WaitGroup

	mu       sync.Mutex
	tries    map[string]*try
	holds    map[string]*engine
	breaches []string
	most     float64 // of the budget of a cold engine that was used
}

func newFleet(s Site, network *memnet.Network) *fleet {
	f := &fleet{site: s, log: &record.Log{}, network: network, began: time.Now(), byID: map[string]*engine{}, tries: map[string]*try{}, holds: map[string]*engine{}}
	if network == nil {
		f.log = nil
	}
	f.list = newRegistry(f)
	for _, x := range s.Engines {
		e := &engine{EngineSpec: x, kind: s.Kinds[x.Kind], fleet: f}
		f.engines = append(f.engines, e)
		f.byID[e.ID] = e
		e.start(false)
		f.list.set(e, stateUp)
	}
	return f
}

// run runs a function on a goroutine that the end of the day waits for.
func (f *fleet) run(task func()) {
	f.wg.Add(1)
	go func() { defer f.wg.Done(); task() }()
}

func (f *fleet) now() float64 { return time.Since(f.began).Seconds() }

func (f *fleet) breach(format string, args ...any) {
	f.mu.Lock()
	f.breaches = append(f.breaches, fmt.Sprintf("%.3f s: ", f.now())+fmt.Sprintf(format, args...))
	f.mu.Unlock()
}

func (f *fleet) coldUse(share float64) {
	f.mu.Lock()
	f.most = max(f.most, share)
	f.mu.Unlock()
}

func (f *fleet) add(t *try) {
	f.mu.Lock()
	f.tries[t.id] = t
	f.mu.Unlock()
}

func (f *fleet) try(id string) *try {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tries[id]
}

// closed notes that the client of a try has closed its connection.
func (f *fleet) closed(t *try) {
	f.mu.Lock()
	t.closed = time.Now()
	f.mu.Unlock()
}

// begun judges an attempt that has reached an engine by the terms on closes and on the time told.
func (f *fleet) begun(t *try, e *engine, node, told string) {
	f.mu.Lock()
	t.begun++
	closed := t.closed
	f.mu.Unlock()
	now := time.Now()
	if since := now.Sub(closed).Seconds(); !closed.IsZero() && since > afterClose+stepSlack {
		f.breach("rule 1: %s try %d was sent to %s by %s %.3f s after its client had closed", t.op, t.n, e.ID, node, since)
	}
	budget, err := strconv.ParseFloat(told, 64)
	left := t.budget - now.Sub(t.sent).Seconds()
	if err != nil || budget > left+budgetSlack {
		f.breach("rule 1: %s try %d told %s %q, its client has %.3f s left", t.op, t.n, e.ID, told, left)
	}
}

// hold notes that an engine holds the state of a try.
func (f *fleet) hold(t *try, e *engine, node string) {
	f.mu.Lock()
	f.holds[t.id] = e
	f.mu.Unlock()
	f.log.Add(record.Record{Kind: record.StateReserved, Op: t.name(), Try: t.n, Class: className(t.class), Node: node, Engine: e.ID, State: t.id + "@" + e.ID})
}

func (f *fleet) holder(id string) *engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.holds[id]
}

// release lets go of what is held for a try.
func (f *fleet) release(id string) {
	f.mu.Lock()
	e := f.holds[id]
	delete(f.holds, id)
	f.mu.Unlock()
	if e != nil {
		f.log.Add(record.Record{Kind: record.StateEnded, Engine: e.ID, State: id + "@" + e.ID})
	}
}

// dropStates forgets what an engine held whose process has ended.
func (f *fleet) dropStates(engine string) {
	f.mu.Lock()
	var ids []string
	for id, e := range f.holds {
		if e.ID == engine {
			ids = append(ids, id)
		}
	}
	f.mu.Unlock()
	for _, id := range ids {
		f.release(id)
	}
}
