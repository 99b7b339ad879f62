// Package node is the host of the scheduler. It reports events on sockets to the request table (internal/decide/requesttable), and
// executes the commands of the table and the actions of the scheduler. It makes no decisions itself.
//
// One goroutine, that of eventLoop.run, owns the scheduler, the request table and hostState. Each client connection and each attempt
// has a goroutine of its own, which reports to the event loop by posting tasks. Nothing on the event loop waits for a socket.
//
// A request is processed in these steps: http1.Server reads it, protocol.Front parses it, acceptRequest adds it to the table, the
// scheduler decides (eventLoop.step), startAttempt sends it to an engine, attemptObserver and attemptEnded report the progress and the
// result of the attempt, and respond or the attempt itself writes to the client.
//
// internal/cli starts a node with StartChat or StartRelay and ends it with Shutdown, ShutdownBy or Stop.
package node

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/timerwheel"
	"dillroute/scheduler"
)

// Node is a running router: the part of it that does not depend on the protocol.
type Node struct {
	log       *slog.Logger
	config    hostConfig
	loop      *eventLoop
	owned     hostState
	front     protocol.Front
	engines   protocol.EngineClient
	endpoints protocol.EndpointSource
	overload  *overloadMonitor
	metrics   *metrics

	server    *http1.Server
	addr      net.Addr
	admin     *http1.Server // nil = there is no admin listener
	adminAddr net.Addr

	jobs       jobGroup       // goroutines of attempts, release calls and responses
	loops      sync.WaitGroup // goroutines that run until the node stops: event loop and listeners
	failed     chan error
	respondNow atomic.Bool // a Shutdown that is waiting must respond immediately
	stopOnce   sync.Once
}

// hostState is the part of the node that is owned by the event loop's goroutine. Other goroutines access it only through
// eventLoop.post.
type hostState struct {
	requests         map[string]*activeRequest
	engines          map[string]*engineEndpoint
	shutdownDeadline float64 // a node that is shutting down must respond to its requests before this (s); 0 = no deadline
	pendingReleases  int     // states that are being released
}

// activeRequest is a client's request, from its acceptance until the request table forgets it. It is owned by the event loop, except
// exchange, which is owned by the attempt that was granted the response.
type activeRequest struct {
	id              string
	exchange        *http1.Exchange
	client          protocol.ClientExchange
	attempts        map[int]attemptInFlight // by number
	responseGrants  map[int]chan bool       // by the number of the attempt that waits for the decision
	deadlineTimer   *timerwheel.Timer[func(float64)]
	release         releaseWait // the latest release that has started, for which new attempts wait
	releasedAtLimit bool        // a state was released at its limit, perhaps while an attempt was in flight
	responseGranted bool        // an attempt was granted the response
	responded       bool        // the goroutine that writes the final response has been started
	startedAt       time.Time
	dueBy           float64 // deadline of the response, including the response slack (s)
	disconnectedAt  float64 // when the client's disconnect was noticed (s); 0 = it has not disconnected
}

// attemptInFlight is an attempt that has not ended, with the time limits against which it is audited (s).
type attemptInFlight struct {
	protocol.Attempt
	engine         string
	writeBy        float64 // end of the deduplication window; 0 = no limit
	clientDeadline float64
}

// hostConfig is the configuration of the host, independent of the protocol.
type hostConfig struct {
	scheduler         scheduler.Config
	table             requesttable.Config
	tick              float64 // least time between two scheduler steps (s)
	overload          overload.Limits
	timeouts          http1.Timeouts
	limits            http1.Limits
	rejectionQueue    int   // maximum number of connections being rejected at a time; 0 = default of http1.Server
	maxHeldBytes      int64 // maximum bytes of request bodies in memory; 0 = no limit
	anyEngineReleases bool  // every engine can release the states that any engine holds
	clientsMayResume  bool  // a client whose stream was cut off resumes it at another node
}

// Option changes a default of a node.
type Option func(*options)

type options struct {
	log           *slog.Logger
	seed          uint64
	listener      net.Listener
	adminListener net.Listener
	dial          http1.DialFunc // for a RelayNode's connections to engines and discovery; nil = the network
}

// WithLogger sets the logger of the node; the default is slog.Default.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeed fixes the seed of the scheduler's random source; the default is random.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithListener serves clients on a listener that is already open.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithAdminListener serves the admin paths on a listener that is already open.
func WithAdminListener(l net.Listener) Option { return func(o *options) { o.adminListener = l } }

func applyOptions(opts []Option) options {
	o := options{log: slog.Default(), seed: rand.Uint64()}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// newNode returns a node that has no sockets yet and whose event loop does not run.
func newNode(config hostConfig, o options) (*Node, error) {
	// On sockets, an attempt that ended without a response may never have reached its engine (PROTOCOL, the rules).
	config.scheduler.Limits.StateTimeRunsUntilResponse = true
	sched, err := scheduler.New(config.scheduler, o.seed)
	if err != nil {
		return nil, err
	}
	clk := clock.New()
	n := &Node{
		log:      o.log,
		config:   config,
		owned:    hostState{requests: map[string]*activeRequest{}, engines: map[string]*engineEndpoint{}},
		overload: newOverloadMonitor(config.overload, clk),
		metrics:  newMetrics(),
		failed:   make(chan error, 1),
	}
	n.loop = newEventLoop(eventLoopOptions{
		clock:        clk,
		scheduler:    sched,
		table:        requesttable.New(config.table, config.scheduler.Kinds),
		tick:         config.tick,
		host:         n,
		lagObserver:  n.overload,
		stepObserver: n,
	})
	return n, nil
}

// table returns the request table. It must be called on the event loop's goroutine.
func (n *Node) table() *requesttable.Table { return n.loop.owned.table }

// schedule calls f on the event loop's goroutine at the given time (s). It must be called on that goroutine.
func (n *Node) schedule(at float64, f func(now float64)) *timerwheel.Timer[func(float64)] {
	return n.loop.owned.timers.Add(at, f)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// startLoop runs f on a goroutine that Stop waits for.
func (n *Node) startLoop(f func()) {
	n.loops.Add(1)
	go func() {
		defer n.loops.Done()
		f()
	}()
}

// serveOn serves clients on a listener. shared says whether other processes accept connections from the same socket.
func (n *Node) serveOn(l net.Listener, shared bool) {
	n.addr = l.Addr()
	n.server = &http1.Server{
		Shared:               shared,
		Limits:               n.config.limits,
		MaxConns:             n.overload.maxConnections,
		MaxBytes:             n.config.maxHeldBytes,
		RejectionQueue:       n.config.rejectionQueue,
		OnDescriptorShortage: n.descriptorShortage,
		MayCloseIdle:         n.mayCloseIdle,
		OnClose:              n.connectionClosed,
		Timeouts:             n.config.timeouts,
		Handler:              http1.HandlerFunc(n.serveClient),
		ErrorBody:            n.errorBody,
	}
	n.startLoop(func() { n.server.Serve(l) })
}

// serveClient parses one exchange on its connection's goroutine and posts the request to the event loop.
func (n *Node) serveClient(exchange *http1.Exchange) {
	n.front.Serve(exchange, func(routed protocol.RoutedRequest) bool {
		return n.loop.post(func(now float64) { n.acceptRequest(now, exchange, routed) })
	})
}

// errorBody returns the header fields and the body of the response to a request that could not be read or for which there is no capacity.
func (n *Node) errorBody(status int, reason string) ([]http1.Field, []byte) {
	retryAfter := 0.0
	if status == 503 {
		retryAfter = n.overload.retryAfter()
	}
	return n.front.ErrorBody(status, reason, retryAfter)
}

// start starts the event loop and the periodic closing of idle engine connections.
func (n *Node) start() {
	n.startLoop(n.loop.run)
	n.loop.post(n.closeExpiredConnections)
}

// idleSweepInterval is the time between two sweeps of idle engine connections (s).
const idleSweepInterval = 1

// closeExpiredConnections closes engine connections that have been idle for too long, and schedules its next call.
func (n *Node) closeExpiredConnections(now float64) {
	n.jobs.start(n.engines.CloseExpired)
	n.schedule(now+idleSweepInterval, n.closeExpiredConnections)
}

// Addr returns the address of the listener for clients.
func (n *Node) Addr() net.Addr { return n.addr }

// AdminAddr returns the address of the admin listener, or nil if there is none.
func (n *Node) AdminAddr() net.Addr { return n.adminAddr }

// Failed returns a channel that receives an error if the scheduler panics. By then the node has begun to write the responses to all open
// requests, and the caller should shut it down.
func (n *Node) Failed() <-chan error { return n.failed }

// Ready reports whether the node can serve requests. It returns false once the node has stopped.
func (n *Node) Ready() bool {
	ready, _ := query(n.loop, func() bool { return n.table().Ready() })
	return ready
}

// openRequests returns the number of requests without a final response; 0 once the node has stopped.
func (n *Node) openRequests() int {
	open, _ := query(n.loop, func() int { return n.table().OpenRequests() })
	return open
}

// unfinishedRequests returns the number of requests that the node has not forgotten, including those that have ended while an attempt
// is in flight, plus the number of states that are being released; 0 once the node has stopped.
func (n *Node) unfinishedRequests() int {
	unfinished, _ := query(n.loop, func() int { return n.table().Len() + n.owned.pendingReleases })
	return unfinished
}

// Stop closes all connections immediately and waits for all goroutines. Open requests receive no response and are not retried.
func (n *Node) Stop() { n.stopOnce.Do(n.stop) }

func (n *Node) stop() {
	n.server.Drain()
	n.endpoints.Close()
	n.loop.post(func(float64) {
		for _, request := range n.owned.requests {
			for _, attempt := range request.attempts {
				attempt.Cancel(outcome.RequestEnded)
			}
			request.exchange.Abort()
		}
		n.loop.stop()
	})
	<-n.loop.done
	n.server.Close()
	if n.admin != nil {
		n.admin.Close()
	}
	n.jobs.wait()
	n.loops.Wait()
	n.engines.Close()
}

// longStep is the duration from which a scheduler step is logged as a warning (s). While a step runs, no request is answered and no state
// is released.
const longStep = 0.05

// observeStep implements stepObserver.
func (n *Node) observeStep(step schedulerStep) {
	n.metrics.observeStep(step)
	if step.seconds < longStep {
		return
	}
	n.log.Warn("scheduler step was long", "seconds", step.seconds, "events", step.events, "actions", step.actions,
		"open_requests", step.load.OpenRequests, "engines", step.load.Engines, "evaluations", step.load.Evaluations,
		"interrupted", step.load.Interrupted)
}

// schedulerFailed implements host. The request table responds to every open request by its own rules, and accepts no further request.
func (n *Node) schedulerFailed(err error) {
	n.log.Error("scheduler failed; the node stops", "error", err.Error())
	n.table().StopAccepting()
	n.table().RespondToAll(n.loop.clock.Now())
	n.loop.executeCommands(n.loop.clock.Now())
	select {
	case n.failed <- err:
	default:
	}
}

// executeAction implements host.
func (n *Node) executeAction(action scheduler.Action) {
	switch a := action.(type) {
	case scheduler.Log:
		n.log.Info("scheduler message", "text", a.Text)
	case scheduler.Probe: // not expected: the scheduler is configured for protocols without health checks
		n.log.Error("health check not supported; action ignored", "engine", a.Engine)
	}
}
