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
func (j *job) Attempt(c protocol.Call) protocol.Attempt {
	return &attempt{engines: j.front.engines, call: c, id: j.id, method: j.method, target: j.target, fields: j.fields, body: j.body,
		x: j.x, fresh: !connreuse.Kept(j.effect, c.Stage == outcome.Prefill)}
}

// Ended, Granted and Judged: nothing of an engine's is kept, and no engine judges requests in this protocol.
func (j *job) Ended(int, protocol.Result) {}

// Granted drops what engines are sent: a long stream need not hold it.
func (j *job) Granted() { j.body, j.fields = nil, nil }

// Judged is not met in this protocol.
func (j *job) Judged(int) protocol.Word { return protocol.Word{Status: 500, Fields: retryFields(0)} }

// Word words the node's own answer: 429 and 503 say that a retry is harmless, whoever worded them.
func (j *job) Word(a outcome.Answer, after float64, reason string) protocol.Word {
	status := a.HTTP
	refusal := status == 429 || status == 503
	switch {
	case a.Retry && !refusal:
		status = 503
	case !a.Retry && refusal:
		status = 500
	}
	if !a.Retry {
		after = 0
	}
	return protocol.Word{Status: status, Fields: retryFields(after), Body: []byte(reason + "\n")}
}

// Say writes a last word. A stream that has begun ends with its connection, without the last chunk.
func (j *job) Say(w protocol.Word) {
	if j.x.Begun() {
		j.x.Break()
		return
	}
	j.x.Reply(w.Status, w.Fields, w.Body) // an error: the client is gone
}

// attempt is one attempt at an engine.
type attempt struct {
	protocol.Hold
	engines            *Engines
	call               protocol.Call
	id, method, target string
	fields             []http1.Field // of the request, beside its id and the time that is left
	fresh              bool          // on a connection that has carried nothing yet
	body               []byte
	x                  *http1.Exchange
	load               string // the latest load report of a stream
}

// Run makes the attempt.
func (a *attempt) Run(h protocol.Host) protocol.Result {
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
	r.Facts.Progress = outcome.Dialling
	connect := a.call.Timeout
	if !a.call.WriteBy.IsZero() {
		connect = max(time.Millisecond, min(connect, time.Until(a.call.WriteBy)))
	}
	c, err := a.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
		return a.engines.get(ctx, a.call.Address, connect, a.fresh)
	})
	if err != nil {
		r.Err, r.Facts.Cause = err, a.Failed(err, outcome.Broken)
		if errors.Is(err, http1.ErrNoRoom) {
			r.Facts.Progress = outcome.Unsent
		}
		return nil, nil
	}
	window, keyed := protocol.Window(a.call.WriteBy)
	if a.Objects(permit.Write{ClientGone: a.x != nil && a.x.Gone(), TimeLeft: time.Until(a.call.Until).Seconds(), Keyed: keyed, WindowLeft: window}, r) {
		c.Close()
		return nil, nil
	}
	fields := []http1.Field{{Name: headID, Value: a.id},
		{Name: headBudget, Value: strconv.FormatFloat(max(0.001, time.Until(a.call.Until).Seconds()), 'f', 3, 64)}}
	resp := a.Exchange(c, until, a.method, a.target, append(fields, a.fields...), a.body, r)
	a.body, a.fields = nil, nil // a long stream need not hold them
	if resp == nil {
		if r.Facts.Cause == outcome.Broken {
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
		r.Facts.Meaning = outcome.Read
	case resp.Status == 410 && rejected:
		r.Facts.Meaning = outcome.NoState
	case (resp.Status == 503 || resp.Status == 504) && rejected:
		r.Facts.Meaning = outcome.Turned
	default:
		r.Facts.Meaning = outcome.Error
	}
	c.Within(a.engines.pool.Head) // the head has said what matters; its body is not to use up the request's time
	body, err := resp.ReadAll(maxReply)
	a.Detach()
	if err != nil {
		c.Close()
		r.Err = err
		if r.Facts.Meaning == outcome.Error {
			r.Facts.Cause = a.Failed(err, outcome.Expired)
		}
		return
	}
	a.engines.pool.Done(c, resp)
	if r.Facts.Meaning == outcome.Read {
		r.Facts.Kept = readCached(body)
	} else if r.Facts.Meaning == outcome.Error {
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
func (a *attempt) stream(c *http1.ClientConn, resp *http1.Response, h protocol.Host, r *protocol.Result) {
	r.Facts.Cause, r.Err = a.pass(c, resp, h, r)
	a.Detach()
	if r.Facts.Cause != outcome.Answered {
		c.Close()
		return
	}
	r.Facts.Meaning = outcome.Done
	if rep := parseLoad(a.load); rep != nil {
		r.Report = rep
	}
	a.engines.pool.Done(c, resp)
}

// pass passes events until the last chunk.
func (a *attempt) pass(c *http1.ClientConn, resp *http1.Response, h protocol.Host, r *protocol.Result) (outcome.Cause, error) {
	if a.call.Stage != outcome.Decode || !resp.Chunked || !strings.HasPrefix(strings.ToLower(resp.Header.Get("Content-Type")), "text/event-stream") {
		return outcome.Unreadable, errors.New("relay: status 200 without a stream")
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
				return outcome.Unreadable, errNoEvent
			}
			if !h.First() {
				return a.Failed(nil, outcome.Broken), nil
			}
			r.Facts.Progress = outcome.Streaming
			a.Stream()
			if err := a.x.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream"}}); err != nil {
				return outcome.ClientLeft, err
			}
		}
		c.SetDeadline(time.Now().Add(silence))
		if kept, ok := readUsage(data); ok {
			r.Facts.Kept = kept
		}
		if pending = append(pending, raw...); events.More() && len(pending) < maxTogether {
			continue
		}
		if _, err := a.x.Write(pending); err != nil {
			return outcome.ClientLeft, err
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
			return outcome.ClientLeft, werr
		}
	}
	if err != io.EOF {
		timeout := outcome.Expired
		if begun {
			timeout = outcome.Stalled
		}
		return a.Failed(err, timeout), err
	}
	if !begun {
		return outcome.Unreadable, errNoEvent
	}
	if err := a.x.End(); err != nil {
		return outcome.ClientLeft, err
	}
	return outcome.Answered, nil
}

// comment keeps a load report that a stream carries.
func (a *attempt) comment(line []byte) {
	text := strings.TrimSpace(strings.TrimPrefix(string(line), ":"))
	if name, value, ok := strings.Cut(text, ":"); ok && strings.EqualFold(strings.TrimSpace(name), headLoad) {
		a.load = strings.TrimSpace(value)
	}
}
