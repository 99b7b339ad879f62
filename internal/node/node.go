// Package node is the host of the routing module: it turns what happens on sockets into the module's events and
// carries out its actions. One goroutine owns the module and the book of requests (core); each connection and each
// attempt has a goroutine of its own and talks to the owner by posting facts. The node decides nothing.
package node

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"dillroute/brain"
	"dillroute/internal/config"
	"dillroute/internal/decide/ending"
	"dillroute/internal/decide/intake"
	"dillroute/internal/decide/ledger"
	"dillroute/internal/decide/rhythm"
	"dillroute/internal/engine"
	"dillroute/internal/front"
	"dillroute/internal/http1"
	"dillroute/internal/members"
	"dillroute/internal/service"
	"dillroute/internal/wheel"
)

// Node is a running router.
type Node struct {
	log     *slog.Logger
	core    *core
	engines *engine.Client
	server  *http1.Server
	admin   *http1.Server
	lists   *members.Follower
	addr    net.Addr
	aaddr   net.Addr
	prefix  string // of request ids: no two starts of a node make the same
	serial  atomic.Uint64
	view    atomic.Pointer[view]
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
}

// view is what connections need of the settings; it is replaced whole.
type view struct {
	cfg   *config.Config
	table *intake.Table
	body  []byte // of /v1/models
}

// Option changes a node from its default.
type Option func(*options)

type options struct {
	log      *slog.Logger
	seed     uint64
	listener net.Listener
	admin    net.Listener
}

// WithLogger sets where the node logs.
func WithLogger(l *slog.Logger) Option { return func(o *options) { o.log = l } }

// WithSeed fixes the module's random source.
func WithSeed(seed uint64) Option { return func(o *options) { o.seed = seed } }

// WithListener serves clients on a listener that is open already.
func WithListener(l net.Listener) Option { return func(o *options) { o.listener = l } }

// WithAdminListener serves the admin paths on a listener that is open already.
func WithAdminListener(l net.Listener) Option { return func(o *options) { o.admin = l } }

// Start starts a node. The engine list must be readable.
func Start(cfg *config.Config, opts ...Option) (*Node, error) {
	o := options{log: slog.Default(), seed: rand.Uint64()}
	for _, f := range opts {
		f(&o)
	}
	router, err := brain.New(cfg.Brain(), o.seed)
	if err != nil {
		return nil, err
	}
	n := &Node{log: o.log, calls: map[string]*call{}, addresses: map[string]string{}, failed: make(chan error, 1),
		prefix: fmt.Sprintf("%s-%08x", cfg.Node.Name, rand.Uint32()), metrics: newMetrics()}
	n.setView(cfg)
	clk := newClock()
	n.strain = newKeeping(cfg, clk)
	n.core = &core{clock: clk, beat: rhythm.Beat{Tick: cfg.Tick}, router: router, book: ledger.New(bookConfig(cfg), cfg.Brain().Kinds),
		wheel: wheel.New[func(float64)](clk.now(), 0.001), wake: make(chan struct{}, 1), done: make(chan struct{}),
		carry: n.carry, side: n.side, decide: n.metrics.decided, broken: n.breakDown, late: n.strain.late}
	n.engines = &engine.Client{Node: cfg.Node.Name, Key: cfg.Engines.Key, Connect: seconds(cfg.Limits.Connect),
		Stall: func() time.Duration { return seconds(n.view.Load().cfg.Limits.Stall) }, MaxEvent: cfg.Limits.MaxEvent,
		Pool: &http1.Pool{MaxIdle: cfg.Limits.EngineIdleConns, Idle: seconds(cfg.Limits.EngineIdle),
			Limits: http1.DefaultLimits}}
	if err := n.listen(cfg, o.listener, o.admin); err != nil {
		return nil, err
	}
	n.lists, err = members.Follow(members.FollowOptions{Config: cfg, Saved: savedList(cfg), Take: n.takeList,
		Complain: func(text string) { n.log.Error("engine list", "text", text) }})
	if err != nil {
		n.server.Close()
		if n.admin != nil {
			n.admin.Close()
		}
		return nil, fmt.Errorf("engine list: %w", err)
	}
	n.go_(n.core.run)
	n.sweep()
	return n, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func bookConfig(cfg *config.Config) ledger.Config {
	return ledger.Config{Classes: cfg.Brain().Classes, MaxOpen: cfg.Limits.MaxOpen, MaxAttempts: cfg.Limits.MaxAttempts,
		Slack: cfg.Rules.AnswerSlack, DrainGrace: cfg.Rules.DrainGrace}
}

// savedList is where the last believed list is kept; "" = nowhere.
func savedList(cfg *config.Config) string {
	if cfg.StateDir == "" {
		return ""
	}
	return filepath.Join(cfg.StateDir, "engines.json")
}

// go_ runs a loop that Stop waits for.
func (n *Node) go_(f func()) {
	n.loops.Add(1)
	go func() { defer n.loops.Done(); f() }()
}

// listen opens the sockets.
func (n *Node) listen(cfg *config.Config, l, al net.Listener) error {
	var err error
	handed := l != nil
	if l == nil {
		if l, err = service.Listen(cfg.Listen, cfg.ListenShared); err != nil {
			return fmt.Errorf("/listen: %w", err)
		}
	}
	lim := http1.DefaultLimits
	lim.Body = cfg.Limits.MaxBody
	n.addr = l.Addr()
	n.server = &http1.Server{Shared: handed, Handler: http1.HandlerFunc(n.serve), Limits: lim, MaxConns: n.strain.connections,
		MaxBytes: cfg.Limits.MaxHeld, Short: n.short, Fault: n.fault,
		Times: http1.Times{Head: seconds(cfg.Limits.Head), Body: seconds(cfg.Limits.Body), Idle: seconds(cfg.Limits.Idle),
			Write: seconds(cfg.Limits.Write)}}
	if al == nil && cfg.Admin != "" {
		if al, err = service.Listen(cfg.Admin, cfg.ListenShared); err != nil {
			l.Close()
			return fmt.Errorf("/admin: %w", err)
		}
	}
	if al != nil {
		n.aaddr = al.Addr()
		n.admin = &http1.Server{Handler: http1.HandlerFunc(n.serveAdmin), Limits: http1.DefaultLimits,
			Times: http1.DefaultTimes, MaxConns: func() int { return 100 }, MaxBytes: 1 << 20}
		n.go_(func() { n.admin.Serve(al) })
	}
	n.go_(func() { n.server.Serve(l) })
	return nil
}

// Addr is where clients connect; Admin is nil where there is none.
func (n *Node) Addr() net.Addr { return n.addr }

// Admin returns the address of the admin listener, or nil.
func (n *Node) Admin() net.Addr { return n.aaddr }

// Failed gets an error if the module breaks down; the node has answered what it held, and should be stopped.
func (n *Node) Failed() <-chan error { return n.failed }

// takeList hands a list to the owner.
func (n *Node) takeList(l *members.List) {
	n.log.Info("engine list taken", "engines", len(l.Engines), "saved", l.Saved)
	n.core.post(func(now float64) {
		for id, a := range l.Addresses {
			n.addresses[id] = a
		}
		for id := range n.addresses {
			if _, ok := l.Addresses[id]; !ok && len(n.calls) == 0 {
				delete(n.addresses, id)
			}
		}
		n.core.book.Members(now, brain.Members{Form: brain.ListFull, Engines: l.Engines})
	})
}

// sweep closes idle engine connections now and then.
func (n *Node) sweep() {
	n.core.post(func(now float64) {
		var again func(float64)
		again = func(now float64) {
			n.running.start(n.engines.Pool.Sweep)
			n.core.wheel.Add(now+1, again)
		}
		again(now)
	})
}

// Reload takes what may change of a new configuration, and says what may not.
func (n *Node) Reload(next *config.Config) (taken, refused []string) {
	merged, taken, refused := n.view.Load().cfg.Merge(next)
	n.setView(merged)
	n.core.post(func(float64) { n.core.book.Reconfigure(bookConfig(merged)) })
	return taken, refused
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

// Config returns the settings in force.
func (n *Node) Config() *config.Config { return n.view.Load().cfg }

func (n *Node) setView(cfg *config.Config) {
	models, rules := map[string]int{}, []intake.Rule{}
	list := front.ModelList{}
	for _, m := range cfg.Models {
		models[m.Name], _ = cfg.ClassIndex(m.Class)
		list.Add(m.Name)
	}
	for _, m := range cfg.Match {
		class, _ := cfg.ClassIndex(m.Class)
		r := intake.Rule{Model: m.Model, Header: m.Header, Class: class, AnyValue: m.Value == nil}
		if m.Value != nil {
			r.Value = *m.Value
		}
		rules = append(rules, r)
	}
	var classes []intake.Class
	for _, c := range cfg.Classes {
		classes = append(classes, intake.Class{Patience: c.Patience, PatiencePerK: c.PatiencePerK, MaxTokens: c.MaxTokens,
			TokenAim: c.TokenAim})
	}
	var keys, hashes [][]string
	for _, t := range cfg.Tenants {
		keys, hashes = append(keys, t.Keys), append(hashes, t.KeysSHA256)
	}
	n.view.Store(&view{cfg, intake.NewTable(classes, models, rules, keys, hashes), list.Bytes()})
}

// Shutdown stops taking requests, lets held ones go on for the time given, answers the rest as refused or failed,
// and stops the node.
func (n *Node) Shutdown(wait time.Duration) {
	deadline := time.Now().Add(wait)
	n.server.Drain()
	for end := time.Now().Add(http1.DrainTakes); time.Now().Before(earlier(end, deadline)) && !n.hurry.Load(); {
		time.Sleep(5 * time.Millisecond) // what was on its way is still taken
	}
	n.core.post(func(now float64) { n.core.book.Close() })
	for time.Now().Before(deadline) && !n.hurry.Load() && n.Live() > 0 {
		time.Sleep(5 * time.Millisecond)
	}
	n.core.post(func(now float64) { n.core.book.EndAll(now) })
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

// KeepNoState stops the writing of the state directory, so that a successor can hold it.
func (n *Node) KeepNoState() { n.lists.Keep(false) }

// Hurry makes a Shutdown that waits give its last answers now.
func (n *Node) Hurry() { n.hurry.Store(true) }

// Live returns how many requests wait for the end of their answer.
func (n *Node) Live() int { return n.ask(func() int { return n.core.book.Live() }) }

// Held returns how many requests the node has not forgotten: those, and ended ones of which an attempt is out.
func (n *Node) Held() int { return n.ask(func() int { return n.core.book.Held() }) }

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
				a.Abort(ending.Overtaken)
			}
			c.x.Cut()
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
	n.engines.Pool.Close()
}

// breakDown is called by the owner when the module has panicked: what is held gets its answer by the book's own
// rules, and no more is taken.
func (n *Node) breakDown(err error) {
	n.log.Error("the routing module failed; the node stops", "error", err.Error())
	n.core.book.Close()
	n.core.book.EndAll(n.core.clock.now())
	n.core.commands(n.core.clock.now())
	select {
	case n.failed <- err:
	default:
	}
}

// side carries out the actions that concern neither requests nor time.
func (n *Node) side(now float64, a brain.Action) {
	switch a := a.(type) {
	case brain.Log:
		n.log.Info("module", "text", a.Text)
	case brain.Probe: // not offered: the module is told so in its settings
		n.log.Error("the module asks for a probe that is not offered", "engine", a.Engine)
	}
}

// call is one client's request. The owner has it, but for x, which belongs to the attempt that was granted the
// answer, and before that to the owner.
type call struct {
	id       string
	x        *http1.Exchange
	chat     *front.Chat
	extra    []http1.Field
	attempts map[int]*engine.Attempt
	grants   map[int]chan bool
	states   map[int]json.RawMessage // by the attempt that read them
	replies  map[int]reply
	guard    *wheel.Timer[func(float64)]
	answered bool // the answer has been given to a goroutine of its own
	started  time.Time
}

// reply is an engine's own answer, kept in case it is passed on.
type reply struct {
	status int
	body   []byte
}
