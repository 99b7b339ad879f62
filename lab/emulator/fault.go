package emulator

import (
	"net/http"
	"slices"

	"dillroute/lab/record"
)

// Faults are the faults of an engine at a moment. The zero value is a healthy engine. POST /lab/fault sets them.
type Faults struct {
	ErrorShare           float64  `json:"errors,omitempty"`       // share of requests that fail at once with 500
	Full                 bool     `json:"refuse,omitempty"`       // every request is rejected with 503
	RejectStatus         int      `json:"reject,omitempty"`       // every request is rejected with this status
	Silent               bool     `json:"silent,omitempty"`       // requests are accepted and never answered
	SlowFactor           float64  `json:"slow,omitempty"`         // the engine is so many times slower
	TransferSlowFactor   float64  `json:"link_slow,omitempty"`    // KV states leave it so many times slower
	MalformedEvent       bool     `json:"garbage,omitempty"`      // status 200 and an event that is not JSON
	ChunkSizeMismatch    bool     `json:"lying_chunk,omitempty"`  // a chunk size beyond what follows, then the end
	TruncatedBody        bool     `json:"cut_body,omitempty"`     // a body shorter than its Content-Length
	HalfCloseAfter       int      `json:"half_close,omitempty"`   // the sending side closes after so many events; the socket stays
	CloseAfter           *int     `json:"cut_after,omitempty"`    // streams are cut after so many events
	CrashAfter           *int     `json:"die_after,omitempty"`    // the engine is killed after so many events of a stream
	LoseStates           bool     `json:"drop_after,omitempty"`   // KV states are lost right after the prefill
	StallAfter           int      `json:"stall_after,omitempty"`  // streams stall after so many events
	StallSeconds         float64  `json:"stall_s,omitempty"`      // duration of a stall
	PauseMS              float64  `json:"pause_ms,omitempty"`     // duration of the pauses of decode steps
	PauseShare           float64  `json:"pause_share,omitempty"`  // share of the decode steps that pause
	HandshakeDelayMS     float64  `json:"handshake_ms,omitempty"` // new connections are served so late
	LoadReportSlowFactor float64  `json:"report_late,omitempty"`  // the load is refreshed so many times more seldom
	UnreachablePeers     []string `json:"cut,omitempty"`          // nodes and engines whose messages do not arrive
}

// SetFaults replaces the engine's faults.
func (e *Engine) SetFaults(f Faults) { e.faults.Store(&f) }

// ChangeFaults changes the engine's faults; change may be called more than once.
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

// Responses of the faults that break the protocol.
const (
	malformedEventResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 22\r\n\r\n" +
		"data: {\"not\": json!}\n\n"
	chunkSizeMismatchResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"ff\r\ndata: {\r\n"
	truncatedBodyResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 1000\r\n\r\n" +
		"{\"id\":"
)

// playRequestFault injects the faults that strike before a request is served, and returns whether one did.
func (j *job) playRequestFault() bool {
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
		j.record(record.Run, "garbage")
		j.writeRaw(malformedEventResponse)
	case faults.ChunkSizeMismatch:
		j.record(record.Run, "lying chunk")
		j.writeRaw(chunkSizeMismatchResponse)
	case faults.TruncatedBody:
		j.record(record.Run, "cut body")
		j.writeRaw(truncatedBodyResponse)
	default:
		return false
	}
	return true
}

// writeRaw writes bytes past the HTTP server and closes the connection.
func (j *job) writeRaw(text string) {
	conn, _, err := http.NewResponseController(j.response).Hijack()
	if err != nil {
		return
	}
	conn.Write([]byte(text))
	conn.Close()
}
