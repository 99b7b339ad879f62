// Package engine speaks to prefill and decode engines: OpenAI-style endpoints with the transfer parameters of
// vLLM's disaggregated serving. It states what it saw; what that proves is for internal/decide/outcome.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/front"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// Client sends attempts to engines. It is safe for concurrent use.
type Client struct {
	Pool     *http1.Pool
	Node     string        // named in Via
	Key      string        // bearer key of the engines; "" = none
	Connect  time.Duration // most time for a connection
	Stall    func() time.Duration
	MaxEvent int
}

// maxReply bounds the whole answers of engines (states, errors), in bytes.
const maxReply = 1 << 20

// Attempt is one attempt at an engine.
type Attempt struct {
	protocol.AttemptControl
	Client    *Client
	RequestID string // X-Request-Id: names the state at the engines
	Address   string
	Body      []byte
	Extra     []http1.Field // of the client's, to be passed on
	Timeout   time.Duration // until the whole reply, or the first token
	WriteBy   time.Time     // when the request must have been written, else it is not sent; zero = at any time
}

// ErrUnfit is wrapped by a Sink's error when the engine's answer, not the client, is at fault.
var ErrUnfit = errors.New("engine: answer of no use")

// Result is what was seen.
type Result struct {
	protocol.Result
	State json.RawMessage // kv_transfer_params of a prefill reply
	Reply []byte          // body of an answer that is no success
	HTTP  int             // its status
}

// Sink takes the stream of a decode attempt.
type Sink interface {
	// LoadReported is told the engine's load, when its answer begins.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for leave to answer the client.
	RequestGrant() bool
	// Event passes an event on; more tells that another follows at once, so that the two may leave together. An
	// error means that the client is gone, or wraps ErrUnfit.
	Event(data, raw []byte, more bool) error
	// Flush passes on what was kept back, where the stream breaks.
	Flush() error
	// Finish passes the end on.
	Finish() error
}

// StateID names a state at the engines: reads of one request must not be taken for each other.
func StateID(id string, n int) string { return id + "." + strconv.Itoa(n) }

// open connects, writes the request and reads the head of the answer. r holds how far it came.
func (a *Attempt) open(accept string, r *Result) (*http1.ClientConn, *http1.Response) {
	start := time.Now()
	r.Evidence.Progress = outcome.Connecting
	c, err := a.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
		return a.Client.Pool.Get(ctx, a.Address, min(a.Client.Connect, a.Timeout))
	})
	if err != nil {
		r.Err, r.Evidence.Cause = err, a.CauseOf(err, outcome.ConnectionBroken)
		return nil, nil
	}
	window, keyed := protocol.TimeUntil(a.WriteBy)
	if a.RefusesWrite(permit.Write{ClientTimeLeft: (a.Timeout - time.Since(start)).Seconds(), HasDedupWindow: keyed, DedupWindowLeft: window}, &r.Result) {
		c.Close()
		return nil, nil
	}
	fields := []http1.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Accept", Value: accept},
		{Name: "X-Request-Id", Value: a.RequestID}, {Name: "Via", Value: "1.1 " + a.Client.Node},
		{Name: "Endpoint-Load-Metrics-Format", Value: "JSON"}}
	if a.Client.Key != "" {
		fields = append(fields, http1.Field{Name: "Authorization", Value: "Bearer " + a.Client.Key})
	}
	resp := a.Exchange(c, start.Add(a.Timeout), "POST", "/v1/chat/completions", append(fields, a.Extra...), a.Body, &r.Result)
	a.Body = nil // a long stream need not hold it
	if resp == nil {
		return nil, nil
	}
	r.HTTP = resp.Status
	r.Report = parseLoad(resp.Header)
	return c, resp
}

// Prefill has a prompt read and returns the state that waits.
func (a *Attempt) Prefill() Result {
	r := Result{}
	c, resp := a.open("application/json", &r)
	if c == nil {
		return r
	}
	body, ok := a.whole(c, resp, &r)
	if !ok || r.HTTP != 200 {
		return r
	}
	var reply struct {
		State json.RawMessage `json:"kv_transfer_params"`
		Usage struct {
			Details struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if err := json.Unmarshal(body, &reply); err != nil {
		r.Err, r.Evidence.Cause = err, outcome.MalformedResponse
		return r
	}
	r.State, r.Evidence.CachedTokens = reply.State, max(0, reply.Usage.Details.Cached)
	if len(reply.State) > 0 && string(reply.State) != "null" { // one that names no state is of no use
		r.Evidence.ResponseKind = outcome.PrefillDone
	}
	return r
}

// Codes of errors by which an engine says that there is no state to fetch.
const (
	codeStateGone = "kv_state_not_found"
	codeNoState   = "kv_state_required"
)

// meaning says what an answer that is no success means. The statuses by which a server judges the request rather than
// itself are those of RFC 9110, section 15.5.
func meaning(status int, code string) outcome.ResponseKind {
	if code == codeStateGone || code == codeNoState {
		return outcome.StateMissing
	}
	switch status {
	case 429, 503:
		return outcome.EngineRejected
	case 400, 404, 405, 411, 413, 414, 415, 422, 431:
		return outcome.InvalidRequest
	}
	return outcome.EngineError
}

// whole reads a whole answer and files what it says of an error.
func (a *Attempt) whole(c *http1.ClientConn, resp *http1.Response, r *Result) ([]byte, bool) {
	body, err := resp.ReadAll(maxReply)
	a.Detach()
	if err != nil {
		c.Close()
		r.Err, r.Evidence.Cause = err, a.CauseOf(err, outcome.AttemptTimedOut)
		return nil, false
	}
	a.Client.Pool.PutAfter(c, resp)
	if resp.Status != 200 {
		var e struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		json.Unmarshal(body, &e) // a body of another shape has no code
		r.Reply = body
		r.Evidence.ResponseKind, r.Evidence.Code = meaning(resp.Status, e.Error.Code), resp.Status
	}
	return body, true
}

// Decode has the answer made and passes it to the sink.
func (a *Attempt) Decode(sink Sink) Result {
	r := Result{}
	c, resp := a.open("text/event-stream", &r)
	if c == nil {
		return r
	}
	if resp.Status != 200 {
		a.whole(c, resp, &r)
		return r
	}
	if !strings.HasPrefix(strings.ToLower(resp.Header.Get("Content-Type")), "text/event-stream") {
		a.Detach()
		c.Close()
		r.Evidence.Cause = outcome.MalformedResponse
		return r
	}
	sink.LoadReported(r.Report)
	r.Report = nil // told already; at the end it is old
	cause, err := a.stream(c, resp, sink, &r)
	r.Evidence.Cause, r.Err = cause, err
	a.Detach()
	if cause == outcome.ResponseComplete {
		r.Evidence.ResponseKind = outcome.DecodeDone
		a.Client.Pool.PutAfter(c, resp)
	} else {
		c.Close()
	}
	return r
}

// stream passes events until the mark of the end.
func (a *Attempt) stream(c *http1.ClientConn, resp *http1.Response, sink Sink, r *Result) (outcome.Cause, error) {
	events := http1.NewEventReader(resp.Body, a.Client.MaxEvent)
	defer events.Close()
	if cause, err := a.begin(events, sink, r); err != nil || r.Evidence.Progress != outcome.Streaming {
		return cause, err
	}
	cause, err := a.pass(c, events, sink)
	if cause != outcome.ResponseComplete && cause != outcome.ClientDisconnected {
		sink.Flush() // an error: the client is gone, and the stream is over in any case
	}
	return cause, err
}

// pass passes the events of a running stream on.
func (a *Attempt) pass(c *http1.ClientConn, events *http1.EventReader, sink Sink) (outcome.Cause, error) {
	var looked time.Time // when the bound on a stall was last moved on; doing so for each event costs more than it
	for {
		stall := a.Client.Stall()
		if now := time.Now(); now.Sub(looked) > stall/64 {
			looked = now
			c.SetDeadline(now.Add(stall))
		}
		data, raw, err := events.Next()
		if err != nil {
			return a.CauseOf(whole(err), outcome.StreamStalled), err
		}
		end, read := front.PassChunk(data)
		if read {
			chunk, err := front.ReadChunk(data)
			if err != nil {
				return a.CauseOf(&http1.Error{Status: 502, Reason: err.Error()}, outcome.MalformedResponse), err
			}
			if chunk.Err != nil {
				return a.CauseOf(nil, outcome.ConnectionBroken), errors.New("engine: error event: " + chunk.Err.Message)
			}
		}
		if end {
			if err := sink.Finish(); err != nil {
				return sinkCause(err), err
			}
			return outcome.ResponseComplete, nil
		}
		if err := sink.Event(data, raw, events.More()); err != nil {
			return sinkCause(err), err
		}
	}
}

// whole turns the end of the connection into an error: the mark of the end is missing.
func whole(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// begin reads up to the first token and passes it on, once the client's answer is granted. Events before it are kept
// back, for the answer may yet fail and be made elsewhere.
func (a *Attempt) begin(events *http1.EventReader, sink Sink, r *Result) (outcome.Cause, error) {
	var early [][2][]byte
	for held := 0; ; {
		data, raw, err := events.Next()
		if err != nil {
			return a.CauseOf(whole(err), outcome.AttemptTimedOut), err
		}
		chunk, err := front.ReadChunk(data)
		switch {
		case err != nil:
			return a.CauseOf(&http1.Error{Status: 502, Reason: err.Error()}, outcome.MalformedResponse), err
		case chunk.Err != nil:
			return a.CauseOf(nil, outcome.ConnectionBroken), errors.New("engine: error event: " + chunk.Err.Message)
		case chunk.Done:
			return outcome.MalformedResponse, errors.New("engine: a stream without a token")
		}
		if held += len(raw); held > a.Client.MaxEvent {
			return outcome.MalformedResponse, http1.ErrEventTooLong
		}
		early = append(early, [2][]byte{bytes.Clone(data), bytes.Clone(raw)})
		if !chunk.Token {
			continue
		}
		if !sink.RequestGrant() {
			return a.CauseOf(nil, outcome.ConnectionBroken), nil
		}
		r.Evidence.Progress = outcome.Streaming
		for i, e := range early {
			if err := sink.Event(e[0], e[1], i+1 < len(early)); err != nil {
				return sinkCause(err), err
			}
		}
		return outcome.ResponseComplete, nil
	}
}

// sinkCause names the cause of a Sink's error.
func sinkCause(err error) outcome.Cause {
	if errors.Is(err, ErrUnfit) {
		return outcome.MalformedResponse
	}
	return outcome.ClientDisconnected
}

// CloseExpired closes connections that have rested for too long, CloseIdle all that rest, Close for good.
func (cl *Client) CloseExpired() { cl.Pool.CloseExpired() }
func (cl *Client) CloseIdle()    { cl.Pool.CloseIdle() }
func (cl *Client) Close()        { cl.Pool.Close() }

// Release lets go of a state, by the project's own call. Engines that lack it answer 404, and free the state by
// their own time-out.
func (cl *Client) Release(address, id string, n int, _ time.Duration) error {
	c, err := cl.Pool.Get(context.Background(), address, cl.Connect)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(2 * time.Second))
	body, _ := json.Marshal(map[string]string{"request_id": StateID(id, n)})
	fields := []http1.Field{{Name: "Content-Type", Value: "application/json"}, {Name: "Via", Value: "1.1 " + cl.Node}}
	if cl.Key != "" {
		fields = append(fields, http1.Field{Name: "Authorization", Value: "Bearer " + cl.Key})
	}
	if _, _, err = c.Send("POST", "/v1/kv/release", fields, body); err == nil {
		var resp *http1.Response
		if resp, err = c.ReadResponse(); err == nil {
			if _, err = resp.ReadAll(maxReply); err == nil {
				cl.Pool.PutAfter(c, resp)
				return nil
			}
		}
	}
	c.Close()
	return err
}
