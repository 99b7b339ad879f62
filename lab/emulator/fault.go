package emulator

import (
	"net/http"
	"slices"

	"dillroute/lab/record"
)

// Faults are the active faults of an engine. The zero value is a healthy engine. POST /lab/fault sets them.
type Faults struct {
	ErrorShare           float64  `json:"errors,omitempty"`       // share of requests that fail immediately with 500
	Full                 bool     `json:"refuse,omitempty"`       // every request is rejected with 503
	RejectStatus         int      `json:"reject,omitempty"`       // every request is rejected with this status
	Silent               bool     `json:"silent,omitempty"`       // requests are accepted and never answered
	SlowFactor           float64  `json:"slow,omitempty"`         // the engine is slower by this factor
	TransferSlowFactor   float64  `json:"link_slow,omitempty"`    // KV states are sent slower by this factor
	MalformedEvent       bool     `json:"garbage,omitempty"`      // status 200 and an event that is not JSON
	ChunkSizeMismatch    bool     `json:"lying_chunk,omitempty"`  // a chunk that ends before its stated size
	TruncatedBody        bool     `json:"cut_body,omitempty"`     // a body shorter than its Content-Length
	HalfCloseAfter       int      `json:"half_close,omitempty"`   // only the sending side is closed, after this many events
	CloseAfter           *int     `json:"cut_after,omitempty"`    // the connection is closed after this many events of a stream
	CrashAfter           *int     `json:"die_after,omitempty"`    // the engine is killed after this many events of a stream
	LoseStates           bool     `json:"drop_after,omitempty"`   // KV states are lost right after the prefill
	StallAfter           int      `json:"stall_after,omitempty"`  // streams stall after this many events
	StallSeconds         float64  `json:"stall_s,omitempty"`      // duration of a stall
	PauseMS              float64  `json:"pause_ms,omitempty"`     // duration of a pause in a decode step
	PauseShare           float64  `json:"pause_share,omitempty"`  // share of the decode steps that pause
	HandshakeDelayMS     float64  `json:"handshake_ms,omitempty"` // delay before the first read from a new connection
	LoadReportSlowFactor float64  `json:"report_late,omitempty"`  // the load report is refreshed less often by this factor
	UnreachablePeers     []string `json:"cut,omitempty"`          // nodes that get no response; engines whose states cannot be fetched
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Store(&f) }

// ChangeFaults changes the engine's faults atomically. change is called again if the faults were changed concurrently.
func (e *Engine) ChangeFaults(change func(*Faults)) {
	for {
		old := e.faults.Load()
		changed := *old
		change(&changed)
		if e.faults.CompareAndSwap(old, &changed) {
			return
		}
	}
}

func (f *Faults) unreachable(peer string) bool { return slices.Contains(f.UnreachablePeers, peer) }

// Responses that violate the protocol, sent under the faults MalformedEvent, ChunkSizeMismatch and TruncatedBody.
const (
	malformedEventResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\n" +
		"data: {\"not\": json!}\n\n"
	chunkSizeMismatchResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"ff\r\ndata: {\r\n"
	truncatedBodyResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n" +
		"{\"id\":"
)

// injectRequestFault injects the faults that take effect before a request is served, and reports whether there was one.
func (j *job) injectRequestFault() bool {
	faults := j.engine.faults.Load()
	j.process.mu.Lock()
	fails := faults.ErrorShare > 0 && j.process.rng.Float64() < faults.ErrorShare
	j.process.mu.Unlock()
	switch {
	case faults.Silent || faults.unreachable(j.node):
		<-j.ctx.Done()
		j.record(record.AttemptEnded, "silent")
	case faults.Full:
		j.reject(http.StatusServiceUnavailable, "engine_full", "no")
	case faults.RejectStatus > 0:
		j.reject(faults.RejectStatus, "rejected", "not to its liking")
	case fails:
		j.record(record.AttemptEnded, "error")
		respondError(j.response, http.StatusInternalServerError, "internal", "failed")
	case faults.MalformedEvent:
		j.record(record.EffectStarted, "garbage")
		j.writeRaw(malformedEventResponse)
	case faults.ChunkSizeMismatch:
		j.record(record.EffectStarted, "lying chunk")
		j.writeRaw(chunkSizeMismatchResponse)
	case faults.TruncatedBody:
		j.record(record.EffectStarted, "cut body")
		j.writeRaw(truncatedBodyResponse)
	default:
		return false
	}
	return true
}

// writeRaw writes bytes directly to the connection, bypassing the HTTP server, and closes it.
func (j *job) writeRaw(text string) {
	conn, _, err := http.NewResponseController(j.response).Hijack()
	if err != nil {
		return
	}
	conn.Write([]byte(text))
	conn.Close()
}
