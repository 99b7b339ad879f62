package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// answer is discovery's form of a list.
type answer struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started float64 `json:"started_ms"`
}

// toldAfter is when a change counts as told, whatever our calls came to (the standing test's terms), in seconds.
const toldAfter = 6

// maxList bounds an answer, in bytes.
const maxList = 4 << 20

// Discovery follows the list of engines.
type Discovery struct {
	log   *slog.Logger
	times endpoints.Pace
	kinds map[string]int
	zones map[string]int
	roles []scheduler.Kind
	take  func(protocol.EndpointList)
	wg    sync.WaitGroup

	clock   clock.Clock
	connect http1.DialFunc

	mu     sync.Mutex
	told   *endpoints.Told
	starts *endpoints.Starts
	known  bool    // a list was known at the start
	heard  float64 // when the source last answered (s); 0 = it has not yet
	watch  *watch
	closed bool
}

// watch is one address that is followed. Where it goes on from is its own: another address may count versions anew. All but
// what the lock guards belongs to its goroutine.
type watch struct {
	addr    string
	ctx     context.Context // ends with the watch
	cancel  context.CancelFunc
	stop    chan struct{}
	replies chan reply
	open    []*call // that have not ended, the newest last
	version int64   // that changes are asked from, once a whole list was told
	going   bool

	mu    sync.Mutex
	conns map[*http1.ClientConn]bool // that end closes
	quit  bool
}

// call is one call to discovery.
type call struct {
	target string
	due    float64           // when its answer is to come at the latest, if the source is not congested (s)
	on     *http1.ClientConn // its connection, guarded by the watch's lock; nil = a new one is to be made
}

// reply is what became of a call.
type reply struct {
	*call
	line *http1.ClientConn // that it went on; nil = none could be made
	a    *answer
	err  error
}

// Follow starts following discovery at an address, from what was known before (may be empty).
// clk is the clock of the node, in whose times lists are told; connect makes connections (nil = on the network).
func Follow(addr string, known []byte, s *settings.Settings, clk clock.Clock, connect http1.DialFunc, take func(protocol.EndpointList), log *slog.Logger) *Discovery {
	return follow(addr, known, s, paceOf(s), clk, connect, take, log)
}

// paceOf is the pace at which the discovery of the settings is followed.
func paceOf(s *settings.Settings) endpoints.Pace {
	if s.Scheduler.PollsDiscovery {
		return endpoints.SharedPace(toldAfter, s.Scheduler.Rules.PollInterval, rand.Float64)
	}
	return endpoints.AgentPace(toldAfter, rand.Float64)
}

func follow(addr string, known []byte, s *settings.Settings, times endpoints.Pace, clk clock.Clock, connect http1.DialFunc, take func(protocol.EndpointList), log *slog.Logger) *Discovery {
	d := &Discovery{log: log, times: times, kinds: indexByName(s.Kinds), zones: indexByName(s.Zones), roles: s.Scheduler.Kinds, take: take,
		told: newTold(), starts: endpoints.NewStarts(), clock: clk, connect: connect}
	var a answer
	if len(known) > 0 {
		if err := json.Unmarshal(known, &a); err != nil {
			log.Warn("the list known before is not used", "error", err.Error())
		} else {
			d.hear(&a, true)
			d.known = true
		}
	}
	d.Move(addr)
	return d
}

// newTold returns the list of which every word counts.
func newTold() *endpoints.Told { return endpoints.NewTold() }

// SaveState is of no use here: no disk survives the node.
func (d *Discovery) SaveState(bool) {}

// Move follows another address from now on. The one before is given up once the new one has answered.
func (d *Discovery) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.watch != nil && d.watch.addr == addr {
		return
	}
	before := d.watch
	ctx, cancel := context.WithCancel(context.Background())
	w := &watch{addr: addr, ctx: ctx, cancel: cancel, stop: make(chan struct{}), replies: make(chan reply), conns: map[*http1.ClientConn]bool{}}
	d.watch = w
	d.wg.Add(1)
	go func() { defer d.wg.Done(); d.follow(w, before) }()
}

// Close ends the following.
func (d *Discovery) Close() {
	d.mu.Lock()
	d.closed = true
	w := d.watch
	d.mu.Unlock()
	w.end()
	d.wg.Wait()
}

// end stops a watch, whatever it waits for.
func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.quit {
		w.quit = true
		close(w.stop)
		w.cancel()
		for c := range w.conns {
			c.Close()
		}
	}
}

// hold notes the connection of a call, which end closes; false = the watch has ended. drop closes one and forgets it.
func (w *watch) hold(c *call, on *http1.ClientConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c.on, w.conns[on] = on, true
	return !w.quit
}

func (w *watch) drop(on *http1.ClientConn) {
	if on != nil {
		on.Close()
		w.mu.Lock()
		delete(w.conns, on)
		w.mu.Unlock()
	}
}

// follow asks until it is stopped. before is the watch that this one follows upon.
//
// One call leads: it waits for news, or has just been made. When it has been silent for too long, another one leads on a new
// connection, and those before it are waited for all the same: while discovery is down it says nothing, and what it has at
// its return it says first to who is waiting. So a node is never without a call that is out.
func (d *Discovery) follow(w, before *watch) {
	pool := &http1.Pool{Limits: http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxList}, Connect: d.connect}
	var calls sync.WaitGroup
	defer func() {
		w.end()
		calls.Wait()
		pool.Close()
		if before != nil {
			before.end()
		}
	}()
	asker := d.times.Asker()
	var lead *call
	var line *http1.ClientConn // that the next call goes on; nil = a new one
	silent := 0                // calls that have led and said nothing since the last answer
	at := d.begins(before)     // when a call is due, or the one that leads counts as silent
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(max(0, seconds(at-d.clock.Now())))
		select {
		case <-w.stop:
			return
		case <-timer.C:
			if lead != nil {
				silent++
				d.log.Info("discovery is silent", "address", w.addr, "calls", silent)
			}
			lead, at = w.begin(d.clock.Now(), line, d.times.Watching, silent)
			line = nil
			calls.Add(1)
			go func(c *call) { defer calls.Done(); d.call(w, pool, c) }(lead)
		case r := <-w.replies:
			w.ended(r.call) // one that was given up may have been answered all the same: that counts as told
			if r.err != nil {
				w.drop(r.line)
				if r.call == lead {
					d.log.Info("discovery", "address", w.addr, "error", r.err.Error())
					lead, at = nil, d.again(asker, r.err)
				}
				continue
			}
			if before != nil {
				before.end()
				before = nil
			}
			if r.call == lead || !w.going || r.a.Version >= w.version { // else the one that leads has told more
				w.version, w.going = d.hear(r.a, false)
			}
			if r.call != lead && silent == 0 {
				w.drop(r.line)
				continue
			}
			lead, line, silent, at = nil, r.line, 0, asker.Answered(d.clock.Now(), d.clock.Now()-r.call.due)
		}
	}
}

// again is when to call again after a call that led to an error.
func (d *Discovery) again(asker *endpoints.Asker, err error) float64 {
	if errors.Is(err, errTurnedAway) {
		return asker.TurnedAway(d.clock.Now())
	}
	return asker.After(d.clock.Now(), false)
}

// begins is when the first call of a watch is made (s): at once where nothing is known, or where it follows upon another.
func (d *Discovery) begins(before *watch) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if before != nil || !d.known {
		return d.clock.Now()
	}
	return d.clock.Now() + d.times.Spread*rand.Float64()
}

// begin notes a call and returns when it counts as silent (s). On a connection that has just answered it waits for news;
// the first one on a new connection waits for nothing. Changes are asked for where they are enough: they are less to send.
func (w *watch) begin(now float64, line *http1.ClientConn, times endpoints.Watching, silent int) (*call, float64) {
	c, late := &call{on: line, target: pathList, due: now}, times.Patience(now, silent)
	if w.going {
		hold := 1e-3
		if line != nil {
			hold, late, c.due = times.Hold, times.Silent(now), now+times.Hold
		}
		c.target += "?from=" + strconv.FormatInt(w.version, 10) + "&hold_ms=" + strconv.FormatInt(seconds(hold).Milliseconds(), 10)
	}
	if w.open = append(w.open, c); len(w.open) > times.Calls {
		w.mu.Lock()
		on := w.open[0].on
		w.mu.Unlock()
		w.drop(on)
		w.open = w.open[1:]
	}
	return c, late
}

// ended forgets a call.
func (w *watch) ended(c *call) {
	w.open = slices.DeleteFunc(w.open, func(x *call) bool { return x == c })
}

// errTurnedAway tells that discovery cannot answer now.
var errTurnedAway = errors.New("relay: discovery turned the call away")

// errStopped tells that a watch has been ended by us.
var errStopped = errors.New("stopped")

// call makes a call, and hands on what became of it.
func (d *Discovery) call(w *watch, pool *http1.Pool, c *call) {
	r := reply{call: c}
	on := c.on
	if on == nil {
		on, r.err = pool.Dial(w.ctx, w.addr, seconds(d.times.First))
	}
	if r.err == nil {
		if w.hold(c, on) {
			r.a, r.err = d.ask(on, c.target)
		} else {
			r.err = errStopped
		}
	}
	r.line = on
	select {
	case w.replies <- r:
	case <-w.stop:
		if on != nil {
			on.Close()
		}
	}
}

// ask makes one call. How long its first byte may take is for others to judge; from there its bytes have to keep coming: lists
// may come in pieces as small as one byte.
func (d *Discovery) ask(c *http1.ClientConn, target string) (*answer, error) {
	c.SetDeadline(time.Now().Add(seconds(d.times.Most)))
	if _, _, err := c.Send("GET", target, nil, nil); err != nil {
		return nil, err
	}
	if err := c.Await(); err != nil {
		return nil, err
	}
	end := time.Now().Add(seconds(d.times.Whole))
	c.SetDeadline(end)
	resp, err := c.ReadResponse()
	if err != nil {
		return nil, err
	}
	resp.Body = &steady{c: c, r: resp.Body, idle: seconds(d.times.Idle), end: end}
	body, err := resp.ReadAll(maxList)
	if err != nil {
		return nil, err
	}
	switch resp.Status {
	case 200:
	case 429, 503:
		return nil, fmt.Errorf("%w: it answered %d", errTurnedAway, resp.Status)
	default:
		return nil, fmt.Errorf("relay: discovery answered %d", resp.Status)
	}
	return readList(body)
}

// steady reads a body whose bytes must not pause for longer than idle, nor go on after end.
type steady struct {
	c    *http1.ClientConn
	r    io.Reader
	idle time.Duration
	end  time.Time
}

func (s *steady) Read(p []byte) (int, error) {
	by := time.Now().Add(s.idle)
	if by.After(s.end) {
		by = s.end
	}
	s.c.SetDeadline(by)
	return s.r.Read(p)
}

// readList reads an answer; an entry that cannot be spoils it.
func readList(body []byte) (*answer, error) {
	var a answer
	if err := json.Unmarshal(body, &a); err != nil {
		return nil, fmt.Errorf("relay: list: %w", err)
	}
	if a.Version < 0 {
		return nil, fmt.Errorf("relay: list: version %d", a.Version)
	}
	for i, e := range a.Servers {
		if e.ID == "" || e.State != "up" && e.State != "draining" && e.State != "removed" {
			return nil, fmt.Errorf("relay: list: servers[%d] has no id, or the state %q", i, truncate(e.State))
		}
	}
	return &a, nil
}

// hear files an answer and hands on what it changes. It returns the version to go on from, if the whole list is not wanted.
func (d *Discovery) hear(a *answer, known bool) (version int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var words []endpoints.Word
	for _, e := range a.Servers {
		kind, ok := d.kinds[e.Kind]
		if !ok && e.State != "removed" {
			d.log.Warn("engine of an unknown kind", "engine", e.ID, "kind", truncate(e.Kind))
			continue
		}
		w := endpoints.Word{Gone: e.State == "removed", Entry: endpoints.Entry{ID: e.ID, Address: e.Addr, Kind: kind, Cell: e.Cell,
			Zone: d.zones[e.Zone], Weight: e.Weight, Boot: e.Started / 1000}}
		if ok {
			w.Role = int(d.roles[kind].Role)
		}
		if e.State == "draining" {
			w.State = endpoints.Draining
		}
		words = append(words, w)
	}
	changes := d.told.Hear(d.clock.Now(), a.Version, a.Full, words)
	if len(changes) > 0 {
		d.take(d.list(changes, known))
	}
	if !known {
		d.heard = d.clock.Now()
	}
	return d.told.Version()
}

// list turns changes into what the host takes. The lock is held.
func (d *Discovery) list(changes []endpoints.Word, known bool) protocol.EndpointList {
	now, wall := d.clock.Now(), d.clock.Wall()
	l := protocol.EndpointList{Form: scheduler.UpdateIncremental, Addresses: map[string]string{}, Saved: known}
	for _, w := range changes {
		e := scheduler.Engine{ID: w.ID, Kind: w.Kind, Cell: w.Cell, Zone: w.Zone, Weight: w.Weight,
			BootTime: d.starts.Own(w.ID, w.Boot, now, wall, d.heard)}
		switch {
		case w.Gone:
			e.State = scheduler.EngineRemoved
			d.starts.Gone(w.ID, now)
		case w.State == endpoints.Draining:
			e.State = scheduler.EngineDraining
		}
		l.Engines = append(l.Engines, e)
		if w.Address != "" {
			l.Addresses[w.ID] = w.Address
		}
	}
	slices.SortFunc(l.Engines, func(a, b scheduler.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l
}
