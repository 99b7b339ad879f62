package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"dillroute/internal/decide/connreuse"
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// job is one request: what engines get of it, unchanged, and the exchange that its answer goes to. The owner has it, but
// for x, which belongs to the attempt that was granted the answer, and before that to the owner.
type job struct {
	front          *Front
	id             string
	x              *http1.Exchange
	method, target string
	fields         []http1.Field // end-to-end fields of the request: the key of a keyed class is among them
	effect         scheduler.Effect
	body           []byte
}

// Attempt prepares an attempt.
func (j *job) Attempt(c protocol.AttemptSpec) protocol.Attempt {
	return &attempt{engines: j.front.engines, call: c, id: j.id, method: j.method, target: j.target, fields: j.fields, body: j.body,
		x: j.x, fresh: !connreuse.ReuseAllowed(j.effect, c.Stage == outcome.Prefill)}
}

// AttemptEnded, Granted and Judged: nothing of an engine's is kept, and no engine judges requests in this protocol.
func (j *job) AttemptEnded(int, protocol.Result) {}

// ResponseGranted drops what engines are sent: a long stream need not hold it.
func (j *job) ResponseGranted() { j.body, j.fields = nil, nil }

// EngineResponse is not met in this protocol.
func (j *job) EngineResponse(int) protocol.Response {
	return protocol.Response{Status: 500, Fields: retryFields(0)}
}

// NodeResponse words the node's own answer: 429 and 503 say that a retry is harmless, whoever worded them.
func (j *job) NodeResponse(a outcome.Response, after float64, reason string) protocol.Response {
	status := a.HTTPStatus
	refusal := status == 429 || status == 503
	switch {
	case a.RetryIsSafe && !refusal:
		status = 503
	case !a.RetryIsSafe && refusal:
		status = 500
	}
	if !a.RetryIsSafe {
		after = 0
	}
	return protocol.Response{Status: status, Fields: retryFields(after), Body: []byte(reason + "\n")}
}

// Respond writes a last word. A stream that has begun ends with its connection, without the last chunk.
func (j *job) Respond(w protocol.Response) {
	if j.x.Begun() {
		j.x.AbortBody()
		return
	}
	j.x.Reply(w.Status, w.Fields, w.Body) // an error: the client is gone
}

// attempt is one attempt at an engine.
type attempt struct {
	protocol.AttemptControl
	engines            *Engines
	call               protocol.AttemptSpec
	id, method, target string
	fields             []http1.Field // of the request, beside its id and the time that is left
	fresh              bool          // on a connection that has carried nothing yet
	body               []byte
	x                  *http1.Exchange
	load               string // the latest load report of a stream
}

// Run makes the attempt.
func (a *attempt) Run(h protocol.AttemptObserver) protocol.Result {
	r := protocol.Result{}
	c, resp := a.open(&r)
	if c == nil {
		return r
	}
	if resp.Status == 200 {
		a.stream(c, resp, h, &r)
	} else {
		a.whole(c, resp, &r)
	}
	return r
}

// open connects, writes the request and reads the head of the answer. r holds how far it came.
func (a *attempt) open(r *protocol.Result) (*http1.ClientConn, *http1.Response) {
	start := time.Now()
	until := start.Add(a.call.Timeout)
	r.Evidence.Progress = outcome.Connecting
	connect := a.call.Timeout
	if !a.call.WriteBy.IsZero() {
		connect = max(time.Millisecond, min(connect, time.Until(a.call.WriteBy)))
	}
	c, err := a.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
		return a.engines.get(ctx, a.call.Address, connect, a.fresh)
	})
	if err != nil {
		r.Err, r.Evidence.Cause = err, a.CauseOf(err, outcome.ConnectionBroken)
		if errors.Is(err, http1.ErrPoolFull) {
			r.Evidence.Progress = outcome.NotStarted
		}
		return nil, nil
	}
	window, keyed := protocol.TimeUntil(a.call.WriteBy)
	if a.RefusesWrite(permit.Write{ClientDisconnected: a.x != nil && a.x.ClientDisconnected(), ClientTimeLeft: time.Until(a.call.ClientDeadline).Seconds(), HasDedupWindow: keyed, DedupWindowLeft: window}, r) {
		c.Close()
		return nil, nil
	}
	fields := []http1.Field{{Name: headID, Value: a.id},
		{Name: headBudget, Value: strconv.FormatFloat(max(0.001, time.Until(a.call.ClientDeadline).Seconds()), 'f', 3, 64)}}
	message := protocol.Message{Method: a.method, Target: a.target, Fields: append(fields, a.fields...), Body: a.body}
	resp := a.Exchange(c, until, message, r)
	a.body, a.fields = nil, nil // a long stream need not hold them
	if resp == nil {
		if r.Evidence.Cause == outcome.ConnectionBroken {
			a.engines.lost(c)
		}
		return nil, nil
	}
	r.Report = parseLoad(resp.Header.Get(headLoad))
	return c, resp
}

// maxReply bounds whole answers, in bytes.
const maxReply = 64 << 10

// whole reads a whole answer: a prompt that was read, a rejection or an error. All but an error stand by their heads.
func (a *attempt) whole(c *http1.ClientConn, resp *http1.Response, r *protocol.Result) {
	rejected := resp.Header.Get(headNotRun) == "1"
	switch {
	case resp.Status == 202:
		r.Evidence.ResponseKind = outcome.PrefillDone
	case resp.Status == 410 && rejected:
		r.Evidence.ResponseKind = outcome.StateMissing
	case (resp.Status == 503 || resp.Status == 504) && rejected:
		r.Evidence.ResponseKind = outcome.EngineRejected
	default:
		r.Evidence.ResponseKind = outcome.EngineError
	}
	c.Within(a.engines.pool.Head) // the head has said what matters; its body is not to use up the request's time
	body, err := resp.ReadAll(maxReply)
	a.Detach()
	if err != nil {
		c.Close()
		r.Err = err
		if r.Evidence.ResponseKind == outcome.EngineError {
			r.Evidence.Cause = a.CauseOf(err, outcome.AttemptTimedOut)
		}
		return
	}
	a.engines.pool.PutAfter(c, resp)
	if r.Evidence.ResponseKind == outcome.PrefillDone {
		r.Evidence.CachedTokens = readCached(body)
	} else if r.Evidence.ResponseKind == outcome.EngineError {
		r.Err = fmt.Errorf("status %d: %s", resp.Status, clip(strings.TrimSpace(string(body))))
	}
}

// silence is how long an engine's stream may give nothing before it counts as broken: the client's connection must end
// within 5 s of a running engine's last event (PROTOCOL, figures).
const silence = 4500 * time.Millisecond

// finalEvent is the data of the event that ends a stream (PROTOCOL, nodes to engines).
const finalEvent = "[DONE]"

// Errors of streams that are not whole.
var (
	errNoEvent = errors.New("relay: a stream without an event")
	errNoFinal = errors.New("relay: a stream that ended without its final event")
)

// stream passes the answer on.
func (a *attempt) stream(c *http1.ClientConn, resp *http1.Response, h protocol.AttemptObserver, r *protocol.Result) {
	r.Evidence.Cause, r.Err = a.pass(c, resp, h, r)
	a.Detach()
	if r.Evidence.Cause != outcome.ResponseComplete {
		c.Close()
		return
	}
	r.Evidence.ResponseKind = outcome.DecodeDone
	if rep := parseLoad(a.load); rep != nil {
		r.Report = rep
	}
	a.engines.pool.PutAfter(c, resp)
}

// pass passes events until the last chunk.
func (a *attempt) pass(c *http1.ClientConn, resp *http1.Response, h protocol.AttemptObserver, r *protocol.Result) (outcome.Cause, error) {
	if a.call.Stage != outcome.Decode || !resp.Chunked || !strings.HasPrefix(strings.ToLower(resp.Header.Get("Content-Type")), "text/event-stream") {
		return outcome.MalformedResponse, errors.New("relay: status 200 without a stream")
	}
	events := http1.NewEventReader(resp.Body, maxEvent)
	defer events.Close()
	events.Comment = a.comment
	var pending []byte
	final := false // the event that ends every stream has come
	for begun := false; ; begun = true {
		data, raw, err := events.Next()
		if err == io.EOF && begun && !final {
			err = errNoFinal
		}
		if err != nil {
			return a.over(err, begun, pending)
		}
		final = string(data) == finalEvent
		if !begun {
			if !isEvent(data) {
				return outcome.MalformedResponse, errNoEvent
			}
			if !h.RequestGrant() {
				return a.CauseOf(nil, outcome.ConnectionBroken), nil
			}
			r.Evidence.Progress = outcome.Streaming
			a.StreamingBegan()
			if err := a.x.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
				return outcome.ClientDisconnected, err
			}
		}
		c.SetDeadline(time.Now().Add(silence))
		if kept, ok := readUsage(data); ok {
			r.Evidence.CachedTokens = kept
		}
		if pending = append(pending, raw...); events.More() && len(pending) < maxTogether {
			continue
		}
		if _, err := a.x.Write(pending); err != nil {
			return outcome.ClientDisconnected, err
		}
		pending = pending[:0]
	}
}

// Bounds of a stream, in bytes.
const (
	maxEvent    = 128 << 10
	maxTogether = 8 << 10 // of events that leave in one write
)

// over ends a stream: well, at its last chunk, or as what broke it says.
func (a *attempt) over(err error, begun bool, pending []byte) (outcome.Cause, error) {
	if begun && len(pending) > 0 {
		if _, werr := a.x.Write(pending); werr != nil {
			return outcome.ClientDisconnected, werr
		}
	}
	if err != io.EOF {
		timeout := outcome.AttemptTimedOut
		if begun {
			timeout = outcome.StreamStalled
		}
		return a.CauseOf(err, timeout), err
	}
	if !begun {
		return outcome.MalformedResponse, errNoEvent
	}
	if err := a.x.End(); err != nil {
		return outcome.ClientDisconnected, err
	}
	return outcome.ResponseComplete, nil
}

// comment keeps a load report that a stream carries.
func (a *attempt) comment(line []byte) {
	text := strings.TrimSpace(strings.TrimPrefix(string(line), ":"))
	if name, value, ok := strings.Cut(text, ":"); ok && strings.EqualFold(strings.TrimSpace(name), headLoad) {
		a.load = strings.TrimSpace(value)
	}
}
