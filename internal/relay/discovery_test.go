package relay

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// source is a discovery whose calls are answered as a test says. Its list holds one engine, e0, that is up until drain.
type source struct {
	l     net.Listener
	mu    sync.Mutex
	drain bool
	news  chan struct{}
	calls []string                                    // targets
	act   func(n int, target string, c net.Conn) bool // false = answer as discovery does
}

func newSource(t *testing.T, act func(n int, target string, c net.Conn) bool) *source {
	t.Helper()
	s := &source{news: make(chan struct{}), act: act}
	s.listen(t, "127.0.0.1:0")
	return s
}

func (s *source) listen(t *testing.T, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s.l = l
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go s.serve(c)
		}
	}()
}

func (s *source) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		n := len(s.calls)
		s.calls = append(s.calls, r.URL.RequestURI())
		news, drained, act := s.news, s.drain, s.act
		s.mu.Unlock()
		if act != nil && act(n, r.URL.RequestURI(), c) {
			continue
		}
		if ms := r.URL.Query().Get("hold_ms"); ms != "" && !(drained && r.URL.Query().Get("from") == "1") {
			var hold int
			fmt.Sscan(ms, &hold)
			select {
			case <-news:
			case <-time.After(time.Duration(hold) * time.Millisecond):
			}
		}
		s.write(c, r.URL.Query().Get("from") == "")
	}
}

// text is an answer.
func (s *source) text(full bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, state := 1, "up"
	if s.drain {
		version, state = 2, "draining"
	}
	b, _ := json.MarshalIndent(map[string]any{"version": version, "full": full, "servers": []any{map[string]any{"id": "e0", "addr": "127.0.0.1:9",
		"zone": "z", "kind": "read", "cell": 1, "state": state, "weight": 1.0, "started_ms": 0}}}, "", "  ")
	return string(b)
}

func (s *source) write(c net.Conn, full bool) {
	text := s.text(full)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// await waits until e0 drains.
func (s *source) await() {
	s.mu.Lock()
	news, drained := s.news, s.drain
	s.mu.Unlock()
	if !drained {
		<-news
	}
}

// change has e0 drain.
func (s *source) change() {
	s.mu.Lock()
	s.drain = true
	close(s.news)
	s.news = make(chan struct{})
	s.mu.Unlock()
}

func (s *source) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// heard follows a source, and tells when the drain of e0 was taken.
type heard struct {
	up, drained atomic.Int64 // Unix nanoseconds
}

func (h *heard) take(l protocol.EndpointList) {
	for _, e := range l.Engines {
		switch now := time.Now().UnixNano(); e.State {
		case scheduler.EngineDraining:
			h.drained.CompareAndSwap(0, now)
		case scheduler.EngineReady:
			h.up.CompareAndSwap(0, now)
		}
	}
}

func within(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// Whatever becomes of the calls to discovery, a change is heard before it counts as told. The clock is a quarter of the real
// one, so that the test is short; the parts are the same.
func TestChangesAreHeardInTimeWhateverCallsCameTo(t *testing.T) {
	const told = 1.5
	reset := func(c net.Conn) { c.(*net.TCPConn).SetLinger(0); c.Close() }
	isWatch := func(target string) bool { return strings.Contains(target, "hold_ms") }
	var bytes1 = func(s **source) func(int, string, net.Conn) bool {
		return func(_ int, target string, c net.Conn) bool {
			if !isWatch(target) {
				return false
			}
			src := *s
			src.await()
			text := src.text(false)
			for _, b := range fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text) {
				c.Write([]byte{b})
			}
			return true
		}
	}
	for name, make := range map[string]func(s **source) func(int, string, net.Conn) bool{
		"the first watch is silent": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, _ net.Conn) bool { return n == 1 }
		},
		"the first watch and the call after it are silent": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, _ net.Conn) bool { return n == 1 || n == 2 }
		},
		"the watch is reset": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, c net.Conn) bool {
				if n == 1 {
					time.Sleep(100 * time.Millisecond)
					reset(c)
				}
				return n == 1
			}
		},
		"calls are refused twice behind a silent watch": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, c net.Conn) bool {
				if n == 2 || n == 3 {
					reset(c)
				}
				return n >= 1 && n <= 3
			}
		},
		"the answer stops in the middle": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, c net.Conn) bool {
				if n == 1 {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":2,")
				}
				return n == 1
			}
		},
		"errors in place of lists": func(**source) func(int, string, net.Conn) bool {
			return func(n int, _ string, c net.Conn) bool {
				if n == 1 || n == 2 {
					io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
				}
				return n == 1 || n == 2
			}
		},
		"the whole list where changes were due": func(s **source) func(int, string, net.Conn) bool {
			return func(_ int, target string, c net.Conn) bool {
				if isWatch(target) {
					src := *s
					src.await()
					src.write(c, true)
				}
				return isWatch(target)
			}
		},
		"lists in single bytes": bytes1,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var s *source
			s = newSource(t, make(&s))
			h := &heard{}
			d := follow(s.l.Addr().String(), nil, testSettings(t), endpoints.AgentPace(told, rand.Float64), clock.New(), nil, h.take, slog.New(slog.NewTextHandler(io.Discard, nil)))
			defer d.Close()
			within(t, "the list", 2*time.Second, func() bool { return h.up.Load() > 0 })
			within(t, "the watch", 2*time.Second, func() bool { return s.count() >= 2 })
			at := time.Now()
			s.change()
			within(t, "the change", time.Duration(told*1e9), func() bool { return h.drained.Load() > 0 })
			t.Logf("heard after %v, %d calls", time.Since(at), s.count())
		})
	}
}

// While discovery is down the list known before serves; at its return it is asked at once, and not by whole lists without end.
func TestDiscoveryDownAndBack(t *testing.T) {
	const told = 1.5
	s := newSource(t, nil)
	addr := s.l.Addr().String()
	h := &heard{}
	d := follow(addr, nil, testSettings(t), endpoints.AgentPace(told, rand.Float64), clock.New(), nil, h.take, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer d.Close()
	within(t, "the list", 2*time.Second, func() bool { return h.up.Load() > 0 })
	s.l.Close()
	s.mu.Lock()
	s.act = func(_ int, _ string, c net.Conn) bool { c.Close(); return true }
	close(s.news) // the open watch ends
	s.news = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(time.Second)
	s2 := newSource(t, nil)
	s2.l.Close()
	s2.listen(t, addr)
	s2.change()
	within(t, "the change", time.Duration(told*1e9), func() bool { return h.drained.Load() > 0 })
	time.Sleep(200 * time.Millisecond)
	if n := s2.count(); n > 4 {
		t.Errorf("%d calls within 0.2 s of the return", n)
	}
}

// The next call follows the last answer at once, so that the watch goes on, and asks for changes alone.
func TestWatchGoesOn(t *testing.T) {
	s := newSource(t, nil)
	h := &heard{}
	d := follow(s.l.Addr().String(), nil, testSettings(t), endpoints.AgentPace(0.4, rand.Float64), clock.New(), nil, h.take, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer d.Close()
	within(t, "five calls", 3*time.Second, func() bool { return s.count() >= 5 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, target := range s.calls {
		if want := i > 0; strings.Contains(target, "from=1&hold_ms=200") != want {
			t.Errorf("call %d: %s", i, target)
		}
	}
}

// A source that was silent says first, to whoever waits, what it has at its return: a node has a call out at any time, so that
// it hears of a drain at once, however long the outage was.
func TestAReturnIsHeardAtOnce(t *testing.T) {
	back := make(chan struct{})
	var down atomic.Bool
	s := newSource(t, func(_ int, _ string, _ net.Conn) bool {
		if down.Load() {
			<-back
		}
		return false
	})
	h := &heard{}
	d := follow(s.l.Addr().String(), nil, testSettings(t), endpoints.AgentPace(0.6, rand.Float64), clock.New(), nil, h.take, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer d.Close()
	within(t, "the list", 2*time.Second, func() bool { return h.up.Load() > 0 })
	down.Store(true)
	time.Sleep(1500 * time.Millisecond) // several calls have fallen silent
	if n := s.count(); n > 30 {
		t.Errorf("%d calls into an outage", n)
	}
	down.Store(false)
	s.mu.Lock()
	s.drain = true
	s.mu.Unlock()
	close(back)
	within(t, "the drain", 100*time.Millisecond, func() bool { return h.drained.Load() > 0 })
	time.Sleep(time.Second)
	d.watch.mu.Lock()
	defer d.watch.mu.Unlock()
	if n := len(d.watch.conns); n > 2 {
		t.Errorf("%d connections are open after the return", n)
	}
}

// A call that was given up before it had a connection may be answered all the same: what it was told counts, and its connection
// is not left open.
func TestAnAnswerToACallGivenUpCounts(t *testing.T) {
	s := newSource(t, nil)
	h := &heard{}
	d := follow(s.l.Addr().String(), nil, testSettings(t), endpoints.AgentPace(20, rand.Float64), clock.New(), nil, h.take, slog.New(slog.NewTextHandler(io.Discard, nil)))
	defer d.Close()
	within(t, "the list", 2*time.Second, func() bool { return h.up.Load() > 0 })
	on, err := (&http1.Pool{}).Dial(context.Background(), s.l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	c := &call{}
	d.watch.hold(c, on)
	d.watch.replies <- reply{call: c, line: on, a: &answer{Version: 2, Servers: []entry{{ID: "e0", Addr: "127.0.0.1:9", Zone: "z", Kind: "read",
		Cell: 1, State: "draining", Weight: 1}}}}
	within(t, "the drain", time.Second, func() bool { return h.drained.Load() > 0 })
	within(t, "the close", time.Second, func() bool {
		d.watch.mu.Lock()
		defer d.watch.mu.Unlock()
		return !d.watch.conns[on]
	})
}

// A node whose wall clock was an hour ahead when it started takes an engine that it has just been told of for one that has just started,
// whatever its stamp: it cannot have been there an hour ago, for no list named it.
func TestEngineThatHasJustComeIsColdWhateverTheClock(t *testing.T) {
	s := testSettings(t)
	const ahead = 3600.0
	boots := map[string]float64{}
	d := &Discovery{log: slog.New(slog.NewTextHandler(io.Discard, nil)), kinds: indexByName(s.Kinds), zones: indexByName(s.Zones), roles: s.Scheduler.Kinds,
		starts: endpoints.NewStarts(), clock: clock.New(), told: newTold(), take: func(l protocol.EndpointList) {
			for _, e := range l.Engines {
				boots[e.ID] = e.BootTime
			}
		}}
	stamp := func(age float64) float64 { return (d.clock.Now() - ahead - age) * 1000 }
	up := func(id string, started float64) entry {
		return entry{ID: id, Addr: "127.0.0.1:9", Zone: "z", Kind: "read", State: "up", Weight: 1, Started: started}
	}
	d.hear(&answer{Version: 1, Full: true, Servers: []entry{up("e0", 0), up("e1", stamp(500))}}, false)
	d.hear(&answer{Version: 2, Servers: []entry{up("e2", stamp(1))}}, false)
	d.hear(&answer{Version: 3, Servers: []entry{up("e1", stamp(0.5))}}, false)
	for id, most := range map[string]float64{"e1": 1, "e2": 2} {
		if age := d.clock.Now() - boots[id]; age < 0 || age > most {
			t.Errorf("%s has just started, and is taken for one that started %.1f s ago", id, age)
		}
	}
	if boots["e0"] != 0 {
		t.Errorf("e0 started long ago, and is taken for one that started at %g", boots["e0"])
	}
}
