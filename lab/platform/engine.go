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
	NoFault                   Fault = ""
	NoiseForHead              Fault = "noise"         // noise in place of the opening; the connection stays open
	MalformedHead             Fault = "bad head"      // a head that cannot be read
	EndlessHead               Fault = "endless head"  // a head that does not end
	MalformedChunkSize        Fault = "bad chunk"     // later: a chunk whose size cannot be read
	ChunkSizeMismatch         Fault = "misfit chunk"  // later: one that does not fit
	HugeChunk                 Fault = "huge chunk"    // later: one of 3 GB that keeps coming
	CloseMidStream            Fault = "cut"           // the connection breaks in mid-stream
	StallMidStream            Fault = "silent"        // nothing more comes in mid-stream
	CloseBeforeResponse       Fault = "cut before"    // the connection breaks before the answer
	InterimResponses          Fault = "interim"       // good: 1xx answers in front
	MalformedLoadReport       Fault = "bad report"    // good: a load report that cannot be read
	SecondResponse            Fault = "second answer" // good: another answer right behind
	DelayedSecondResponse     Fault = "late answer"   // good: another answer some milliseconds behind
	NoFinalEvent              Fault = "no final"      // the stream ends in good order without its final event
	CloseInLastChunk          Fault = "cut last"      // the connection breaks within the last chunk
	EndlessComments           Fault = "comments"      // in mid-stream, comments without end in place of events
	IncompleteRejection       Fault = "half reject"   // a rejection whose body does not end
	IncompletePrefillResponse Fault = "half read"     // a read whose answer's body does not end
	InternalError             Fault = "500"
	Rejection                 Fault = "rejects" // 503 with the word that it never ran
	Unavailable               Fault = "503"     // without it
	StateMissing              Fault = "no state"
)

// Engine is one engine.
type Engine struct {
	ID, Role                   string
	TokenInterval, PrefillTime time.Duration
	platform                   *Platform

	mu       sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]bool
	faults   []Fault // of the next answers of its role
	stopped  bool
	slow     time.Duration // before a read or an answer begins
	hung     chan struct{} // closed when the engine no longer hangs; nil = it does not
	begun    int           // streams that were begun
	whole    int           // streams that were written to their last chunk
}

func (e *Engine) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener, e.address, e.stopped = l, l.Addr().String(), false
	e.mu.Unlock()
	e.platform.wg.Add(1)
	go e.accept(l)
	return nil
}

// Address is where the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// QueueFaults sets what happens to the next answers, one each.
func (e *Engine) QueueFaults(faults ...Fault) {
	e.mu.Lock()
	e.faults = append(e.faults, faults...)
	e.mu.Unlock()
}

// PendingFaults returns how many of the faults that were set have not been met by a request yet.
func (e *Engine) PendingFaults() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.faults)
}

// ClearFaults drops the faults that have not been met.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	e.faults = nil
	e.mu.Unlock()
}

// StreamsStarted returns how many streams were begun.
func (e *Engine) StreamsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.begun
}

// StreamsCompleted returns how many streams were written to their last chunk.
func (e *Engine) StreamsCompleted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.whole
}

// SetHung has the engine take connections and requests, and do nothing with them, until it is called with false.
func (e *Engine) SetHung(on bool) {
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

// SetStartDelay sets how long the engine waits before it begins.
func (e *Engine) SetStartDelay(d time.Duration) {
	e.mu.Lock()
	e.slow = d
	e.mu.Unlock()
}

func (e *Engine) fault() (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return NoFault, e.slow
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
	e.listener.Close()
	for c := range e.conns {
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

func (e *Engine) accept(l net.Listener) {
	defer e.platform.wg.Done()
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
			e.platform.wg.Add(1)
			go e.serve(c)
		}
		e.mu.Unlock()
	}
}

// serve answers one connection's requests in turn.
func (e *Engine) serve(c net.Conn) {
	defer e.platform.wg.Done()
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
		e.platform.release(call, "released")
		if _, err := io.WriteString(c, "HTTP/1.1 204 x\r\n\r\n"); err != nil {
			return false
		}
		return another(gone, next)
	}
	call := r.Header.Get("X-Call-Id")
	op, known := e.platform.op(call)
	if !known {
		e.platform.Log.Add(record.Record{Kind: record.More, Op: "void:" + call, Note: "an id that no client sent"})
		return reply(c, 400, "", "no client sent this id") && another(gone, next)
	}
	told, _ := strconv.ParseFloat(r.Header.Get("X-Budget"), 64)
	e.platform.mu.Lock()
	e.platform.headers[op.Name] = append(e.platform.headers[op.Name], r.Header)
	e.platform.budgets[op.Name] = append(e.platform.budgets[op.Name], Budget{told, float64(time.Now().UnixNano()) / 1e9})
	e.platform.mu.Unlock()
	stage := "decode"
	if e.Role == "read" {
		stage = "prefill"
	}
	rec := record.Record{Kind: record.Arrive, Op: op.Name, Try: op.Attempt, Class: op.Class, Node: e.platform.caller(r.Host), Engine: e.ID, Note: stage, Work: 1, Left: told}
	if stage == "decode" {
		rec.State = stateName(call, e.platform.holder(call))
	}
	e.platform.Log.Add(rec)
	end := rec
	end.Kind = record.End
	defer func() { e.platform.Log.Add(end) }()
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
	case InternalError:
		reply(c, 500, "", "no")
		return false
	case Rejection:
		return reply(c, 503, "X-Rejected: 1\r\n", "")
	case IncompleteRejection:
		return halfReply(c, "503 x\r\nX-Rejected: 1", gone)
	case CloseBeforeResponse: // it ended well just then
		e.platform.hold(node, call, e.ID)
		return false
	}
	select {
	case <-time.After(e.PrefillTime):
	case <-gone:
		return false
	}
	e.platform.hold(node, call, e.ID)
	head := "X-Load-Report: util=0.2,queue=0,x0=0.1\r\n"
	switch fault {
	case MalformedLoadReport:
		head = "X-Load-Report: util=often\r\n"
	case IncompletePrefillResponse:
		return halfReply(c, "202 x", gone)
	}
	return reply(c, 202, head, `{"cached_tokens":12}`) && (fault != DelayedSecondResponse || second(c))
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
func (e *Engine) write(c net.Conn, call string, op Operation, rec record.Record, fault Fault, gone <-chan struct{}) bool {
	switch {
	case fault == Rejection:
		return reply(c, 503, "X-Rejected: 1\r\n", "")
	case fault == IncompleteRejection:
		return halfReply(c, "503 x\r\nX-Rejected: 1", gone)
	case fault == StateMissing || e.Role == "write" && e.platform.holder(call) == "":
		e.platform.release(call, "lost")
		return reply(c, 410, "X-Rejected: 1\r\n", "")
	}
	run := rec
	run.Kind = record.Run
	e.platform.Log.Add(run)
	switch fault {
	case InternalError:
		return reply(c, 500, "", "no")
	case Unavailable:
		return reply(c, 503, "", "no")
	case CloseBeforeResponse:
		return false
	case NoiseForHead:
		io.WriteString(c, "\x16\x03\x01 noise, and then nothing")
		<-gone
		return false
	case MalformedHead:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding chunked\r\n")
		<-gone
		return false
	case EndlessHead:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nX-More: ")
		<-gone
		return false
	case InterimResponses:
		io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n")
	}
	e.platform.release(call, "fetched")
	return e.stream(c, op, fault, gone)
}

func chunk(c net.Conn, text string) bool {
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	return err == nil
}

// stream writes events, two tokens each, and spoils what it is told to half way.
func (e *Engine) stream(c net.Conn, op Operation, fault Fault, gone <-chan struct{}) bool {
	io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
	e.mu.Lock()
	e.begun++
	e.mu.Unlock()
	for i := 0; i < op.ResponseTokens; i++ {
		if i == op.ResponseTokens/2 {
			switch fault {
			case CloseMidStream:
				return false
			case StallMidStream:
				<-gone
				return false
			case EndlessComments:
				for chunk(c, ": still here\n\n") {
					time.Sleep(late)
				}
				return false
			case MalformedChunkSize:
				io.WriteString(c, "zz\r\ndata: spoilt\n\n\r\n")
				<-gone
				return false
			case ChunkSizeMismatch:
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
		if !chunk(c, fmt.Sprintf("data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", EventText(op.Name, i))) {
			return false
		}
		select {
		case <-time.After(e.TokenInterval):
		case <-gone:
			return false
		}
	}
	report := "util=0.3,queue=0,x0=0.2"
	if fault == MalformedLoadReport {
		report = "util=often"
	}
	chunk(c, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":20,\"completion_tokens\":9,\"prompt_tokens_details\":{\"cached_tokens\":4}}}\n\n")
	if fault != NoFinalEvent {
		chunk(c, "data: [DONE]\n\n: X-Load-Report: "+report+"\n\n")
	}
	if fault == CloseInLastChunk {
		io.WriteString(c, "0\r\n")
		return false
	}
	io.WriteString(c, "0\r\n\r\n")
	e.mu.Lock()
	e.whole++
	e.mu.Unlock()
	switch fault {
	case SecondResponse:
		io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	case DelayedSecondResponse:
		return second(c)
	}
	return true
}
