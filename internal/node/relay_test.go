package node_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"

	"go.uber.org/goleak"
)

// stage is a node on the stand-in of the users' platform.
type stage struct {
	t        *testing.T
	log      *record.Log
	p        *platform.Platform
	d        *platform.Discovery
	node     *node.RelayNode
	file     string
	settings string
	ops      int
	stopped  bool
}

// newStage starts engines by id and role ("r0 read") and a node with the limits given.
func newStage(t *testing.T, memoryMB, sockets int, engines ...string) (*stage, map[string]*platform.Engine) {
	t.Helper()
	return newStageWith(t, platform.SettingsJSON, memoryMB, sockets, engines...)
}

// newStageWith is newStage with a settings object of the test's own.
func newStageWith(t *testing.T, settings string, memoryMB, sockets int, engines ...string) (*stage, map[string]*platform.Engine) {
	t.Helper()
	return newStageOn(t, nil, settings, memoryMB, sockets, engines...)
}

// newStageOn is newStageWith on a listener of the test's own; nil = one of the node's.
func newStageOn(t *testing.T, l net.Listener, settings string, memoryMB, sockets int, engines ...string) (*stage, map[string]*platform.Engine) {
	t.Helper()
	s := &stage{t: t, log: &record.Log{}, settings: settings, file: filepath.Join(t.TempDir(), "config.json")}
	s.p = platform.New("n0", s.log)
	byID := map[string]*platform.Engine{}
	var all []*platform.Engine
	for _, e := range engines {
		id, role, _ := strings.Cut(e, " ")
		byID[id] = s.p.StartEngine(id, role)
		all = append(all, byID[id])
	}
	s.d = s.p.StartDiscovery(all...)
	s.write(memoryMB, sockets)
	cfg, err := relay.Load(func(name string) string {
		if name == "RELAY_CONFIG" {
			return s.file
		}
		return ""
	})
	if err != nil {
		t.Fatal(err)
	}
	if s.node, err = node.StartRelay(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))), node.WithListener(l)); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if !s.stopped {
			s.node.Shutdown(0)
		}
		s.d.Close()
		s.p.Stop()
		goleak.VerifyNone(t, goleak.IgnoreCurrent())
	})
	s.eventually("the node is ready", s.node.Ready)
	return s, byID
}

func (s *stage) write(memoryMB, sockets int) {
	s.t.Helper()
	if err := platform.WriteConfig(s.file, platform.ConfigText(s.settings, "127.0.0.1:0", s.d.Address(), s.d.Snapshot(), memoryMB, sockets)); err != nil {
		s.t.Fatal(err)
	}
}

func (s *stage) eventually(what string, f func() bool) {
	s.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("not seen in time: %s", what)
}

func (s *stage) ask(class string) platform.Request {
	s.ops++
	return platform.Request{Operation: fmt.Sprintf("op%d", s.ops), Class: class, Tenant: "branch", Session: "abc", ResponseTokens: 8, Timeout: 4 * time.Second}
}

func (s *stage) do(a platform.Request) platform.Response { return s.p.Send(s.node.Addr().String(), a) }

func (s *stage) count(kind record.Kind, op string) (n int) {
	for _, x := range s.log.All() {
		if x.Kind == kind && x.Op == op {
			n++
		}
	}
	return n
}

// lawful judges the rules from what passed on the sockets.
func (s *stage) lawful() {
	s.t.Helper()
	s.eventually("nothing is held", func() bool { return s.p.CallsWithState() == 0 })
	c := rules.Config{Classes: map[string]rules.Class{"chat": {Effect: "repeatable", Group: "all"}, "commit": {Effect: "once", Group: "all"}},
		AnswerSlack: 0.058, DrainGrace: 0.25, OverloadMultiple: 4, SlowStartWindow: 1.5, StateReleaseLimit: 1.3, Skew: 0.3}
	for _, v := range rules.Check(s.log.All(), c) {
		s.t.Error(v)
	}
	for _, x := range s.log.All() {
		if x.Kind == record.More {
			s.t.Errorf("%s: %s", x.Op, x.Note)
		}
	}
}

func TestRelayServesEveryEventUnchanged(t *testing.T) {
	s, _ := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write", "m0 both")
	var wg sync.WaitGroup
	for i := range 40 {
		a := s.ask([]string{"chat", "commit"}[i%2])
		wg.Add(1)
		go func() {
			defer wg.Done()
			if r := s.do(a); r.Outcome != record.Served || r.Text != platform.ResponseText(a.Operation, a.ResponseTokens) {
				t.Errorf("%+v", r)
			}
		}()
	}
	wg.Wait()
	s.lawful()
}

// Each row of the protocol's outcomes before the first event: what may be tried again is, what may have run is not for a
// class that must not run twice.
func TestRelayOutcomesBeforeTheFirstEvent(t *testing.T) {
	for _, c := range []struct {
		fault platform.Fault
		ran   bool
	}{
		{platform.Rejection, false}, {platform.StateMissing, false}, {platform.InternalError, true}, {platform.Unavailable, true},
		{platform.CloseBeforeResponse, true}, {platform.NoiseForHead, true}, {platform.MalformedHead, true}, {platform.EndlessHead, true},
	} {
		t.Run(string(c.fault), func(t *testing.T) {
			s, e := newStage(t, 64, 256, "r0 read", "w0 write", "w1 write")
			for _, class := range []string{"chat", "commit"} {
				e["w0"].QueueFaults(c.fault)
				e["w1"].QueueFaults(c.fault)
				a := s.ask(class)
				a.Timeout = 3 * time.Second
				r := s.do(a)
				want := record.Served
				if class == "commit" && c.ran {
					want = record.Failed
				}
				if r.Outcome != want && !(class == "chat" && r.Outcome == record.Refused) {
					t.Errorf("%s: %+v", class, r)
				}
				if runs := s.count(record.Run, a.Operation); class == "commit" && runs > 1 {
					t.Errorf("%s ran %d times", a.Operation, runs)
				}
				s.do(s.ask("chat")) // takes what faults are left
				s.do(s.ask("chat"))
			}
			s.lawful()
		})
	}
}

// A stream that is spoilt once its events passed ends the client's connection without the last chunk, soon.
func TestRelayStreamsSpoiltLater(t *testing.T) {
	for _, f := range []platform.Fault{platform.MalformedChunkSize, platform.ChunkSizeMismatch, platform.HugeChunk, platform.CloseMidStream, platform.StallMidStream} {
		t.Run(string(f), func(t *testing.T) {
			s, e := newStage(t, 64, 256, "r0 read", "w0 write")
			e["w0"].QueueFaults(f)
			a := s.ask("chat")
			r := s.do(a)
			if r.Outcome != record.Failed || r.Complete || r.Text == "" || !strings.HasPrefix(platform.ResponseText(a.Operation, a.ResponseTokens), r.Text) {
				t.Errorf("%+v", r)
			}
			if limit := map[bool]time.Duration{true: 5 * time.Second, false: 2 * time.Second}[f == platform.StallMidStream]; r.Duration > limit {
				t.Errorf("the end was passed on after %v", r.Duration)
			}
			if n := s.count(record.Run, a.Operation); n != 1 {
				t.Errorf("ran %d times", n)
			}
			s.lawful()
		})
	}
}

// What an answer brings beside what belongs to it spoils neither it nor the next on that connection.
func TestRelayGoodAnswersWithMoreThanBelongsToThem(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	e["r0"].QueueFaults(platform.MalformedLoadReport)
	e["w0"].QueueFaults(platform.InterimResponses, platform.MalformedLoadReport, platform.SecondResponse, platform.NoFault)
	for range 5 {
		a := s.ask("commit")
		if r := s.do(a); r.Outcome != record.Served || r.Text != platform.ResponseText(a.Operation, a.ResponseTokens) {
			t.Errorf("%+v", r)
		}
	}
	s.lawful()
}

// A read that ended just as its connection broke is held like any other, and is let go of. By any engine: the holder may
// be gone.
func TestRelayReadsThatWereCutAreReleased(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write")
	for range 6 {
		e["r0"].QueueFaults(platform.CloseBeforeResponse)
		e["r1"].QueueFaults(platform.CloseBeforeResponse)
		a := s.ask("chat")
		a.Timeout = 2 * time.Second
		s.do(a)
	}
	s.lawful()
	if n := s.node.Held(); n != 0 {
		s.eventually("the node holds nothing", func() bool { return s.node.Held() == 0 })
	}
}

func TestRelayDrainUnderLoad(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write")
	var wg sync.WaitGroup
	stop := make(chan struct{})
	for i := range 8 {
		asks := make([]platform.Request, 200)
		for k := range asks {
			asks[k] = s.ask([]string{"chat", "commit"}[i%2])
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			for _, a := range asks {
				select {
				case <-stop:
					return
				default:
					s.do(a)
				}
			}
		}()
	}
	time.Sleep(200 * time.Millisecond)
	s.d.SetState("w0", "draining")
	s.d.SetState("r0", "draining")
	time.Sleep(500 * time.Millisecond)
	s.d.SetState("w0", "removed")
	e["w0"].Stop()
	// A new engine under a new id, at a place that may have been another's.
	n := s.p.StartEngine("w2", "write")
	s.d.Update("w2", func(x *platform.Endpoint) {
		*x = platform.Endpoint{ID: "w2", Address: n.Address(), Zone: "z", Kind: "write", State: "up", Weight: 1, Started: time.Now().UnixMilli()}
	})
	time.Sleep(300 * time.Millisecond)
	close(stop)
	wg.Wait()
	s.lawful()
}

// The id of a request that is open is another's error, and leaves the first one as it is.
func TestRelayIDInUse(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	e["r0"].SetStartDelay(300 * time.Millisecond)
	a := s.ask("chat")
	a.ID = "00ff"
	got := make(chan platform.Response, 1)
	go func() { got <- s.do(a) }()
	s.eventually("the first one is out", func() bool { return s.count(record.Arrive, a.Operation) == 1 })
	if status := s.raw(a.Encode()); status != 409 {
		t.Errorf("status %d", status)
	}
	if r := <-got; r.Outcome != record.Served || r.Text != platform.ResponseText(a.Operation, a.ResponseTokens) {
		t.Errorf("%+v", r)
	}
	if status := s.raw(a.Encode()); status != 409 {
		t.Errorf("after the first has ended: status %d", status)
	}
	if n := s.count(record.Arrive, a.Operation); n != 2 {
		t.Errorf("%d attempts arrived", n)
	}
	s.lawful()
}

// raw sends a text and returns the status that answers it; 0 = the connection was closed without one.
func (s *stage) raw(text string) int {
	s.t.Helper()
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(6 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Requests that are not in order get an error and reach no engine.
func TestRelayRequestsThatAreNotInOrder(t *testing.T) {
	s, _ := newStage(t, 64, 256, "r0 read", "w0 write")
	good := func() platform.Request {
		a := s.ask("chat")
		a.ID = fmt.Sprintf("ab%d", s.ops)
		return a
	}
	edit := func(old, new string) string { return strings.Replace(good().Encode(), old, new, 1) }
	for name, text := range map[string]string{
		"no id":               edit("X-Call-Id:", "X-Other:"),
		"two ids":             edit("X-Caller", "X-Call-Id: 77\r\nX-Caller"),
		"id with a slash":     edit("X-Call-Id: ab", "X-Call-Id: ../ab"),
		"unknown class":       edit("X-Call-Class: chat", "X-Call-Class: gossip"),
		"no class":            edit("X-Call-Class:", "X-Other:"),
		"unknown tenant":      edit("X-Caller: branch", "X-Caller: nobody"),
		"no budget":           edit("X-Budget:", "X-Other:"),
		"budget in words":     edit("X-Budget: 4.000", "X-Budget: soon"),
		"budget not a number": edit("X-Budget: 4.000", "X-Budget: NaN"),
		"budget infinite":     edit("X-Budget: 4.000", "X-Budget: Inf"),
		"budget negative":     edit("X-Budget: 4.000", "X-Budget: -1"),
		"budget zero":         edit("X-Budget: 4.000", "X-Budget: 0"),
		"length negative":     edit("prompt_len=20", "prompt_len=-20"),
		"length huge":         edit("prompt_len=20", "prompt_len=1e300"),
		"length in words":     edit("max_out=8", "max_out=many"),
		"prefix beyond":       edit("prefix_len=0", "prefix_len=21"),
		"info malformed":      edit("prompt_len=20", "prompt_len"),
		"unknown retry mark":  edit("X-Budget", "X-Again: perhaps\r\nX-Budget"),
		"no JSON":             edit(`{"model"`, `<"model"`),
		"a list":              "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-Id: l1\r\nX-Call-Class: chat\r\nX-Caller: branch\r\nX-Budget: 1\r\nContent-Length: 2\r\n\r\n[]",
		"two lengths":         edit("Content-Length:", "Content-Length: 1\r\nContent-Length:"),
		"length and chunks":   edit("Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:"),
		"negative length":     edit("Content-Length: ", "Content-Length: -"),
		"huge length":         edit("Content-Length: ", "Content-Length: 99999999999999999999"),
		"60 MB":               "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 62914560\r\n\r\n",
		"bare LF":             strings.ReplaceAll(good().Encode(), "\r\n", "\n"),
		"other path":          "GET /v1/servers HTTP/1.1\r\nHost: h\r\n\r\n",
		"other method":        edit("POST", "PUT"),
		"noise":               "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
	} {
		if status := s.raw(text); status < 400 {
			t.Errorf("%s: status %d", name, status)
		}
	}
	for _, x := range s.log.All() {
		if x.Kind == record.Arrive || x.Kind == record.More {
			t.Errorf("reached an engine: %+v", x)
		}
	}
	if r := s.do(s.ask("chat")); r.Outcome != record.Served {
		t.Errorf("afterwards: %+v", r)
	}
}

// Connections that say nothing, and heads and bodies without end, are closed within 3 s, and keep nobody out meanwhile,
// at the smallest limits.
func TestRelayCrowdOfSilentConnections(t *testing.T) {
	s, _ := newStage(t, 32, 256, "r0 read", "w0 write")
	var conns []net.Conn
	open := func(text string) {
		c, err := net.Dial("tcp", s.node.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		conns = append(conns, c)
	}
	start := time.Now()
	for range 300 {
		open("")
	}
	for range 10 {
		open("POST /v1/chat/completions HTTP/1.1\r\nX-Endless: ")
		open("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	}
	for range 5 {
		if r := s.do(s.ask("chat")); r.Outcome != record.Served || r.Duration > time.Second {
			t.Errorf("%+v", r)
		}
	}
	for _, c := range conns {
		c.SetReadDeadline(start.Add(3500 * time.Millisecond))
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Error("still open after 3.5 s")
		}
		c.Close()
	}
	s.lawful()
}

// Whatever discovery says or does not say, the node serves by what it was told; what takes away counts at once.
func TestRelaySickDiscovery(t *testing.T) {
	s, _ := newStage(t, 64, 256, "r0 read", "w0 write", "w1 write")
	served := func(what string) {
		t.Helper()
		for range 3 {
			if r := s.do(s.ask("chat")); r.Outcome != record.Served {
				t.Errorf("%s: %+v", what, r)
			}
		}
	}
	served("at first")
	for _, bad := range []string{"{", `{"version":"x"}`, `{"version":-1,"full":true,"servers":[]}`,
		`{"version":9,"full":true,"servers":[{"id":"","state":"up"}]}`, `{"version":9,"full":true,"servers":[{"id":"w0","state":"sideways"}]}`} {
		s.d.SetFault(bad, false)
		time.Sleep(20 * time.Millisecond)
		served(bad)
	}
	s.d.SetFault("", true)
	served("silent")
	s.d.Close()
	served("gone")
	s.d.SetFault("", false)
	s.d.Listen()
	s.write(64, 256)
	cfg, err := relay.Load(func(name string) string { return map[string]string{"RELAY_CONFIG": s.file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	s.node.Reload(cfg)
	s.d.SetState("w0", "draining")
	at := time.Now()
	s.eventually("w0 is drained", func() bool {
		s.do(s.ask("chat"))
		last := 0.0
		for _, x := range s.log.All() {
			if x.Kind == record.Arrive && x.Engine == "w0" {
				last = max(last, x.T)
			}
		}
		return time.Since(at) > time.Second && float64(at.UnixNano())/1e9+0.6 > last
	})
	s.lawful()
}

// A node that is told to stop answers all that it has taken, in time, and ends its streams for their clients to ask
// another node for the rest.
func TestRelayStop(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	e["w0"].TokenInterval = 200 * time.Millisecond
	var wg sync.WaitGroup
	results := make(chan platform.Response, 20)
	for range 10 {
		a := s.ask("chat")
		a.ResponseTokens = 100 // 20 s
		wg.Add(1)
		go func() { defer wg.Done(); results <- s.do(a) }()
	}
	s.eventually("the streams run", func() bool {
		n := 0
		for _, x := range s.log.All() {
			if x.Kind == record.First {
				n++
			}
		}
		return n == 10
	})
	start := time.Now()
	s.stopped = true
	s.node.ShutdownBy(relay.StopBy(4), time.Second)
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("stopped after %v", took)
	}
	wg.Wait()
	close(results)
	spread := map[int64]bool{}
	for r := range results {
		if r.Outcome != record.Failed || r.Complete {
			t.Errorf("%+v", r)
		}
		spread[r.Duration.Milliseconds()/100] = true
	}
	if len(spread) < 5 {
		t.Errorf("the ends are not spread: %v", spread)
	}
	s.lawful()
}

// A node that is told to stop still serves on the connections that clients have, while its new ones end, and all that it
// takes then has ended before it could be killed.
func TestRelayStopServesKeptConnections(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	e["w0"].TokenInterval = 30 * time.Millisecond
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	ask := func(id string, tokens int) (status int, whole bool) {
		a := s.ask("chat")
		a.ID, a.ResponseTokens = id, tokens
		s.p.RegisterCall(id, platform.Operation{Name: a.Operation, Class: "chat", ResponseTokens: tokens})
		io.WriteString(c, a.Encode())
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0, false
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 {
			t.Logf("%s: %s", id, body)
		}
		return resp.StatusCode, err == nil
	}
	if status, whole := ask("c1", 2); status != 200 || !whole {
		t.Fatalf("before: %d %v", status, whole)
	}
	start := time.Now()
	s.stopped = true
	done := make(chan struct{})
	go func() { defer close(done); s.node.ShutdownBy(relay.StopBy(4), time.Second) }()
	time.Sleep(time.Second)
	if status, whole := ask("c2", 2); status != 200 || !whole {
		t.Errorf("on a kept connection, 1 s after: %d %v", status, whole)
	}
	if status, whole := ask("c3", 300); status != 200 || whole { // 9 s: its client gets the rest elsewhere
		t.Errorf("a long stream: %d %v", status, whole)
	}
	if took := time.Since(start); took > 3500*time.Millisecond {
		t.Errorf("the long stream ended %v after the stop", took)
	}
	<-done
	s.lawful()
}
