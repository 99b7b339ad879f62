package emulator

import (
	"context"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dillroute/lab/record"
)

// Engine is an emulated engine on a loopback socket. Kill and Start may be called any number of times, in turn.
type Engine struct {
	Settings
	log    *record.Log
	faults atomic.Pointer[Faults]

	mu        sync.Mutex // guards the fields below, and Settings.Role
	address   string
	server    *http.Server
	process   *process // nil while the engine is stopped
	starts    int
	startedAt float64 // Unix seconds
}

// process is what an engine loses when it stops.
type process struct {
	ctx       context.Context
	stop      context.CancelFunc
	startedAt time.Time
	slowStart bool
	handlers  sync.WaitGroup

	mu               sync.Mutex // guards the fields below
	capacityChanged  sync.Cond  // broadcast when a slot or memory is released
	running          int        // requests in slots
	waiting          int        // requests in the queue
	memoryTokens     int        // tokens of running requests and of KV states
	prefillBusyUntil time.Time
	prefixes         prefixCache
	states           map[string]*kvState // by request id
	released         releasedIDs
	reportedLoad     loadReport
	reportedAt       time.Time
	rng              *rand.Rand
}

// New returns an engine that does not run yet. The log may be nil.
func New(s Settings, l *record.Log) *Engine {
	e := &Engine{Settings: s.WithDefaults(), log: l}
	e.faults.Store(&Faults{})
	return e
}

// Start opens the socket, at the same address each time; slowStart says that the engine begins at a part of its speed.
func (e *Engine) Start(slowStart bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return fmt.Errorf("emulator: %s runs already", e.ID)
	}
	address := e.Listen
	if e.address != "" {
		address = e.address
	}
	listener, err := listenAgain(address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.starts++
	p := newProcess(slowStart, rand.NewPCG(e.Seed, uint64(e.starts)))
	e.server = &http.Server{
		Handler:     e.handler(p),
		BaseContext: func(net.Listener) context.Context { return p.ctx },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	e.process = p
	e.startedAt = record.Now()
	slowStarts := 0.0
	if slowStart {
		slowStarts = 1
	}
	e.log.Add(record.Record{Kind: record.EngineStarted, Engine: e.ID, Tokens: slowStarts, T: e.startedAt})
	go e.server.Serve(&slowListener{Listener: listener, engine: e})
	return nil
}

func newProcess(slowStart bool, source rand.Source) *process {
	p := &process{
		startedAt: time.Now(),
		slowStart: slowStart,
		prefixes:  prefixCache{tokens: map[uint64]int{}},
		states:    map[string]*kvState{},
		rng:       rand.New(source),
	}
	p.capacityChanged.L = &p.mu
	p.ctx, p.stop = context.WithCancel(context.Background())
	context.AfterFunc(p.ctx, p.wakeQueue)
	return p
}

// wakeQueue lets the requests in the queue look again whether they may run or have been canceled.
func (p *process) wakeQueue() {
	p.mu.Lock()
	p.capacityChanged.Broadcast()
	p.mu.Unlock()
}

// Kill stops the engine at once, with all its connections, requests and KV states.
func (e *Engine) Kill() {
	e.mu.Lock()
	p, server := e.process, e.server
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	e.loseStates(p) // before the connections are waited for: on a busy machine that takes seconds
	server.Close()
	p.handlers.Wait()
	e.loseStates(p) // and those that a prefill added meanwhile
	e.log.Add(record.Record{Kind: record.EngineStopped, Engine: e.ID})
}

// Address is where the engine listens, from its first start on.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Started returns the Unix time of the last start, and whether the engine runs.
func (e *Engine) Started() (at float64, running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt, e.process != nil
}

// ColdStarted returns the Unix time of the last start, and whether it was a restart.
func (e *Engine) ColdStarted() (at float64, restarted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt, e.starts > 1
}

// SetRole changes the role of a stopped engine.
func (e *Engine) SetRole(role string) {
	e.mu.Lock()
	e.Role = role
	e.mu.Unlock()
}

// speedShare is the present share of the engine's full speed, after slow start and faults.
func (e *Engine) speedShare(p *process) float64 {
	share := 1.0
	if p.slowStart && e.SlowStartSeconds > 0 {
		age := time.Since(p.startedAt).Seconds() / e.SlowStartSeconds
		share = min(1, e.SlowStartShare+(1-e.SlowStartShare)*age)
	}
	if factor := e.faults.Load().SlowFactor; factor > 1 {
		share /= factor
	}
	return share
}

// sleep waits; false means that the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
