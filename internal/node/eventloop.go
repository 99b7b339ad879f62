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

// core is the one owner of the routing module and the book. Everything in it belongs to the goroutine of run;
// others reach it through post alone.
type core struct {
	clock  clock.Clock
	beat   batching.DispatchInterval
	router *scheduler.Scheduler
	book   *requesttable.Table
	wheel  *timerwheel.Wheel[func(now float64)]
	carry  func(now float64, c requesttable.Command) // begins a command; it does not block
	side   func(now float64, a scheduler.Action)     // an action that is the host's alone
	decide func(seconds float64)                     // is told how long each decision took
	broken func(error)                               // is told that the module has failed
	late   func(now, lag float64)                    // is told how late the owner heard of a turn's facts

	mu     sync.Mutex
	inbox  []func(now float64)
	spare  []func(now float64)
	oldest time.Time // when the first fact of the inbox was posted
	wake   chan struct{}
	closed bool
	done   chan struct{} // closed when the owner has ended

	wakes []scheduler.Event
	quit  bool
}

// post hands a fact to the owner. It never blocks, and tells whether the owner still runs.
func (c *core) post(f func(now float64)) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.inbox = append(c.inbox, f)
	if len(c.inbox) == 1 {
		c.oldest = time.Now()
		select {
		case c.wake <- struct{}{}:
		default:
		}
	}
	return true
}

// run is the loop of the owner: facts are filed at once, in order of arrival; the module is asked at most once a
// tick, with all that has come meanwhile.
func (c *core) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !c.quit {
		facts, waited := c.drain()
		now := c.clock.Now()
		if at, ok := c.wheel.Next(); ok {
			waited = max(waited, now-at)
		}
		c.late(now, waited)
		for i, f := range facts {
			f(now)
			facts[i] = nil
			c.commands(now)
			if c.quit {
				break // whatever comes after a kill is not dealt with: no send may follow it
			}
		}
		if c.quit {
			break
		}
		c.wheel.Advance(now, func(f func(float64)) { f(now) })
		c.commands(now)
		pending := c.book.HasEvents() || len(c.wakes) > 0
		if pending && now >= c.beat.Next() {
			c.step(now)
			pending = c.book.HasEvents()
		}
		c.sleep(timer, now, pending)
	}
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	close(c.done)
}

// drain takes the facts that have come, and tells how long the first of them has waited (s).
func (c *core) drain() (facts []func(float64), waited float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	facts = c.inbox
	c.inbox, c.spare = c.spare[:0], facts
	if len(facts) > 0 {
		waited = time.Since(c.oldest).Seconds()
	}
	return facts, waited
}

// sleep waits for a fact, the next timer, or the next moment at which the module may be asked.
func (c *core) sleep(timer *time.Timer, now float64, pending bool) {
	wait := 3600.0
	if at, ok := c.wheel.Next(); ok {
		wait = at - now
	}
	if pending {
		wait = min(wait, c.beat.Next()-now)
	}
	c.mu.Lock()
	more := len(c.inbox) > 0
	c.mu.Unlock()
	if more || wait <= 0 || c.quit {
		return
	}
	timer.Reset(time.Duration(wait*1e9) + 1)
	select {
	case <-c.wake:
	case <-timer.C:
	}
}

// step asks the module and carries out what it says, in its order.
func (c *core) step(now float64) {
	events, cmds := c.book.Drain()
	for _, cmd := range cmds {
		c.carry(now, cmd)
	}
	events = append(events, c.wakes...)
	c.wakes = c.wakes[:0]
	start := time.Now()
	acts, err := c.ask(now, events)
	took := time.Since(start).Seconds()
	c.beat.Done(now, took)
	c.decide(took)
	if err != nil {
		c.broken(err)
		return
	}
	for _, a := range acts {
		if !c.book.Apply(now, a) {
			if t, ok := a.(scheduler.SetTimer); ok {
				token := t.Token
				c.wheel.Add(t.At, func(float64) { c.wakes = append(c.wakes, scheduler.TimerFired{Token: token}) })
				continue
			}
			c.side(now, a)
		}
	}
	c.commands(now)
}

// ask turns a panic of the module into an error.
func (c *core) ask(now float64, events []scheduler.Event) (acts []scheduler.Action, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("decision code: %v\n%s", p, debug.Stack())
		}
	}()
	return c.router.Step(now, events), nil
}

// commands carries out what the book has said.
func (c *core) commands(now float64) {
	for _, cmd := range c.book.DrainCommands() {
		c.carry(now, cmd)
	}
}
