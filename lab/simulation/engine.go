package simulation

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"dillroute/lab/memnet"
	"dillroute/lab/record"
)

// Trouble is what is wrong with an engine for a while.
type Trouble string

// Troubles of an engine.
const (
	Healthy Trouble = ""
	Hangs   Trouble = "hangs"   // takes connections and requests, and does nothing with them
	Silent  Trouble = "silent"  // connections never come up, and what is open says nothing
	Refuses Trouble = "refuses" // turns all requests away
	Errors  Trouble = "errors"  // answers 500 at once
	Crawls  Trouble = "crawls"  // works at a tenth of its speed
	Loses   Trouble = "loses"   // has lost the read states that are fetched
	Forgets Trouble = "forgets" // keeps no prefixes
)

// crawl is the part of its speed at which an engine works that crawls.
const crawl = 0.1

// movePerS is how many tokens of a read state are moved in a second within a cell; between cells it takes farTimes as long.
const (
	movePerS = 200e3
	farTimes = 3
)

// engine is a stand-in engine: a model of slots and a queue, which the socket side (serve) and the plain policy share.
type engine struct {
	EngineSpec
	kind  Kind
	fleet *fleet

	mu       sync.Mutex
	running  int
	waiting  []chan struct{}
	trouble  Trouble
	up       bool
	dead     chan struct{} // closed when the process ends
	booted   time.Time     // its last start; zero = long ago
	arrivals []arrival     // of requests, while it is cold
	fallen   bool          // it was sent more than it bears while cold
	kept     map[string]bool
	listener *memnet.Listener
}

func (e *engine) address() string { return e.ID + ":5000" }

// start starts the process; cold = with nothing kept, and slow at first.
func (e *engine) start(cold bool) {
	e.mu.Lock()
	if e.up {
		e.mu.Unlock()
		return
	}
	e.up, e.dead, e.kept, e.running, e.waiting = true, make(chan struct{}), map[string]bool{}, 0, nil
	e.arrivals, e.fallen = nil, false
	if cold {
		e.booted = time.Now()
	}
	e.mu.Unlock()
	if cold {
		e.fleet.log.Add(record.Record{Kind: record.EngineStarted, Engine: e.ID, Tokens: 1})
	}
	if e.fleet.network != nil {
		l := e.fleet.network.Listen(e.address())
		e.mu.Lock()
		e.listener = l
		e.mu.Unlock()
		e.fleet.run(func() { e.accept(l) })
	}
}

// kill ends the process: connections are reset and new ones refused.
func (e *engine) kill() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.dead)
	l := e.listener
	e.mu.Unlock()
	if l != nil {
		l.Close()
		l.ResetAll()
	}
	e.fleet.dropStates(e.ID)
}

// set sets the trouble.
func (e *engine) set(t Trouble) {
	e.mu.Lock()
	e.trouble = t
	if t == Forgets {
		e.kept = map[string]bool{}
	}
	e.mu.Unlock()
	if e.fleet.network != nil {
		e.fleet.network.Silence(e.address(), t == Silent)
	}
}

func (e *engine) state() (t Trouble, up, fallen bool, dead chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.trouble, e.up, e.fallen, e.dead
}

// speed is the part of its full speed at which the engine works.
func (e *engine) speed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := 1.0
	if age := time.Since(e.booted).Seconds(); !e.booted.IsZero() && age < e.fleet.site.ColdFor {
		s = e.fleet.site.ColdShare + (1-e.fleet.site.ColdShare)*age/e.fleet.site.ColdFor
	}
	if e.trouble == Crawls {
		s *= crawl
	}
	return s
}

// cold tells whether the engine is still warming up.
func (e *engine) cold() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.booted.IsZero() && time.Since(e.booted).Seconds() < e.fleet.site.ColdFor
}

// arrival is a request that reached a cold engine; weight is its class's work against the mean.
type arrival struct {
	at     time.Time
	weight float64
}

// coldWindow is what a cold engine has got in the window that ends now, in requests of mean work, and N, what it bears; ok =
// the engine is cold. The lock is held.
func (e *engine) coldWindow(now time.Time) (sum, n float64, ok bool) {
	s := &e.fleet.site
	age := now.Sub(e.booted).Seconds()
	if e.booted.IsZero() || age > s.ColdFor {
		return 0, 0, false
	}
	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0].at).Seconds() >= s.TipAfter {
		e.arrivals = e.arrivals[1:]
	}
	for _, a := range e.arrivals {
		sum += a.weight
	}
	can := s.ColdShare + (1-s.ColdShare)*age/s.ColdFor
	read, write := s.work(e.kind)
	return sum, s.FallMultiple * can * s.TipAfter / load(e.kind, read, write), true
}

// arrived counts a request against what a cold engine bears: N and what is put down to chance. Beyond that it falls.
func (e *engine) arrived(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, now := &e.fleet.site, time.Now()
	if _, _, cold := e.coldWindow(now); !cold {
		return
	}
	read, write := s.work(e.kind)
	mine, ours := s.Classes[q.class].work(e.kind)
	e.arrivals = append(e.arrivals, arrival{now, load(e.kind, mine, ours) / load(e.kind, read, write)})
	sum, n, _ := e.coldWindow(now)
	e.fleet.coldUse(sum / coldLimit(n))
	if sum > coldLimit(n) && !e.fallen {
		e.fallen = true
		e.fleet.breach("rule 4: %s, %.1f s after its start, got %.1f requests of mean work (%d) in %.1f s; N is %.1f", e.ID,
			now.Sub(e.booted).Seconds(), sum, len(e.arrivals), s.TipAfter, n)
	}
}

// bears tells whether a cold engine may be sent one more request with no chance taken.
func (e *engine) bears() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum, n, cold := e.coldWindow(time.Now())
	return !cold || sum+1 <= n
}

// enter waits for a slot; ok = it has one, else it was turned away or gone ended the wait.
func (e *engine) enter(gone <-chan struct{}) (ok, full bool) {
	e.mu.Lock()
	if e.running < e.kind.Slots {
		e.running++
		e.mu.Unlock()
		return true, false
	}
	if len(e.waiting) >= e.kind.Queue {
		e.mu.Unlock()
		return false, true
	}
	turn := make(chan struct{})
	e.waiting = append(e.waiting, turn)
	dead := e.dead
	e.mu.Unlock()
	select {
	case <-turn:
		return true, false
	case <-dead:
		return false, false
	case <-gone:
	}
	e.mu.Lock()
	for i, w := range e.waiting {
		if w == turn {
			e.waiting = append(e.waiting[:i:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return false, false
		}
	}
	e.mu.Unlock()
	e.leave(dead)
	return false, false
}

// leave frees a slot for the next that waits, unless the process that gave it has ended.
func (e *engine) leave(dead chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead != dead {
		return
	}
	if len(e.waiting) > 0 {
		close(e.waiting[0])
		e.waiting = e.waiting[1:]
		return
	}
	e.running--
}

// busy is how many are served, and how many wait.
func (e *engine) busy() (running, waiting int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running, len(e.waiting)
}

// nap waits; false = the process or the request ended before. Where work cannot be cancelled it goes on with nobody waiting.
func (e *engine) nap(seconds float64, dead, gone <-chan struct{}) bool {
	if !e.fleet.site.Cancel {
		gone = nil
	}
	t := time.NewTimer(duration(seconds))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-dead:
	case <-gone:
	}
	return false
}

// readTokens takes a prompt in: what is kept of its beginning is not read again.
func (e *engine) readTokens(q *request) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := q.prompt
	if q.prefix != "" {
		if e.kept[q.prefix] {
			tokens -= q.prefixLen
		}
		if e.trouble != Forgets {
			e.kept[q.prefix] = true
		}
	}
	return max(16, tokens)
}

// outcome is what became of an attempt at an engine.
type outcome int

const (
	done    outcome = iota // read, or streamed to its end
	turned                 // turned away: it never ran
	noState                // the state to be fetched is gone: it never ran
	failed                 // an error: it may have run
	broken                 // ended without an answer: it may have run
)

// read reads a prompt; the state is held once it has been.
func (e *engine) read(q *request, gone <-chan struct{}) outcome {
	trouble, up, fallen, dead := e.state()
	switch {
	case !up:
		return broken
	case trouble == Hangs || trouble == Silent || fallen:
		return wait(dead, gone)
	case trouble == Refuses:
		return turned
	case trouble == Errors:
		return failed
	}
	ok, full := e.enter(gone)
	if full {
		return turned
	} else if !ok {
		return broken
	}
	defer e.leave(dead)
	if !e.nap(readOverhead+e.readTokens(q)/(e.kind.ReadPerS*e.speed()), dead, gone) {
		return broken
	}
	return done
}

func wait(dead, gone <-chan struct{}) outcome {
	select {
	case <-dead:
	case <-gone:
	}
	return broken
}

// write makes an answer. started is told when its first token has come, and returns false where nobody takes it; event, after
// each of its pieces. holder is the engine at which its state waits, nil where it has to read the prompt itself.
func (e *engine) write(q *request, holder *engine, gone <-chan struct{}, started func() bool, event func(tokens int) bool) outcome {
	trouble, up, fallen, dead := e.state()
	switch {
	case !up:
		return broken
	case trouble == Hangs || trouble == Silent || fallen:
		return wait(dead, gone)
	case trouble == Refuses:
		return turned
	case trouble == Errors:
		return failed
	case holder == nil && e.kind.Role == RoleWrite && !e.fleet.site.LocalRead, trouble == Loses && holder != nil:
		return noState
	}
	ok, full := e.enter(gone)
	if full {
		return turned
	} else if !ok {
		return broken
	}
	defer e.leave(dead)
	first := readOverhead
	if holder == nil {
		first += e.readTokens(q) / (e.kind.ReadPerS * e.speed())
	} else if first += q.prompt / movePerS; holder.Cell != e.Cell {
		first += q.prompt / movePerS * (farTimes - 1)
	}
	if !e.nap(first, dead, gone) {
		return broken
	}
	if !started() {
		return broken
	}
	for left := q.out; left > 0; {
		running, _ := e.busy()
		pace := e.kind.pace(running) / e.speed()
		n := min(left, max(eventTokens, q.out/eventsMost), max(1, int(eventEvery/pace)))
		if !e.nap(float64(n)*pace, dead, gone) {
			return broken
		}
		if t, _, _, _ := e.state(); t == Hangs || t == Silent {
			return wait(dead, gone)
		}
		left -= n
		if !event(n) {
			return broken
		}
	}
	return done
}

// Tokens of one event at least, events of a stream at most if that is no longer between two than eventEvery (s).
const (
	eventTokens = 6
	eventsMost  = 8
	eventEvery  = 1.0
)

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// accept serves connections until the listener closes.
func (e *engine) accept(l *memnet.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.fleet.run(func() { e.serve(c) })
	}
}

// serve answers one connection's requests in turn.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		gone, next := watch(e.fleet, br)
		if !e.answer(c, r, gone) {
			return
		}
		select {
		case <-gone:
			return
		case <-next:
		}
	}
}

// watch tells when the peer has closed or ended its side, or its next request begins.
func watch(f *fleet, br *bufio.Reader) (gone, next chan struct{}) {
	gone, next = make(chan struct{}), make(chan struct{})
	f.run(func() {
		if _, err := br.Peek(1); err != nil {
			close(gone)
		} else {
			close(next)
		}
	})
	return gone, next
}

func reply(c net.Conn, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

// load is the engine's report of its load.
func (e *engine) load() string {
	running, waiting := e.busy()
	util := float64(running) / float64(e.kind.Slots)
	return fmt.Sprintf("util=%.3f,queue=%d,x0=%.3f", util, waiting, 0.8*util)
}

// answer deals with one request; false = the connection ends.
func (e *engine) answer(c net.Conn, r *http.Request, gone <-chan struct{}) bool {
	trouble, _, _, dead := e.state()
	if call, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == "DELETE" {
		if trouble == Hangs || trouble == Silent {
			wait(dead, gone)
			return false
		}
		e.fleet.release(call)
		_, err := io.WriteString(c, "HTTP/1.1 204 x\r\n\r\n")
		return err == nil
	}
	t := e.fleet.try(r.Header.Get("X-Call-Id"))
	if t == nil {
		e.fleet.breach("void: %s was sent a request that no client sent", e.ID)
		return reply(c, 400, "", "no client sent this id")
	}
	node := c.RemoteAddr().String()
	e.fleet.begun(t, e, node, r.Header.Get("X-Budget"))
	e.arrived(t.request)
	stage := "decode"
	if e.kind.Role == RoleRead {
		stage = "prefill"
	}
	holder := e.fleet.holder(t.id)
	rec := record.Record{Kind: record.Arrive, Op: t.name(), Try: t.n, Class: className(t.class), Node: node, Engine: e.ID, Note: stage}
	if stage == "decode" && holder != nil {
		rec.State = t.id + "@" + holder.ID
	}
	e.fleet.log.Add(rec)
	defer func() {
		rec.Kind = record.AttemptEnded
		e.fleet.log.Add(rec)
	}()
	if stage == "prefill" {
		return e.answerRead(c, t, node, gone)
	}
	return e.answerWrite(c, t, rec, holder, gone)
}

const rejected = "X-Rejected: 1\r\n"

func (e *engine) answerRead(c net.Conn, t *try, node string, gone <-chan struct{}) bool {
	report := "X-Load-Report: "
	switch e.read(t.request, gone) {
	case done:
		select {
		case <-gone: // read on with nobody waiting: nothing is kept
			return false
		default:
		}
		e.fleet.hold(t, e, node)
		return reply(c, 202, report+e.load()+"\r\n", `{"cached_tokens":0}`)
	case turned:
		return reply(c, 503, rejected+report+e.load()+"\r\n", "")
	case failed:
		return reply(c, 500, "", "no")
	}
	return false
}

func (e *engine) answerWrite(c net.Conn, t *try, rec record.Record, holder *engine, gone <-chan struct{}) bool {
	started := func() bool {
		run := rec
		run.Kind = record.Run
		e.fleet.log.Add(run)
		e.fleet.release(t.id)
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
			chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"0\"}}]}\n\n"))
		return err == nil
	}
	event := func(tokens int) bool {
		_, err := io.WriteString(c, chunk("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\""+strconv.Itoa(tokens)+"\"}}]}\n\n"))
		return err == nil
	}
	switch e.write(t.request, holder, gone, started, event) {
	case done:
		_, err := io.WriteString(c, chunk("data: [DONE]\n\n: X-Load-Report: "+e.load()+"\n\n")+"0\r\n\r\n")
		return err == nil
	case turned:
		return reply(c, 503, rejected+"X-Load-Report: "+e.load()+"\r\n", "")
	case noState:
		e.fleet.release(t.id)
		return reply(c, 410, rejected, "")
	case failed:
		return reply(c, 500, "", "no")
	}
	return false
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
