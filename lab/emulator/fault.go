package emulator

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"dillroute/lab/record"
)

// Faults are what is wrong with an engine at a moment. The zero value is a sound one. POST /lab/fault sets them.
type Faults struct {
	ErrorShare           float64  `json:"errors,omitempty"`       // share of requests that fail at once with 500
	Full                 bool     `json:"refuse,omitempty"`       // everything is turned away with 503
	RejectStatus         int      `json:"reject,omitempty"`       // everything is judged with this status
	Silent               bool     `json:"silent,omitempty"`       // requests are taken and never answered
	SlowFactor           float64  `json:"slow,omitempty"`         // times slower
	TransferSlowFactor   float64  `json:"link_slow,omitempty"`    // states leave it so many times slower
	MalformedEvent       bool     `json:"garbage,omitempty"`      // 200 and no sense
	ChunkSizeMismatch    bool     `json:"lying_chunk,omitempty"`  // a chunk size beyond what follows, then the end
	TruncatedBody        bool     `json:"cut_body,omitempty"`     // a body shorter than its length says
	HalfCloseAfter       int      `json:"half_close,omitempty"`   // after this many events its sending side closes; the socket stays
	CloseAfter           *int     `json:"cut_after,omitempty"`    // streams are cut after this many events
	CrashAfter           *int     `json:"die_after,omitempty"`    // the engine dies after this many events of a stream
	LoseStates           bool     `json:"drop_after,omitempty"`   // states are lost right after the read
	StallAfter           int      `json:"stall_after,omitempty"`  // streams stall after this many events
	StallSeconds         float64  `json:"stall_s,omitempty"`      // for this long
	PauseMS              float64  `json:"pause_ms,omitempty"`     // steps pause for this long,
	PauseShare           float64  `json:"pause_share,omitempty"`  // this share of them
	HandshakeDelayMS     float64  `json:"handshake_ms,omitempty"` // new connections are served so late
	LoadReportSlowFactor float64  `json:"report_late,omitempty"`  // load is refreshed so many times more seldom
	UnreachablePeers     []string `json:"cut,omitempty"`          // nodes and engines that it cannot hear
}

// SetFaults replaces what is wrong.
func (e *Engine) SetFaults(f Faults) { e.faults.Store(&f) }

// ChangeFaults changes what is wrong.
func (e *Engine) ChangeFaults(change func(*Faults)) {
	for {
		old := e.faults.Load()
		f := *old
		change(&f)
		if e.faults.CompareAndSwap(old, &f) {
			return
		}
	}
}

func (f *Faults) cutFrom(name string) bool { return slices.Contains(f.UnreachablePeers, name) }

func (e *Engine) setFaults(w http.ResponseWriter, q *http.Request) {
	var f Faults
	dec := json.NewDecoder(q.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		fail(w, 400, "invalid_request", err.Error())
		return
	}
	e.SetFaults(f)
	fmt.Fprintln(w, "{}")
}

// faulty plays the faults that strike before a request is looked at.
func (j *job) faulty() bool {
	f := j.e.faults.Load()
	j.r.mu.Lock()
	unlucky := f.ErrorShare > 0 && j.r.rng.Float64() < f.ErrorShare
	j.r.mu.Unlock()
	switch {
	case f.Silent || f.cutFrom(j.node):
		<-j.ctx.Done()
		j.note(record.End, "silent")
	case f.Full:
		j.turn(503, "engine_full", "no")
	case f.RejectStatus > 0:
		j.turn(f.RejectStatus, "rejected", "not to its liking")
	case unlucky:
		j.note(record.End, "error")
		fail(j.w, 500, "internal", "failed")
	case f.MalformedEvent:
		j.note(record.Run, "garbage")
		j.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\ndata: {\"not\": json!}\n\n")
	case f.ChunkSizeMismatch:
		j.note(record.Run, "lying chunk")
		j.raw("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\nff\r\ndata: {\r\n")
	case f.TruncatedBody:
		j.note(record.Run, "cut body")
		j.raw("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n{\"id\":")
	default:
		return false
	}
	return true
}

// raw writes bytes past the HTTP server and closes.
func (j *job) raw(text string) {
	c, _, err := http.NewResponseController(j.w).Hijack()
	if err != nil {
		return
	}
	c.Write([]byte(text))
	c.Close()
}

// eventWriter sends events one by one and plays the faults of streams.
type eventWriter struct {
	j    *job
	f    *Faults
	sent int
}

// event sends one; false = the stream is over.
func (w *eventWriter) event(data string) bool {
	f, j := w.f, w.j
	switch {
	case f.CloseAfter != nil && w.sent >= *f.CloseAfter:
		w.hijack(true)
		return false
	case f.CrashAfter != nil && w.sent >= *f.CrashAfter:
		go j.e.Kill()
		<-j.r.ctx.Done()
		return false
	case f.HalfCloseAfter > 0 && w.sent >= f.HalfCloseAfter:
		w.hijack(false)
		return false
	case f.StallAfter > 0 && w.sent == f.StallAfter:
		if !sleep(j.ctx, seconds(f.StallSeconds)) {
			return false
		}
	}
	if _, err := fmt.Fprintf(j.w, "data: %s\n\n", data); err != nil {
		return false
	}
	w.sent++
	return http.NewResponseController(j.w).Flush() == nil
}

// hijack ends the connection without the last chunk: at once, or its sending side alone.
func (w *eventWriter) hijack(whole bool) {
	http.NewResponseController(w.j.w).Flush()
	c, _, err := http.NewResponseController(w.j.w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if whole {
		return
	}
	if t, ok := c.(*net.TCPConn); ok {
		t.CloseWrite()
		t.SetReadDeadline(time.Now().Add(5 * time.Second))
		var b [1]byte
		t.Read(b[:]) // until the node lets go
	}
}

// ExpectedResponse returns the answer that a request should get, and how many tokens it has.
func ExpectedResponse(ms []Message, mark Mark, max int) (string, int) {
	d := Digest(ms)
	n := ResponseLength(d, mark, max)
	return ResponseText(d, n), n
}

// PromptText joins texts for prompts of about so many tokens.
func PromptText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := 0; b.Len() < tokens*4-8; i++ {
		b.WriteString(TokenText(seed, i))
	}
	return b.String()
}
