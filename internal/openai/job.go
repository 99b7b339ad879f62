package openai

import (
	"encoding/json"
	"fmt"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/engine"
	"dillroute/internal/front"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// job is one chat request. The owner has it, but for x, which belongs to the attempt that was granted the answer, and
// before that to the owner.
type job struct {
	front   *Front
	id      string
	x       *http1.Exchange
	chat    *front.Chat
	extra   []http1.Field
	states  map[int]json.RawMessage // by the attempt that read them
	replies map[int]protocol.Response
}

// attempt is an attempt at an engine that knows what to do with its stream.
type attempt struct {
	engine.Attempt
	job   *job
	stage outcome.Stage
	whole bool
}

// Attempt prepares an attempt.
func (j *job) Attempt(c protocol.AttemptSpec) protocol.Attempt {
	a := &attempt{job: j, stage: c.Stage, whole: !j.chat.Stream}
	a.Client, a.RequestID, a.Address = j.front.engines, engine.StateID(j.id, c.Number), c.Address
	a.Extra, a.Timeout, a.WriteBy = j.extra, c.Timeout, c.WriteBy
	switch {
	case c.Stage == outcome.Prefill:
		a.Body = j.chat.PrefillBody()
	case c.FetchState:
		a.RequestID = engine.StateID(j.id, c.StateAttempt)
		a.Body = j.chat.DecodeBody(j.states[c.StateAttempt])
	default:
		a.Body = j.chat.DecodeBody(nil)
	}
	return a
}

// Run makes the attempt.
func (a *attempt) Run(h protocol.AttemptObserver) protocol.Result {
	var r engine.Result
	if a.stage == outcome.Prefill {
		r = a.Prefill()
	} else {
		s := &stream{AttemptObserver: h, x: a.job.x, id: a.job.id}
		if a.whole {
			s.gather = front.NewGather(a.job.front.view.Load().cfg.Limits.MaxAnswer)
		}
		r = a.Decode(s)
	}
	r.ProtocolData = r
	return r.Result
}

// AttemptEnded keeps the state that was read, or the engine's own answer in case it is passed on.
func (j *job) AttemptEnded(n int, res protocol.Result) {
	r, ok := res.ProtocolData.(engine.Result)
	switch {
	case !ok:
	case r.Evidence.ResponseKind == outcome.PrefillDone:
		j.states[n] = r.State
	case r.HTTP >= 400:
		j.replies[n] = protocol.Response{Status: r.HTTP, Fields: append(front.RetryFields(false, 0), front.JSONType), Body: r.Reply}
	}
}

// ResponseGranted drops the prompt: a long stream need not hold it.
func (j *job) ResponseGranted() { j.chat = nil }

// EngineResponse is the engine's own answer.
func (j *job) EngineResponse(n int) protocol.Response { return j.replies[n] }

// NodeResponse words the node's own answer.
func (j *job) NodeResponse(a outcome.Response, after float64, reason string) protocol.Response {
	return protocol.Response{Status: a.HTTPStatus, Fields: append(front.RetryFields(a.RetryIsSafe, after), front.JSONType),
		Body: front.ErrorJSON(a.HTTPStatus, a.Code, "", reason)}
}

// Respond writes a last word: a whole answer, or an error event that ends a stream.
func (j *job) Respond(w protocol.Response) {
	if !j.x.Begun() {
		j.x.Reply(w.Status, append(w.Fields, http1.Field{Name: "X-Request-Id", Value: j.id}), w.Body) // an error: the client is gone
		return
	}
	if _, err := j.x.Write(http1.AppendEvent(nil, w.Body)); err != nil {
		j.x.Abort()
		return
	}
	j.x.End()
}

// stream passes the answer of one attempt to the client. It belongs to the attempt's goroutine.
type stream struct {
	protocol.AttemptObserver
	x       *http1.Exchange
	id      string
	gather  *front.Gather // where the client asked for a whole answer
	pending []byte        // events that leave with the next
}

// Event passes an event on; a whole answer is gathered.
func (s *stream) Event(data, raw []byte, more bool) error {
	if s.gather != nil {
		if err := s.gather.Add(data); err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnfit, err)
		}
		return nil
	}
	if !s.x.Begun() {
		err := s.x.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"},
			{Name: "Cache-Control", Value: "no-cache"}, {Name: "X-Request-Id", Value: s.id}})
		if err != nil {
			return fmt.Errorf("client: %w", err)
		}
	}
	if more && len(s.pending)+len(raw) <= maxTogether {
		s.pending = append(s.pending, raw...)
		return nil
	}
	return s.flush(raw)
}

// maxTogether bounds the bytes of events that leave in one write.
const maxTogether = 8 << 10

// Flush writes the events that wait.
func (s *stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.flush(nil)
}

// flush writes the events that wait, and one more.
func (s *stream) flush(raw []byte) error {
	if len(s.pending) > 0 {
		raw = append(s.pending, raw...)
		s.pending = s.pending[:0]
		if cap(raw) > maxTogether/4 { // a stream that rushed once holds no buffer for ever
			s.pending = nil
		}
	}
	_, err := s.x.Write(raw)
	return err
}

// Finish gives the end of the answer.
func (s *stream) Finish() error {
	if s.gather != nil {
		body, err := s.gather.Bytes()
		if err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnfit, err)
		}
		return s.x.Reply(200, []http1.Field{front.JSONType, {Name: "X-Request-Id", Value: s.id}}, body)
	}
	if err := s.flush([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.x.End()
}
