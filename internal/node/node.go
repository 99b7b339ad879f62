// Package node is the host of the routing module: it turns what happens on sockets into the module's events and
// carries out its actions. One goroutine owns the module and the book of requests (core); each connection and each
// attempt has a goroutine of its own and talks to the owner by posting facts. The node decides nothing.
package node

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/batching"
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/decide/shutdown"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/timerwheel"
	"dillroute/scheduler"
)

// Node is a running router.
type Node struct {
	log     *slog.Logger
	core    *core
	plan    plan
	front   protocol.Front
	caller  protocol.EngineClient
	server  *http1.Server
	admin   *http1.Server
	lists   protocol.EndpointSource
	addr    net.Addr
	aaddr   net.Addr
	metrics *metrics
	running jobs // attempts, releases and answers
	loops   sync.WaitGroup
	failed  chan error
	hurry   atomic.Bool
	strain  *keeping
	stop    sync.Once

	// Of the owner.
	calls     map[string]*call
	addresses map[string]string
	contacts  map[string]contact
	endBy     float64 // when what is taken must have been answered, of a node that stops (s); 0 = it does not
	releasing int     // states that are being let go of
}

// contact is when an engine last answered a call, and when one last failed (s); 0 = never.
type contact struct{ good, bad float64 }

// plan is what the host needs of the settings of whatever protocol it speaks. Times are in seconds.
type plan struct {
	scheduler scheduler.Config
	book      requesttable.Config
	tick      float64
	letGoBy   float64 // within which a state must be let go of
	strain    overload.Limits
	times     http1.Timeouts
	limits    http1.Limits
	lobby     int   // connections that are refused at a time; 0 = as the server has it
	held      int64 // bytes of request bodies held at once; 0 = no bound
	anyone    bool  // any engine lets go of what any holds
	resume    bool  // clients come again for the rest of a stream that was ended
}

// Option changes a node from its default.
type Option func(*options)

type options struct {
	log      *slog.Logger
	seed     uint64
	listener net.Listener
	admin    net.Listener
	connect  http1.DialFunc
}

// WithLogger sets where the node logs.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeed fixes the module's random source.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithListener serves clients on a listener that is open already.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithAdminListener serves the admin paths on a listener that is open already.
func WithAdminListener(l net.Listener) Option { return func(o *options) { o.admin = l } }

// WithDialer makes the connections to engines and discovery of a RelayNode; by default they are made on the network.
func WithDialer(connect http1.DialFunc) Option { return func(o *options) { o.connect = connect } }

func choose(opts []Option) options {
	o := options{log: slog.Default(), seed: rand.Uint64()}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// newNode makes a node that has no sockets yet.
func newNode(p plan, o options) (*Node, error) {
	p.scheduler.Limits.StateTimeRunsDuringConnects = true // on sockets (PROTOCOL, the rules)
	router, err := scheduler.New(p.scheduler, o.seed)
	if err != nil {
		return nil, err
	}
	n := &Node{log: o.log, plan: p, calls: map[string]*call{}, addresses: map[string]string{}, contacts: map[string]contact{},
		failed: make(chan error, 1), metrics: newMetrics()}
	clk := clock.New()
	n.strain = newKeeping(p.strain, clk)
	n.core = &core{clock: clk, beat: batching.DispatchInterval{Tick: p.tick}, router: router, book: requesttable.New(p.book, p.scheduler.Kinds),
		wheel: timerwheel.New[func(float64)](clk.Now(), 0.001), wake: make(chan struct{}, 1), done: make(chan struct{}),
		carry: n.carry, side: n.side, decide: n.metrics.decided, broken: n.moduleFailed, late: n.strain.late}
	return n, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// runLoop runs a loop that Stop waits for.
func (n *Node) runLoop(f func()) {
	n.loops.Add(1)
	go func() { defer n.loops.Done(); f() }()
}

// serveOn serves clients on a listener. Handed tells that other processes accept from the same socket.
func (n *Node) serveOn(l net.Listener, handed bool) {
	n.addr = l.Addr()
	n.server = &http1.Server{Shared: handed, Limits: n.plan.limits, MaxConns: n.strain.connections, MaxBytes: n.plan.held, RejectionQueue: n.plan.lobby,
		OnDescriptorShortage: n.noteShortage, MayCloseIdle: n.mayEnd, OnClose: n.noteClosing, Timeouts: n.plan.times,
		Handler: http1.HandlerFunc(func(x *http1.Exchange) {
			n.front.Serve(x, func(q protocol.RoutedRequest) bool {
				return n.core.post(func(now float64) { n.take(now, x, q) })
			})
		}),
		ErrorBody: func(status int, reason string) ([]http1.Field, []byte) {
			after := 0.0
			if status == 503 {
				after = n.strain.back()
			}
			return n.front.ErrorBody(status, reason, after)
		}}
	n.runLoop(func() { n.server.Serve(l) })
}

// begin starts the owner and its sweeps.
func (n *Node) begin() {
	n.runLoop(n.core.run)
	n.sweep()
}

// Addr is where clients connect; Admin is nil where there is none.
func (n *Node) Addr() net.Addr { return n.addr }

// Admin returns the address of the admin listener, or nil.
func (n *Node) Admin() net.Addr { return n.aaddr }

// Failed gets an error if the module breaks down; the node has answered what it held, and should be stopped.
func (n *Node) Failed() <-chan error { return n.failed }

// takeList hands a list to the owner. Attempts at engines that it takes away, of which nothing has been written, go
// elsewhere: the grace of a drain is no time to connect in.
func (n *Node) takeList(l protocol.EndpointList) {
	n.log.Debug("engine list taken", "engines", len(l.Engines), "saved", l.Saved)
	n.core.post(func(now float64) {
		for id, a := range l.Addresses {
			n.addresses[id] = a
		}
		n.core.book.UpdateEndpoints(now, scheduler.EndpointUpdate{Form: l.Form, Engines: l.Engines})
		for id := range n.addresses {
			if !n.core.book.EngineKnown(id) {
				delete(n.addresses, id)
				delete(n.contacts, id)
			}
		}
		for _, c := range n.calls {
			for _, a := range c.attempts {
				if !n.core.book.EngineReady(a.engine) {
					a.CancelIfUnsent()
				}
			}
		}
	})
}

// sweep closes idle engine connections now and then.
func (n *Node) sweep() {
	n.core.post(func(now float64) {
		var again func(float64)
		again = func(now float64) {
			n.running.start(n.caller.CloseExpired)
			n.core.wheel.Add(now+1, again)
		}
		again(now)
	})
}

// Ready tells whether the node may be sent requests.
func (n *Node) Ready() bool {
	return n.ask(func() int {
		if n.core.book.Ready() {
			return 1
		}
		return 0
	}) == 1
}

// Shutdown stops taking requests, lets held ones go on for the time given, answers the rest as refused or failed,
// and stops the node.
func (n *Node) Shutdown(wait time.Duration) {
	deadline := time.Now().Add(wait)
	n.stopTaking(deadline)
	n.awaitResponses(deadline)
	n.core.post(func(now float64) { n.core.book.RespondToAll(now) })
	n.finish()
}

// ShutdownBy is Shutdown where the process will be killed: what is held is answered by the time given, and streams that
// run then go on for up to wait. What is taken meanwhile is served only if that can be before.
func (n *Node) ShutdownBy(by, wait time.Duration) {
	deadline := time.Now().Add(by)
	n.core.post(func(now float64) { n.endBy = now + by.Seconds() })
	if n.plan.resume {
		early := time.AfterFunc(n.plan.times.DrainAccept, func() { n.core.post(n.handOver) })
		defer early.Stop()
	}
	n.stopTaking(deadline)
	if n.plan.resume {
		n.core.post(n.handOver) // what has begun meanwhile
	}
	n.awaitResponses(deadline)
	if !n.plan.resume {
		n.core.post(func(now float64) { n.core.book.RespondToQueued(now) })
		n.awaitResponses(time.Now().Add(wait))
	}
	n.core.post(func(now float64) { n.core.book.RespondToAll(now) })
	n.finish()
}

// handOver ends the streams that run one by one, where clients come again for the rest.
func (n *Node) handOver(now float64) {
	var streams []shutdown.Stream
	for _, s := range n.core.book.Streams() {
		streams = append(streams, shutdown.Stream{ID: s.ID, StartedAt: s.SentAt})
	}
	for _, m := range shutdown.CutoffSchedule(now, n.endBy, n.plan.scheduler.NodeCount, streams) {
		n.core.wheel.Add(m.At, func(now float64) { n.core.book.CutStream(now, m.ID) })
	}
}

// stopTaking drains the server; what is on its way is still taken, up to the deadline.
func (n *Node) stopTaking(deadline time.Time) {
	n.server.Drain()
	for end := time.Now().Add(n.plan.times.AcceptsFor()); time.Now().Before(earlier(end, deadline)) && !n.hurry.Load(); {
		time.Sleep(5 * time.Millisecond)
	}
	n.core.post(func(now float64) { n.core.book.StopAccepting() })
}

// awaitResponses waits until no request is open, or the deadline.
func (n *Node) awaitResponses(deadline time.Time) {
	for time.Now().Before(deadline) && !n.hurry.Load() && n.Live() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
}

// finish lets the last words out and stops the node.
func (n *Node) finish() {
	grace := time.Now().Add(2 * time.Second)
	for time.Now().Before(grace) && n.Held() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	n.running.wait()
	n.server.Wait(time.Second)
	n.Stop()
}

// earlier returns the earlier time.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// StopSavingState stops the writing of the state directory, so that a successor can hold it.
func (n *Node) StopSavingState() { n.lists.SaveState(false) }

// RespondNow makes a Shutdown that waits give its last answers now.
func (n *Node) RespondNow() { n.hurry.Store(true) }

// Live returns how many requests wait for the end of their answer.
func (n *Node) Live() int { return n.ask(func() int { return n.core.book.OpenRequests() }) }

// Held returns how many requests the node has not forgotten: those, ended ones of which an attempt is out, and those of
// which a state is being let go of.
func (n *Node) Held() int { return n.ask(func() int { return n.core.book.Len() + n.releasing }) }

// Connections returns the number of open client connections.
func (n *Node) Connections() int { return n.server.Conns() }

// ask reads a figure from the owner; 0 once it has stopped.
func (n *Node) ask(f func() int) int {
	got := make(chan int, 1)
	if !n.core.post(func(float64) { got <- f() }) {
		return 0
	}
	select {
	case x := <-got:
		return x
	case <-n.core.done:
		return 0
	}
}

// Stop cuts everything and waits for all goroutines. What was held gets no answer and is not tried again: it is
// a kill.
func (n *Node) Stop() { n.stop.Do(n.end) }

func (n *Node) end() {
	n.server.Drain()
	n.lists.Close()
	n.core.post(func(now float64) {
		for _, c := range n.calls {
			for _, a := range c.attempts {
				a.Cancel(outcome.RequestEnded)
			}
			c.x.Abort()
		}
		n.core.quit = true
	})
	<-n.core.done
	n.server.Close()
	if n.admin != nil {
		n.admin.Close()
	}
	n.running.wait()
	n.loops.Wait()
	n.caller.Close()
}

// moduleFailed is called by the owner when the module has panicked: what is held gets its answer by the book's own
// rules, and no more is taken.
func (n *Node) moduleFailed(err error) {
	n.log.Error("the routing module failed; the node stops", "error", err.Error())
	n.core.book.StopAccepting()
	n.core.book.RespondToAll(n.core.clock.Now())
	n.core.commands(n.core.clock.Now())
	select {
	case n.failed <- err:
	default:
	}
}

// side carries out the actions that concern neither requests nor time.
func (n *Node) side(now float64, a scheduler.Action) {
	switch a := a.(type) {
	case scheduler.Log:
		n.log.Info("module", "text", a.Text)
	case scheduler.Probe: // not offered: the module is told so in its settings
		n.log.Error("the module asks for a probe that is not offered", "engine", a.Engine)
	}
}

// call is one client's request. The owner has it, but for x, which belongs to the attempt that was granted the
// answer, and before that to the owner.
type call struct {
	id       string
	x        *http1.Exchange
	job      protocol.ClientExchange
	attempts map[int]try
	grants   map[int]chan bool
	guard    *timerwheel.Timer[func(float64)]
	freed    chan struct{} // closed when the latest release that began ahead of attempts has been made; nil = none has
	granted  bool          // the answer belongs to an attempt
	answered bool          // the answer has been given to a goroutine of its own
	started  time.Time
	dueBy    float64 // when its answer is due, with the slack that it has (s)
	leftAt   float64 // when its client was seen to leave (s); 0 = it was not
}

// try is an attempt that is out: where, and until when it may be written (s).
type try struct {
	protocol.Attempt
	engine  string
	writeBy float64 // 0 = at any time
	endsAt  float64 // when its client's time is over
}
