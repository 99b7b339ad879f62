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

// host executes the commands of the request table and the actions of the scheduler that the event loop passes on. Its methods run on
// the loop's goroutine and never wait for a socket.
type host interface {
	// executeCommand starts the execution of a command of the request table.
	executeCommand(now float64, command requesttable.Command)
	// executeAction starts the execution of a scheduler action that concerns neither requests nor timers.
	executeAction(action scheduler.Action)
	// schedulerFailed reports that the scheduler has panicked.
	schedulerFailed(err error)
}

// lagObserver receives the delay of the oldest task or timer that an iteration of the event loop handles (s).
type lagObserver interface {
	observeLag(now, delay float64)
}

// schedulerStep describes one call of the scheduler.
type schedulerStep struct {
	seconds float64
	events  int // passed to the scheduler
	actions int // returned by the scheduler
	load    scheduler.PassLoad
}

// stepObserver receives a description of each scheduler step.
type stepObserver interface {
	observeStep(step schedulerStep)
}

// task is a function that the event loop runs on its goroutine, mostly to report an event on a socket to the request table. now is the
// current time (s).
type task func(now float64)

// eventLoop runs the scheduler and the request table on one goroutine. Tasks run as soon as the loop takes them, in the order in which
// they were posted. The scheduler is called at most once per dispatch interval, with all events collected since its last call.
type eventLoop struct {
	clock        clock.Clock
	host         host
	lagObserver  lagObserver
	stepObserver stepObserver
	inbox        inbox
	owned        loopState
	done         chan struct{} // closed when the loop has ended
}

// loopState is owned by the goroutine of eventLoop.run. Other goroutines access it only through eventLoop.post.
type loopState struct {
	scheduler   *scheduler.Scheduler
	table       *requesttable.Table
	timers      *timerwheel.Wheel[func(now float64)]
	dispatch    batching.DispatchInterval
	firedTimers []scheduler.Event // scheduler timers that have fired since the last step
	stopped     bool
}

// eventLoopOptions are the arguments of newEventLoop.
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

// post queues a task for the loop. It never blocks. It returns false if the loop has ended. A queued task does not run if the loop is
// stopped before it takes the task.
func (l *eventLoop) post(f task) bool { return l.inbox.post(f) }

// query runs f on the loop's goroutine and returns its result; ok is false if the loop has ended.
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

// run runs the loop until stop is called.
func (l *eventLoop) run() {
	sleepTimer := time.NewTimer(time.Hour)
	defer sleepTimer.Stop()
	for !l.owned.stopped {
		l.runOnce(sleepTimer)
	}
	l.inbox.close()
	close(l.done)
}

// stop ends the loop after the task that calls it. It must be called on the loop's goroutine. No later task runs, so that no attempt can
// start after the node was killed.
func (l *eventLoop) stop() { l.owned.stopped = true }

// runOnce is one iteration of the loop: it runs the tasks and timers that are due, calls the scheduler if that is due, and waits until
// there is more to do.
func (l *eventLoop) runOnce(sleepTimer *time.Timer) {
	tasks, waited := l.inbox.drain()
	now := l.clock.Now()
	if at, ok := l.owned.timers.Next(); ok {
		waited = max(waited, now-at)
	}
	l.lagObserver.observeLag(now, waited)
	l.runTasks(now, tasks)
	if l.owned.stopped {
		return
	}
	l.owned.timers.Advance(now, func(f func(float64)) { f(now) })
	l.executeCommands(now)
	now = l.clock.Now() // tasks may have taken long, and the scheduler compares the time with deadlines
	pending := l.owned.table.HasEvents() || len(l.owned.firedTimers) > 0
	if pending && now >= l.owned.dispatch.Next() {
		l.step(now)
		pending = l.owned.table.HasEvents()
	}
	l.sleep(sleepTimer, now, pending)
}

// runTasks runs tasks in order, and executes the commands that each task has caused before it runs the next one.
func (l *eventLoop) runTasks(now float64, tasks []task) {
	for i, f := range tasks {
		f(now)
		tasks[i] = nil
		l.executeCommands(now)
		if l.owned.stopped {
			return
		}
	}
}

// sleep waits for a task, the next timer or, if events are pending, the next scheduler step.
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

// step calls the scheduler and executes its actions in order.
func (l *eventLoop) step(now float64) {
	events, commands := l.owned.table.Drain(now)
	for _, command := range commands {
		l.host.executeCommand(now, command)
	}
	events = append(events, l.owned.firedTimers...)
	l.owned.firedTimers = l.owned.firedTimers[:0]
	start := time.Now()
	actions, err := l.callScheduler(now, events)
	took := time.Since(start).Seconds()
	l.owned.dispatch.RecordPass(now, took)
	l.stepObserver.observeStep(schedulerStep{
		seconds: took,
		events:  len(events),
		actions: len(actions),
		load:    l.owned.scheduler.LastPass(),
	})
	if err != nil {
		l.host.schedulerFailed(err)
		return
	}
	for _, action := range actions {
		l.apply(now, action)
	}
	l.executeCommands(now)
}

// apply executes one action of the scheduler.
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

// callScheduler calls the scheduler and returns a panic of it as an error.
func (l *eventLoop) callScheduler(now float64, events []scheduler.Event) (actions []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("scheduler panicked: %v\n%s", p, debug.Stack())
		}
	}()
	return l.owned.scheduler.Step(now, events), nil
}

// executeCommands starts the execution of the commands that the request table has issued.
func (l *eventLoop) executeCommands(now float64) {
	for _, command := range l.owned.table.DrainCommands() {
		l.host.executeCommand(now, command)
	}
}

// inbox is the queue of tasks that the event loop has not taken yet. It is safe for concurrent use.
type inbox struct {
	wake chan struct{} // holds a value if a task was posted since the loop last woke up

	mu      sync.Mutex
	tasks   []task
	drained []task    // backing array of the tasks that were drained last, for reuse
	oldest  time.Time // when the first of tasks was posted
	closed  bool
}

// post adds a task. It returns false if the inbox is closed.
func (b *inbox) post(f task) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return false
	}
	b.tasks = append(b.tasks, f)
	if len(b.tasks) == 1 {
		b.oldest = time.Now()
		select {
		case b.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// drain removes and returns all tasks, and for how long the first of them has waited (s). The slice is valid until the next call.
func (b *inbox) drain() (tasks []task, waited float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tasks = b.tasks
	b.tasks, b.drained = b.drained[:0], tasks
	if len(tasks) > 0 {
		waited = time.Since(b.oldest).Seconds()
	}
	return tasks, waited
}

func (b *inbox) empty() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.tasks) == 0
}

func (b *inbox) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}
