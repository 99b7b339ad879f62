package node

import (
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/batching"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/timerwheel"
	"dillroute/scheduler"
)

// timerResolution is the tick of the timer wheel (s).
const timerResolution = 0.001

// idleWait bounds the wait of an event loop that has no timer (s).
const idleWait = 3600.0

// host carries out what the event loop takes from the request table and the scheduler. Its methods run on the loop's goroutine
// and never wait for a socket.
type host interface {
	// executeCommand begins a command of the request table.
	executeCommand(now float64, command requesttable.Command)
	// executeAction begins an action of the scheduler that concerns neither requests nor timers.
	executeAction(action scheduler.Action)
	// schedulerFailed reports that the scheduler has panicked.
	schedulerFailed(err error)
}

// lagObserver receives how late the event loop handled the oldest fact or timer of a turn (s).
type lagObserver interface {
	observeLag(now, delay float64)
}

// stepObserver receives how long a scheduler step took (s).
type stepObserver interface {
	observeStep(seconds float64)
}

// fact is something that happened, reported to the event loop; it runs on the loop's goroutine.
type fact func(now float64)

// eventLoop runs the scheduler and the request table on one goroutine. Facts reach the request table at once, in the order in
// which they were posted; the scheduler is called at most once in a dispatch interval, with all events gathered meanwhile.
type eventLoop struct {
	clock        clock.Clock
	host         host
	lagObserver  lagObserver
	stepObserver stepObserver
	inbox        inbox
	owned        loopState
	done         chan struct{} // closed when the loop has ended
}

// loopState belongs to the goroutine of eventLoop.run. Other goroutines reach it through eventLoop.post alone.
type loopState struct {
	scheduler   *scheduler.Scheduler
	table       *requesttable.Table
	timers      *timerwheel.Wheel[func(now float64)]
	dispatch    batching.DispatchInterval
	firedTimers []scheduler.Event // timers of the scheduler that have fired since the last step
	stopped     bool
}

// eventLoopOptions are what an event loop is made from.
type eventLoopOptions struct {
	clock        clock.Clock
	scheduler    *scheduler.Scheduler
	table        *requesttable.Table
	tick         float64 // least time between two steps (s)
	host         host
	lagObserver  lagObserver
	stepObserver stepObserver
}

func newEventLoop(o eventLoopOptions) *eventLoop {
	return &eventLoop{
		clock:        o.clock,
		host:         o.host,
		lagObserver:  o.lagObserver,
		stepObserver: o.stepObserver,
		inbox:        inbox{wake: make(chan struct{}, 1)},
		owned: loopState{
			scheduler: o.scheduler,
			table:     o.table,
			timers:    timerwheel.New[func(now float64)](o.clock.Now(), timerResolution),
			dispatch:  batching.DispatchInterval{Tick: o.tick},
		},
		done: make(chan struct{}),
	}
}

// post hands a fact to the loop. It never blocks, and reports whether the loop still runs.
func (l *eventLoop) post(f fact) bool { return l.inbox.post(f) }

// query returns what f returns on the loop's goroutine; ok is false if the loop has ended.
func query[T any](l *eventLoop, f func() T) (value T, ok bool) {
	result := make(chan T, 1)
	if !l.post(func(float64) { result <- f() }) {
		return value, false
	}
	select {
	case value = <-result:
		return value, true
	case <-l.done:
		return value, false
	}
}

// run runs the loop until stop is called on its goroutine.
func (l *eventLoop) run() {
	sleepTimer := time.NewTimer(time.Hour)
	defer sleepTimer.Stop()
	for !l.owned.stopped {
		l.turn(sleepTimer)
	}
	l.inbox.close()
	close(l.done)
}

// stop ends the loop after the fact that calls it; it is called on the loop's goroutine. No later fact is handled, so that no
// attempt can start after a kill.
func (l *eventLoop) stop() { l.owned.stopped = true }

// turn handles the facts and timers that are due, calls the scheduler if it is due, and waits for the next turn.
func (l *eventLoop) turn(sleepTimer *time.Timer) {
	facts, waited := l.inbox.drain()
	now := l.clock.Now()
	if at, ok := l.owned.timers.Next(); ok {
		waited = max(waited, now-at)
	}
	l.lagObserver.observeLag(now, waited)
	l.handleFacts(now, facts)
	if l.owned.stopped {
		return
	}
	l.owned.timers.Advance(now, func(f func(float64)) { f(now) })
	l.executeCommands(now)
	pending := l.owned.table.HasEvents() || len(l.owned.firedTimers) > 0
	if pending && now >= l.owned.dispatch.Next() {
		l.step(now)
		pending = l.owned.table.HasEvents()
	}
	l.sleep(sleepTimer, now, pending)
}

// handleFacts handles facts in order, and the commands that each leads to before the next.
func (l *eventLoop) handleFacts(now float64, facts []fact) {
	for i, f := range facts {
		f(now)
		facts[i] = nil
		l.executeCommands(now)
		if l.owned.stopped {
			return
		}
	}
}

// sleep waits for a fact, the next timer, or the next step if events are pending.
func (l *eventLoop) sleep(sleepTimer *time.Timer, now float64, pending bool) {
	wait := idleWait
	if at, ok := l.owned.timers.Next(); ok {
		wait = at - now
	}
	if pending {
		wait = min(wait, l.owned.dispatch.Next()-now)
	}
	if wait <= 0 || l.owned.stopped || !l.inbox.empty() {
		return
	}
	sleepTimer.Reset(seconds(wait) + 1)
	select {
	case <-l.inbox.wake:
	case <-sleepTimer.C:
	}
}

// step calls the scheduler and carries out its actions in order.
func (l *eventLoop) step(now float64) {
	events, commands := l.owned.table.Drain()
	for _, command := range commands {
		l.host.executeCommand(now, command)
	}
	events = append(events, l.owned.firedTimers...)
	l.owned.firedTimers = l.owned.firedTimers[:0]
	start := time.Now()
	actions, err := l.callScheduler(now, events)
	took := time.Since(start).Seconds()
	l.owned.dispatch.RecordPass(now, took)
	l.stepObserver.observeStep(took)
	if err != nil {
		l.host.schedulerFailed(err)
		return
	}
	for _, action := range actions {
		l.apply(now, action)
	}
	l.executeCommands(now)
}

// apply carries out one action of the scheduler.
func (l *eventLoop) apply(now float64, action scheduler.Action) {
	if l.owned.table.Apply(now, action) {
		return
	}
	timer, ok := action.(scheduler.SetTimer)
	if !ok {
		l.host.executeAction(action)
		return
	}
	l.owned.timers.Add(timer.At, func(float64) {
		l.owned.firedTimers = append(l.owned.firedTimers, scheduler.TimerFired{Token: timer.Token})
	})
}

// callScheduler turns a panic of the scheduler into an error.
func (l *eventLoop) callScheduler(now float64, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("scheduler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return l.owned.scheduler.Step(now, events), nil
}

// executeCommands begins the commands that the request table has issued.
func (l *eventLoop) executeCommands(now float64) {
	for _, command := range l.owned.table.DrainCommands() {
		l.host.executeCommand(now, command)
	}
}

// inbox holds the facts that the event loop has not taken. It is safe for concurrent use.
type inbox struct {
	wake chan struct{} // holds a value if a fact has come since the loop last woke

	mu      sync.Mutex
	facts   []fact
	drained []fact    // backing array of the facts that were drained last
	oldest  time.Time // when the first of the facts was posted
	closed  bool
}

// post adds a fact; it reports false if the inbox is closed.
func (b *inbox) post(f fact) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.facts = append(b.facts, f)
	if len(b.facts) == 1 {
		b.oldest = time.Now()
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// drain takes all facts and returns how long the first of them has waited (s).
func (b *inbox) drain() (facts []fact, waited float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	facts = b.facts
	b.facts, b.drained = b.drained[:0], facts
	if len(facts) > 0 {
		waited = time.Since(b.oldest).Seconds()
	}
	return facts, waited
}

func (b *inbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.facts) == 0
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
