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

// responder handles call number n. If it returns false, the fake responds as discovery does.
type responder func(s *fakeDiscovery, n int, target string, c net.Conn) bool

// fakeDiscovery is a discovery service whose responses a test can replace. Its list has one engine, e0, which is up until startDrain.
type fakeDiscovery struct {
	listener net.Listener
	mu       sync.Mutex
	drain    bool
	changed  chan struct{}
	calls    []string // targets of the calls
	respond  responder
}

func newFakeDiscovery(t *testing.T, respond responder) *fakeDiscovery {
	t.Helper()
	s := &fakeDiscovery{changed: make(chan struct{}), respond: respond}
	s.listen(t, "127.0.0.1:0")
	return s
}

func (s *fakeDiscovery) listen(t *testing.T, addr string) {
	t.Helper()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	s.listener = l
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

func (s *fakeDiscovery) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		n := len(s.calls)
		s.calls = append(s.calls, r.URL.RequestURI())
		changed, drained, respond := s.changed, s.drain, s.respond
		s.mu.Unlock()
		if respond != nil && respond(s, n, r.URL.RequestURI(), c) {
			continue
		}
		if ms := r.URL.Query().Get("hold_ms"); ms != "" && !(drained && r.URL.Query().Get("from") == "1") {
			var hold int
			fmt.Sscan(ms, &hold)
			select {
			case <-changed:
			case <-time.After(time.Duration(hold) * time.Millisecond):
			}
		}
		s.write(c, r.URL.Query().Get("from") == "")
	}
}

// listJSON returns the list of a response.
func (s *fakeDiscovery) listJSON(full bool) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	version, state := 1, "up"
	if s.drain {
		version, state = 2, "draining"
	}
	engine := map[string]any{"id": "e0", "addr": "127.0.0.1:9", "zone": "z", "kind": "read", "cell": 1, "state": state, "weight": 1.0,
		"started_ms": 0}
	b, _ := json.MarshalIndent(map[string]any{"version": version, "full": full, "servers": []any{engine}}, "", "  ")
	return string(b)
}

func (s *fakeDiscovery) write(c net.Conn, full bool) {
	text := s.listJSON(full)
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// awaitDrain waits until e0 drains.
func (s *fakeDiscovery) awaitDrain() {
	s.mu.Lock()
	changed, drained := s.changed, s.drain
	s.mu.Unlock()
	if !drained {
		<-changed
	}
}

// startDrain makes e0 drain.
func (s *fakeDiscovery) startDrain() {
	s.mu.Lock()
	s.drain = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
}

func (s *fakeDiscovery) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// updateTimes records when updates of e0 arrived.
type updateTimes struct {
	up, drained atomic.Int64 // Unix nanoseconds; 0 = not yet
}

func (times *updateTimes) onUpdate(l protocol.EndpointList) {
	for _, e := range l.Engines {
		switch now := time.Now().UnixNano(); e.State {
		case scheduler.EngineDraining:
			times.drained.CompareAndSwap(0, now)
		case scheduler.EngineReady:
			times.up.CompareAndSwap(0, now)
		}
	}
}

func waitUntil(t *testing.T, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// testOptions returns the options of a Discovery that polls the node's own agent and whose changes count as notified after notifiedAfter
// seconds.
func testOptions(t testing.TB, notifiedAfter float64, onUpdate func(protocol.EndpointList)) discoveryOptions {
	t.Helper()
	return discoveryOptions{
		settings: testSettings(t),
		policy:   endpoints.AgentPollPolicy(notifiedAfter, rand.Float64),
		clock:    clock.New(),
		onUpdate: onUpdate,
		log:      slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
}

func startTestDiscovery(t *testing.T, addr string, notifiedAfter float64, times *updateTimes) *Discovery {
	t.Helper()
	return startDiscovery(addr, nil, testOptions(t, notifiedAfter, times.onUpdate))
}

// resetConn closes a connection so that the peer sees a reset.
func resetConn(c net.Conn) {
	c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func isWatch(target string) bool { return strings.Contains(target, "hold_ms") }

// callFaults are the ways in which calls fail in TestChangesArriveInTimeDespiteFailedCalls. Call 0 requests the complete list,
// call 1 is the first that waits for changes.
var callFaults = []struct {
	name    string
	respond responder
}{
	{"the first watch is silent", func(_ *fakeDiscovery, n int, _ string, _ net.Conn) bool { return n == 1 }},
	{"the first watch and the call after it are silent", func(_ *fakeDiscovery, n int, _ string, _ net.Conn) bool {
		return n == 1 || n == 2
	}},
	{"the watch is reset", func(_ *fakeDiscovery, n int, _ string, c net.Conn) bool {
		if n == 1 {
			time.Sleep(100 * time.Millisecond)
			resetConn(c)
		}
		return n == 1
	}},
	{"calls are refused twice after a silent watch", func(_ *fakeDiscovery, n int, _ string, c net.Conn) bool {
		if n == 2 || n == 3 {
			resetConn(c)
		}
		return n >= 1 && n <= 3
	}},
	{"the response stops in the middle", func(_ *fakeDiscovery, n int, _ string, c net.Conn) bool {
		if n == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"version\":2,")
		}
		return n == 1
	}},
	{"errors in place of lists", func(_ *fakeDiscovery, n int, _ string, c net.Conn) bool {
		if n == 1 || n == 2 {
			io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		}
		return n == 1 || n == 2
	}},
	{"the complete list in place of changes", func(s *fakeDiscovery, _ int, target string, c net.Conn) bool {
		if isWatch(target) {
			s.awaitDrain()
			s.write(c, true)
		}
		return isWatch(target)
	}},
	{"lists in single bytes", func(s *fakeDiscovery, _ int, target string, c net.Conn) bool {
		if !isWatch(target) {
			return false
		}
		s.awaitDrain()
		text := s.listJSON(false)
		for _, b := range fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text) {
			c.Write([]byte{b})
		}
		return true
	}},
}

// A change must arrive before it counts as notified, even if calls to discovery fail. All times are a quarter of the real ones,
// in the same proportions, so that the test is short.
func TestChangesArriveInTimeDespiteFailedCalls(t *testing.T) {
	const notified = 1.5 // s
	for _, fault := range callFaults {
		t.Run(fault.name, func(t *testing.T) {
			t.Parallel()
			s := newFakeDiscovery(t, fault.respond)
			times := &updateTimes{}
			d := startTestDiscovery(t, s.listener.Addr().String(), notified, times)
			defer d.Close()
			waitUntil(t, "the list", 2*time.Second, func() bool { return times.up.Load() > 0 })
			waitUntil(t, "the watch", 2*time.Second, func() bool { return s.count() >= 2 })
			at := time.Now()
			s.startDrain()
			waitUntil(t, "the change", seconds(notified), func() bool { return times.drained.Load() > 0 })
			t.Logf("the change arrived after %v, %d calls", time.Since(at), s.count())
		})
	}
}

// While discovery is down, the last list stays in use. When discovery recovers, it is polled immediately, and a new connection must not
// lead to repeated requests for complete lists.
func TestDiscoveryOutageAndRecovery(t *testing.T) {
	const notified = 1.5 // s
	s := newFakeDiscovery(t, nil)
	addr := s.listener.Addr().String()
	times := &updateTimes{}
	d := startTestDiscovery(t, addr, notified, times)
	defer d.Close()
	waitUntil(t, "the list", 2*time.Second, func() bool { return times.up.Load() > 0 })
	s.listener.Close()
	s.mu.Lock()
	s.respond = func(_ *fakeDiscovery, _ int, _ string, c net.Conn) bool { c.Close(); return true }
	close(s.changed) // ends the open watch
	s.changed = make(chan struct{})
	s.mu.Unlock()
	time.Sleep(time.Second)
	s2 := newFakeDiscovery(t, nil)
	s2.listener.Close()
	s2.listen(t, addr)
	s2.startDrain()
	waitUntil(t, "the change", seconds(notified), func() bool { return times.drained.Load() > 0 })
	time.Sleep(200 * time.Millisecond)
	if n := s2.count(); n > 4 {
		t.Errorf("%d calls within 0.2 s of the recovery, want at most 4", n)
	}
}

// The next call must follow each response immediately, so that the watch continues, and must request only changes.
func TestWatchContinuesAfterResponse(t *testing.T) {
	s := newFakeDiscovery(t, nil)
	times := &updateTimes{}
	const notifiedAfter = 2.0 // s; a busy machine must not take longer for a response than a part of it
	hold := fmt.Sprintf("from=1&hold_ms=%d", int(1000*endpoints.NewWatchTimeouts(notifiedAfter).Hold))
	d := startTestDiscovery(t, s.listener.Addr().String(), notifiedAfter, times)
	defer d.Close()
	waitUntil(t, "five calls", 15*time.Second, func() bool { return s.count() >= 5 })
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, target := range s.calls {
		if want := i > 0; strings.HasSuffix(target, hold) != want {
			t.Errorf("call %d: %s", i, target)
		}
	}
}

// When a silent discovery recovers, it responds first to the calls that are waiting. The node must always have a call in flight,
// so that a drain arrives immediately after an outage of any length.
func TestChangeArrivesAtOnceWhenDiscoveryRecovers(t *testing.T) {
	recovered := make(chan struct{})
	var down atomic.Bool
	s := newFakeDiscovery(t, func(_ *fakeDiscovery, _ int, _ string, _ net.Conn) bool {
		if down.Load() {
			<-recovered
		}
		return false
	})
	times := &updateTimes{}
	d := startTestDiscovery(t, s.listener.Addr().String(), 0.6, times)
	defer d.Close()
	waitUntil(t, "the list", 2*time.Second, func() bool { return times.up.Load() > 0 })
	down.Store(true)
	time.Sleep(1500 * time.Millisecond) // several calls have become silent
	if n := s.count(); n > 30 {
		t.Errorf("%d calls during the outage, want at most 30", n)
	}
	down.Store(false)
	s.mu.Lock()
	s.drain = true
	s.mu.Unlock()
	close(recovered)
	waitUntil(t, "the drain", 100*time.Millisecond, func() bool { return times.drained.Load() > 0 })
	time.Sleep(time.Second)
	d.watch.mu.Lock()
	defer d.watch.mu.Unlock()
	if n := len(d.watch.conns); n > 2 {
		t.Errorf("%d connections are open after the recovery, want at most 2", n)
	}
}

// A call that was abandoned before it had a connection may still get a response. The response must be applied, and the connection
// closed.
func TestResponseToAbandonedCallApplies(t *testing.T) {
	s := newFakeDiscovery(t, nil)
	times := &updateTimes{}
	d := startTestDiscovery(t, s.listener.Addr().String(), 20, times)
	defer d.Close()
	waitUntil(t, "the list", 2*time.Second, func() bool { return times.up.Load() > 0 })
	conn, err := (&http1.Pool{}).Dial(context.Background(), s.listener.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	c := &call{}
	d.watch.addConn(c, conn)
	drained := listedServer{ID: "e0", Addr: "127.0.0.1:9", Zone: "z", Kind: "read", Cell: 1, State: "draining", Weight: 1}
	d.watch.results <- callResult{call: c, conn: conn, response: &listResponse{Version: 2, Servers: []listedServer{drained}}}
	waitUntil(t, "the drain", time.Second, func() bool { return times.drained.Load() > 0 })
	waitUntil(t, "the close", time.Second, func() bool {
		d.watch.mu.Lock()
		defer d.watch.mu.Unlock()
		return !d.watch.conns[conn]
	})
}

// If the node's wall clock was an hour ahead at its start, the time stamps of lists make new engines look old, and they would not get a
// slow start. An engine that a list has just added must count as just started: it was in no earlier list.
func TestNewEngineStartsSlowlyDespiteWallClockError(t *testing.T) {
	const ahead = 3600.0 // s
	bootTimes := map[string]float64{}
	d := newDiscovery(testOptions(t, 6, func(l protocol.EndpointList) {
		for _, e := range l.Engines {
			bootTimes[e.ID] = e.BootTime
		}
	}))
	stamp := func(age float64) float64 { return (d.clock.Now() - ahead - age) * 1000 }
	up := func(id string, started float64) listedServer {
		return listedServer{ID: id, Addr: "127.0.0.1:9", Zone: "z", Kind: "read", State: "up", Weight: 1, Started: started}
	}
	d.apply(&listResponse{Version: 1, Full: true, Servers: []listedServer{up("e0", 0), up("e1", stamp(500))}}, false)
	d.apply(&listResponse{Version: 2, Servers: []listedServer{up("e2", stamp(1))}}, false)
	d.apply(&listResponse{Version: 3, Servers: []listedServer{up("e1", stamp(0.5))}}, false)
	for id, maxAge := range map[string]float64{"e1": 1, "e2": 2} {
		if age := d.clock.Now() - bootTimes[id]; age < 0 || age > maxAge {
			t.Errorf("%s has just started, but its start is recorded as %.1f s ago", id, age)
		}
	}
	if bootTimes["e0"] != 0 {
		t.Errorf("e0 started long ago, but its start is recorded at %g, want 0", bootTimes["e0"])
	}
}
