package relay

import (
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

	"dillroute/brain"
	"dillroute/internal/decide/believe"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/internal/settings"
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
	times believe.Watching
	kinds map[string]int
	zones map[string]int
	roles []brain.Kind
	take  func(protocol.List)
	wg    sync.WaitGroup

	mu     sync.Mutex
	told   *believe.Told
	watch  *watch
	closed bool
}

// watch is one address that is followed. Where it goes on from is its own: another address may count versions anew.
type watch struct {
	addr string
	stop chan struct{}

	version int64 // that its changes are asked from, once it has told a whole list; of its own goroutine
	going   bool

	mu   sync.Mutex
	conn *http1.ClientConn
	quit bool
}

// Follow starts following discovery at an address, from what was known before (may be empty).
func Follow(addr string, known []byte, s *settings.Settings, take func(protocol.List), log *slog.Logger) *Discovery {
	return follow(addr, known, s, believe.NewWatching(toldAfter), take, log)
}

func follow(addr string, known []byte, s *settings.Settings, times believe.Watching, take func(protocol.List), log *slog.Logger) *Discovery {
	d := &Discovery{log: log, times: times, kinds: index(s.Kinds), zones: index(s.Zones), roles: s.Brain.Kinds, take: take,
		told: newTold()}
	var a answer
	if len(known) > 0 {
		if err := json.Unmarshal(known, &a); err != nil {
			log.Warn("the list known before is not used", "error", err.Error())
		} else {
			d.hear(&a, true)
		}
	}
	d.Move(addr)
	return d
}

// newTold returns the list of which every word counts.
func newTold() *believe.Told { return believe.NewTold() }

// Keep is of no use here: no disk survives the node.
func (d *Discovery) Keep(bool) {}

// Move follows another address from now on. The one before is given up once the new one has answered.
func (d *Discovery) Move(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.watch != nil && d.watch.addr == addr {
		return
	}
	before := d.watch
	w := &watch{addr: addr, stop: make(chan struct{})}
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
		if w.conn != nil {
			w.conn.Close()
		}
	}
}

// hold notes the connection that end closes; false = the watch has ended.
func (w *watch) hold(c *http1.ClientConn) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.conn = c
	return !w.quit
}

// follow asks until it is stopped. before is the watch that this one follows upon.
func (d *Discovery) follow(w, before *watch) {
	defer func() {
		if before != nil {
			before.end()
		}
	}()
	pool := &http1.Pool{MaxIdle: 1, Limits: http1.Limits{Line: 1 << 10, Header: 8 << 10, Headers: 64, Body: maxList}}
	defer pool.Close()
	asker := believe.NewWatcher(rand.Float64)
	for {
		err := d.session(w, pool, asker, func() {
			if before != nil {
				before.end()
				before = nil
			}
		})
		select {
		case <-w.stop:
			return
		default:
		}
		d.log.Info("discovery", "address", w.addr, "error", err.Error())
		if !w.until(asker.After(unix(), false)) {
			return
		}
	}
}

func unix() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// until waits for a time (Unix s); false = the watch has ended.
func (w *watch) until(at float64) bool {
	wait := seconds(at - unix())
	if wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-w.stop:
		return false
	case <-t.C:
		return true
	}
}

// session asks for what is wanted on one connection until that fails. heard is told of each answer. A list that has been
// heard whole here is gone on from by its changes, on a new connection too: they are less to send.
func (d *Discovery) session(w *watch, pool *http1.Pool, asker *believe.Asker, heard func()) error {
	c, err := pool.Get(w.addr, seconds(d.times.First))
	if err != nil {
		return err
	}
	defer c.Close()
	if !w.hold(c) {
		return errStopped
	}
	for hold := 1e-3; ; hold = d.times.Hold { // the first call on a connection waits for nothing: its silence is told at once
		target, by := pathList, unix()+d.times.First
		if w.going {
			target = pathList + "?from=" + strconv.FormatInt(w.version, 10) + "&hold_ms=" + strconv.FormatInt(seconds(hold).Milliseconds(), 10)
			by = d.times.Silent(unix(), hold)
		}
		a, err := d.ask(c, target, by)
		if err != nil {
			return err
		}
		w.version, w.going = d.hear(a, false)
		heard()
		if !w.until(asker.After(unix(), true)) {
			return errStopped
		}
	}
}

// errStopped tells that a watch has been ended by us.
var errStopped = errors.New("stopped")

// ask makes one call. The first byte of its answer must come by the time given (Unix s); from there its bytes have to keep
// coming: lists may come in pieces as small as one byte.
func (d *Discovery) ask(c *http1.ClientConn, target string, by float64) (*answer, error) {
	c.SetDeadline(time.Unix(0, int64(by*1e9)))
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
	if resp.Status != 200 {
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
			return nil, fmt.Errorf("relay: list: servers[%d] has no id, or the state %q", i, clip(e.State))
		}
	}
	return &a, nil
}

// hear files an answer and hands on what it changes. It returns the version to go on from, if the whole list is not wanted.
func (d *Discovery) hear(a *answer, known bool) (version int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var words []believe.Word
	for _, e := range a.Servers {
		kind, ok := d.kinds[e.Kind]
		if !ok && e.State != "removed" {
			d.log.Warn("engine of an unknown kind", "engine", e.ID, "kind", clip(e.Kind))
			continue
		}
		w := believe.Word{Gone: e.State == "removed", Entry: believe.Entry{ID: e.ID, Address: e.Addr, Kind: kind, Cell: e.Cell,
			Zone: d.zones[e.Zone], Weight: e.Weight, Boot: e.Started / 1000}}
		if ok {
			w.Role = int(d.roles[kind].Role)
		}
		if e.State == "draining" {
			w.State = believe.Draining
		}
		words = append(words, w)
	}
	changes := d.told.Hear(unix(), a.Version, a.Full, words)
	if len(changes) > 0 {
		d.take(list(changes, known))
	}
	return d.told.Version()
}

// list turns changes into what the host takes.
func list(changes []believe.Word, known bool) protocol.List {
	l := protocol.List{Form: brain.ListChanges, Addresses: map[string]string{}, Saved: known}
	for _, w := range changes {
		e := brain.Engine{ID: w.ID, Kind: w.Kind, Cell: w.Cell, Zone: w.Zone, Weight: w.Weight, BootTime: w.Boot}
		switch {
		case w.Gone:
			e.State = brain.Removed
		case w.State == believe.Draining:
			e.State = brain.Draining
		}
		l.Engines = append(l.Engines, e)
		if w.Address != "" {
			l.Addresses[w.ID] = w.Address
		}
	}
	slices.SortFunc(l.Engines, func(a, b brain.Engine) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return l
}
