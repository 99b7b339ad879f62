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

// exchange is one chat request (protocol.ClientExchange). The node's owner goroutine owns it, but for client, which belongs to the
// attempt that was granted the response.
type exchange struct {
	front           *Front
	id              string
	client          *http1.Exchange
	chat            *front.Chat
	forwarded       []http1.Field
	prefilledStates map[int]json.RawMessage // by the attempt that prefilled them
	engineResponses map[int]protocol.Response
}

// attempt is an attempt at an engine, with the client that its stream goes to.
type attempt struct {
	engine.Attempt
	exchange      *exchange
	stage         outcome.Stage
	wholeResponse bool
}

// Attempt prepares an attempt.
func (e *exchange) Attempt(c protocol.AttemptSpec) protocol.Attempt {
	a := &attempt{exchange: e, stage: c.Stage, wholeResponse: !e.chat.Stream}
	a.Client, a.RequestID, a.Address = e.front.engines, engine.StateID(e.id, c.Number), c.Address
	a.Forwarded, a.Timeout, a.WriteBy = e.forwarded, c.Timeout, c.WriteBy
	switch {
	case c.Stage == outcome.Prefill:
		a.Body = e.chat.PrefillBody()
	case c.FetchState:
		a.RequestID = engine.StateID(e.id, c.StateAttempt)
		a.Body = e.chat.DecodeBody(e.prefilledStates[c.StateAttempt])
	default:
		a.Body = e.chat.DecodeBody(nil)
	}
	return a
}

// Run makes the attempt.
func (a *attempt) Run(h protocol.AttemptObserver) protocol.Result {
	var r engine.Result
	if a.stage == outcome.Prefill {
		r = a.Prefill()
	} else {
		s := &stream{AttemptObserver: h, client: a.exchange.client, id: a.exchange.id}
		if a.wholeResponse {
			s.gather = front.NewStreamCollector(a.exchange.front.configuration.Load().config.Limits.MaxResponse)
		}
		r = a.Decode(s)
	}
	r.ProtocolData = r
	return r.Result
}

// AttemptEnded keeps the prefilled state, or the engine's error response in case it is passed through.
func (e *exchange) AttemptEnded(n int, result protocol.Result) {
	engineResult, ok := result.ProtocolData.(engine.Result)
	switch {
	case !ok:
	case engineResult.Evidence.ResponseKind == outcome.PrefillDone:
		e.prefilledStates[n] = engineResult.State
	case engineResult.HTTPStatus >= 400:
		fields := append(front.RetryFields(false, 0), front.JSONType)
		e.engineResponses[n] = protocol.Response{Status: engineResult.HTTPStatus, Fields: fields, Body: engineResult.ErrorBody}
	}
}

// ResponseGranted drops the prompt, which is not held for the length of a stream.
func (e *exchange) ResponseGranted() { e.chat = nil }

// EngineResponse is the error response of the engine of an attempt.
func (e *exchange) EngineResponse(n int) protocol.Response { return e.engineResponses[n] }

// NodeResponse is the node's own response.
func (e *exchange) NodeResponse(response outcome.Response, after float64, reason string) protocol.Response {
	return protocol.Response{Status: response.HTTPStatus, Fields: append(front.RetryFields(response.RetryIsSafe, after), front.JSONType),
		Body: front.ErrorJSON(response.HTTPStatus, response.Code, "", reason)}
}

// Respond writes a final response: a complete one, or an error event that ends a stream.
func (e *exchange) Respond(response protocol.Response) {
	if !e.client.Begun() {
		fields := append(response.Fields, http1.Field{Name: "X-Request-Id", Value: e.id})
		e.client.Reply(response.Status, fields, response.Body) // an error means a disconnected client
		return
	}
	if _, err := e.client.Write(http1.AppendEvent(nil, response.Body)); err != nil {
		e.client.Abort()
		return
	}
	e.client.End()
}

// stream forwards the response of one attempt to the client. It belongs to the attempt's goroutine.
type stream struct {
	protocol.AttemptObserver
	client  *http1.Exchange
	id      string
	gather  *front.StreamCollector // where the client asked for a response that is not streamed
	pending []byte                 // events that are written with the next one
}

// Event forwards an event; for a response that is not streamed it is collected.
func (s *stream) Event(data, raw []byte, more bool) error {
	if s.gather != nil {
		if err := s.gather.Add(data); err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnusableResponse, err)
		}
		return nil
	}
	if !s.client.Begun() {
		err := s.client.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"},
			{Name: "Cache-Control", Value: "no-cache"}, {Name: "X-Request-Id", Value: s.id}})
		if err != nil {
			return fmt.Errorf("client: %w", err)
		}
	}
	if more && len(s.pending)+len(raw) <= maxWrite {
		s.pending = append(s.pending, raw...)
		return nil
	}
	return s.flush(raw)
}

// maxWrite bounds the bytes of events in one write.
const maxWrite = 8 << 10

// Flush writes the pending events.
func (s *stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.flush(nil)
}

// flush writes the pending events, and one more.
func (s *stream) flush(raw []byte) error {
	if len(s.pending) > 0 {
		raw = append(s.pending, raw...)
		s.pending = s.pending[:0]
		if cap(raw) > maxWrite/4 { // a burst does not leave a large buffer behind
			s.pending = nil
		}
	}
	_, err := s.client.Write(raw)
	return err
}

// Finish ends the response.
func (s *stream) Finish() error {
	if s.gather != nil {
		body, err := s.gather.Bytes()
		if err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnusableResponse, err)
		}
		return s.client.Reply(200, []http1.Field{front.JSONType, {Name: "X-Request-Id", Value: s.id}}, body)
	}
	if err := s.flush([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.client.End()
}
