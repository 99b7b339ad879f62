package platform

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

	"dillroute/lab/record"
)

// Fault is what an engine does with the answer of a write.
type Fault string

// Faults.
const (
	None         Fault = ""
	Noise        Fault = "noise"         // noise in place of the opening; the connection stays open
	BadHead      Fault = "bad head"      // a head that cannot be read
	EndlessHead  Fault = "endless head"  // a head that does not end
	BadChunk     Fault = "bad chunk"     // later: a chunk whose size cannot be read
	MisfitChunk  Fault = "misfit chunk"  // later: one that does not fit
	HugeChunk    Fault = "huge chunk"    // later: one of 3 GB that keeps coming
	CutStream    Fault = "cut"           // the connection breaks in mid-stream
	Silent       Fault = "silent"        // nothing more comes in mid-stream
	CutBefore    Fault = "cut before"    // the connection breaks before the answer
	Interim      Fault = "interim"       // good: 1xx answers in front
	BadReport    Fault = "bad report"    // good: a load report that cannot be read
	SecondAnswer Fault = "second answer" // good: another answer right behind
	LateAnswer   Fault = "late answer"   // good: another answer some milliseconds behind
	NoFinal      Fault = "no final"      // the stream ends in good order without its final event
	CutLast      Fault = "cut last"      // the connection breaks within the last chunk
	Comments     Fault = "comments"      // in mid-stream, comments without end in place of events
	HalfReject   Fault = "half reject"   // a rejection whose body does not end
	HalfRead     Fault = "half read"     // a read whose answer's body does not end
	Error500     Fault = "500"
	Rejects      Fault = "rejects" // 503 with the word that it never ran
	Plain503     Fault = "503"     // without it
	NoState      Fault = "no state"
)

// Engine is one engine.
type Engine struct {
	ID, Role      string
	Step, ReadFor time.Duration
	p             *Platform

	mu      sync.Mutex
	addr    string
	l       net.Listener
	conns   map[net.Conn]bool
	faults  []Fault // of the next answers of its role
	stopped bool
	slow    time.Duration // before a read or an answer begins
	hung    chan struct{} // closed when the engine no longer hangs; nil = it does not
	begun   int           // streams that were begun
	whole   int           // streams that were written to their last chunk
}

func (e *Engine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.l, e.addr, e.stopped = l, l.Addr().String(), false
	e.mu.Unlock()
	e.p.wg.Add(1)
	go e.accept(l)
	return nil
}

// Addr is where the engine listens.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Next sets what happens to the next answers, one each.
func (e *Engine) Next(faults ...Fault) {
	e.mu.Lock()
	e.faults = append(e.faults, faults...)
	e.mu.Unlock()
}

// Planned returns how many of the faults that were set have not been met by a request yet.
func (e *Engine) Planned() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.faults)
}

// Recover drops the faults that have not been met.
func (e *Engine) Recover() {
	e.mu.Lock()
	e.faults = nil
	e.mu.Unlock()
}

// Writing returns how many streams were begun.
func (e *Engine) Writing() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// Whole returns how many streams were written to their last chunk.
func (e *Engine) Whole() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.whole
}

// Hang has the engine take connections and requests, and do nothing with them, until it is called with false.
func (e *Engine) Hang(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case on && e.hung == nil:
		e.hung = make(chan struct{})
	case !on && e.hung != nil:
		close(e.hung)
		e.hung = nil
	}
}

// Slow sets how long the engine waits before it begins.
func (e *Engine) Slow(d time.Duration) {
	e.mu.Lock()
	e.slow = d
	e.mu.Unlock()
}

func (e *Engine) fault() (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return None, e.slow
	}
	f := e.faults[0]
	e.faults = e.faults[1:]
	return f, e.slow
}

// Stop ends the engine's process: connections are reset and new ones refused.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	e.l.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (e *Engine) accept(l net.Listener) {
	defer e.p.wg.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.stopped {
			c.Close()
		} else {
			e.conns[c] = true
			e.p.wg.Add(1)
			go e.serve(c)
		}
		e.mu.Unlock()
	}
}

// serve answers one connection's requests in turn.
func (e *Engine) serve(c net.Conn) {
	defer e.p.wg.Done()
	defer func() {
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
		c.Close()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(c, br, r, body) {
			return
		}
	}
}

func reply(c net.Conn, status int, head, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d x\r\n%sContent-Length: %d\r\n\r\n%s", status, head, len(body), body)
	return err == nil
}

// answer deals with one request; false = the connection ends.
func (e *Engine) answer(c net.Conn, br *bufio.Reader, r *http.Request, body []byte) bool {
	gone, next := watch(br)
	if call, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == "DELETE" {
		if !e.lives(gone) {
			return false
		}
		e.p.release(call, "released")
		if _, err := io.WriteString(c, "HTTP/1.1 204 x\r\n\r\n"); err != nil {
			return false
		}
		return another(gone, next)
	}
	call := r.Header.Get("X-Call-Id")
	op, known := e.p.op(call)
	if !known {
		e.p.Log.Add(record.Record{Kind: record.ExtraResponse, Op: "void:" + call, Note: "an id that no client sent"})
		return reply(c, 400, "", "no client sent this id") && another(gone, next)
	}
	told, _ := strconv.ParseFloat(r.Header.Get("X-Budget"), 64)
	e.p.mu.Lock()
	e.p.headers[op.Name] = append(e.p.headers[op.Name], r.Header)
	e.p.budgets[op.Name] = append(e.p.budgets[op.Name], Budget{told, float64(time.Now().UnixNano()) / 1e9})
	e.p.mu.Unlock()
	stage := "decode"
	if e.Role == "read" {
		stage = "prefill"
	}
	rec := record.Record{Kind: record.Arrive, Op: op.Name, Try: op.Try, Class: op.Class, Node: e.p.caller(r.Host), Engine: e.ID, Note: stage, Work: 1, StatedTime: told}
	if stage == "decode" {
		rec.State = stateName(call, e.p.holder(call))
	}
	e.p.Log.Add(rec)
	end := rec
	end.Kind = record.AttemptEnded
	defer func() { e.p.Log.Add(end) }()
	if !e.lives(gone) {
		return false
	}
	fault, slow := e.fault()
	select {
	case <-time.After(slow):
	case <-gone:
		return false
	}
	keep := false
	if stage == "prefill" {
		keep = e.read(c, rec.Node, call, fault, gone)
	} else {
		keep = e.write(c, call, op, rec, fault, gone)
	}
	if !keep {
		return false
	}
	return another(gone, next)
}

// lives waits while the engine hangs; false = the connection ended first.
func (e *Engine) lives(gone <-chan struct{}) bool {
	e.mu.Lock()
	hung := e.hung
	e.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
		return true
	case <-gone:
		return false
	}
}

// another waits for the next request on a connection; false = there is none.
func another(gone, next <-chan struct{}) bool {
	select {
	case <-gone:
		return false
	case <-next:
		return true
	}
}

// watch tells when the peer has closed or ended its side, or its next request begins.
func watch(br *bufio.Reader) (gone, next <-chan struct{}) {
	g, n := make(chan struct{}), make(chan struct{})
	go func() {
		if _, err := br.Peek(1); err != nil {
			close(g)
		} else {
			close(n)
		}
	}()
	return g, n
}

func (e *Engine) read(c net.Conn, node, call string, fault Fault, gone <-chan struct{}) bool {
	switch fault {
	case Error500:
		reply(c, 500, "", "no")
		return false
	case Rejects:
		return reply(c, 503, "X-Rejected: 1\r\n", "")
	case HalfReject:
		return halfReply(c, "503 x\r\nX-Rejected: 1", gone)
	case CutBefore: // it ended well just then
		e.p.hold(node, call, e.ID)
		return false
	}
	select {
	case <-time.After(e.ReadFor):
	case <-gone:
		return false
	}
	e.p.hold(node, call, e.ID)
	head := "X-Load-Report: util=0.2,queue=0,x0=0.1\r\n"
	switch fault {
	case BadReport:
		head = "X-Load-Report: util=often\r\n"
	case HalfRead:
		return halfReply(c, "202 x", gone)
	}
	return reply(c, 202, head, `{"cached_tokens":12}`) && (fault != LateAnswer || second(c))
}

// halfReply gives an answer whose body does not come to its length, and says nothing more.
func halfReply(c net.Conn, head string, gone <-chan struct{}) bool {
	fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: 20\r\n\r\n{\"cached", head)
	<-gone
	return false
}

// late is how late a late second answer comes.
const late = 10 * time.Millisecond

// second gives a late second answer, with a stream that no client asked for.
func second(c net.Conn) bool {
	time.Sleep(late)
	_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"+
		"30\r\ndata: {\"choices\":[{\"delta\":{\"content\":\"no\"}}]}\n\n\r\n0\r\n\r\n")
	return err == nil
}

// write makes the answer; false = the connection ends.
func (e *Engine) write(c net.Conn, call string, op Op, rec record.Record, fault Fault, gone <-chan struct{}) bool {
	switch {
	case fault == Rejects:
		return reply(c, 503, "X-Rejected: 1\r\n", "")
	case fault == HalfReject:
		return halfReply(c, "503 x\r\nX-Rejected: 1", gone)
	case fault == NoState || e.Role == "write" && e.p.holder(call) == "":
		e.p.release(call, "lost")
		return reply(c, 410, "X-Rejected: 1\r\n", "")
	}
	run := rec
	run.Kind = record.Run
	e.p.Log.Add(run)
	switch fault {
	case Error500:
		return reply(c, 500, "", "no")
	case Plain503:
		return reply(c, 503, "", "no")
	case CutBefore:
		return false
	case Noise:
		io.WriteString(c, "\x16\x03\x01 noise, and then nothing")
		<-gone
		return false
	case BadHead:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding chunked\r\n")
		<-gone
		return false
	case EndlessHead:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-More: ")
		<-gone
		return false
	case Interim:
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
	}
	e.p.release(call, "fetched")
	return e.stream(c, op, fault, gone)
}

func chunk(c net.Conn, text string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// stream writes events, two tokens each, and spoils what it is told to half way.
func (e *Engine) stream(c net.Conn, op Op, fault Fault, gone <-chan struct{}) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	e.mu.Lock()
	e.begun++
	e.mu.Unlock()
	for i := 0; i < op.Tokens; i++ {
		if i == op.Tokens/2 {
			switch fault {
			case CutStream:
				return false
			case Silent:
				<-gone
				return false
			case Comments:
				for chunk(c, ": still here\n\n") {
					time.Sleep(late)
				}
				return false
			case BadChunk:
				io.WriteString(c, "zz\r\ndata: spoilt\n\n\r\n")
				<-gone
				return false
			case MisfitChunk:
				io.WriteString(c, "4\r\ndata: spoilt and longer\n\n\r\n")
				<-gone
				return false
			case HugeChunk:
				io.WriteString(c, "c0000000\r\n")
				for range 64 {
					if _, err := c.Write(make([]byte, 64<<10)); err != nil {
						return false
					}
				}
				<-gone
				return false
			}
		}
		if !chunk(c, fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", Piece(op.Name, i))) {
			return false
		}
		select {
		case <-time.After(e.Step):
		case <-gone:
			return false
		}
	}
	report := "util=0.3,queue=0,x0=0.2"
	if fault == BadReport {
		report = "util=often"
	}
	chunk(c, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n")
	if fault != NoFinal {
		chunk(c, "data: [DONE]\n\n: X-Load-Report: "+report+"\n\n")
	}
	if fault == CutLast {
		io.WriteString(c, "0\r\n")
		return false
	}
	io.WriteString(c, "0\r\n\r\n")
	e.mu.Lock()
	e.whole++
	e.mu.Unlock()
	switch fault {
	case SecondAnswer:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	case LateAnswer:
		return second(c)
	}
	return true
}
