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

// Engine is an emulated engine on a loopback socket. It may be started again after each Kill.
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

// process is the state that an engine has only while it runs. It is lost when the engine stops.
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

// New returns a stopped engine. The log may be nil.
func New(s Settings, l *record.Log) *Engine {
	e := &Engine{Settings: s.WithDefaults(), log: l}
	e.faults.Store(&Faults{})
	return e
}

// Start starts the engine. Each start after the first listens at the same address. If slowStart is set, the engine begins at
// SlowStartShare of its speed.
func (e *Engine) Start(slowStart bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return fmt.Errorf("emulator: %s is already running", e.ID)
	}
	address := e.Listen
	if e.address != "" {
		address = e.address
	}
	listener, err := listenWithRetry(address)
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
	slowStartFlag := 0.0
	if slowStart {
		slowStartFlag = 1
	}
	e.log.Add(record.Record{Kind: record.EngineStarted, Engine: e.ID, Tokens: slowStartFlag, T: e.startedAt})
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

// wakeQueue makes the queued requests check again whether they may run or have been canceled.
func (p *process) wakeQueue() {
	p.mu.Lock()
	p.capacityChanged.Broadcast()
	p.mu.Unlock()
}

// Kill stops the engine immediately and drops its connections, requests and KV states. It does nothing if the engine is stopped.
func (e *Engine) Kill() {
	e.mu.Lock()
	p, server := e.process, e.server
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.stop()
	e.loseStates(p) // before the wait for the handlers, which takes seconds on a busy machine
	server.Close()
	p.handlers.Wait()
	e.loseStates(p) // the states that a prefill stored in the meantime
	e.log.Add(record.Record{Kind: record.EngineStopped, Engine: e.ID})
}

// Address returns the address at which the engine listens; it is empty before the first start.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Started returns the Unix time of the last start, and whether the engine is running.
func (e *Engine) Started() (at float64, running bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startedAt, e.process != nil
}

// Restarted returns the Unix time of the last start, and whether it was a restart.
func (e *Engine) Restarted() (at float64, restarted bool) {
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

// speedShare returns the current share of the engine's full speed, reduced by slow start and faults.
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

// sleep waits for a duration. It returns false if the context ended first.
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
