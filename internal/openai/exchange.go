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

// exchange is one chat request (protocol.ClientExchange). It belongs to the event loop's goroutine, except for client, which belongs to
// the attempt that was granted the response.
type exchange struct {
	front           *Front
	id              string
	client          *http1.Exchange
	chat            *front.Chat
	forwarded       []http1.Field
	prefilledStates map[int]json.RawMessage   // by the number of the attempt that prefilled them
	engineResponses map[int]protocol.Response // error responses, by the number of the attempt
}

// attempt is an attempt at an engine for one exchange.
type attempt struct {
	engine.Attempt
	exchange     *exchange
	stage        outcome.Stage
	nonStreaming bool
}

// Attempt returns an attempt that has not started.
func (e *exchange) Attempt(spec protocol.AttemptSpec) protocol.Attempt {
	a := &attempt{exchange: e, stage: spec.Stage, nonStreaming: !e.chat.Stream}
	a.Client, a.RequestID, a.Address = e.front.engines, engine.StateID(e.id, spec.Number), spec.Address
	a.Forwarded, a.Timeout, a.WriteBy = e.forwarded, spec.Timeout, spec.WriteBy
	switch {
	case spec.Stage == outcome.Prefill:
		a.Body = e.chat.PrefillBody()
	case spec.FetchState:
		a.RequestID = engine.StateID(e.id, spec.StateAttempt)
		a.Body = e.chat.DecodeBody(e.prefilledStates[spec.StateAttempt])
	default:
		a.Body = e.chat.DecodeBody(nil)
	}
	return a
}

// Run makes the attempt.
func (a *attempt) Run(observer protocol.AttemptObserver) protocol.Result {
	var result engine.Result
	if a.stage == outcome.Prefill {
		result = a.Prefill()
	} else {
		sink := &stream{AttemptObserver: observer, client: a.exchange.client, id: a.exchange.id}
		if a.nonStreaming {
			sink.collector = front.NewStreamCollector(a.exchange.front.configuration.Load().config.Limits.MaxResponse)
		}
		result = a.Decode(sink)
	}
	result.ProtocolData = result
	return result.Result
}

// AttemptEnded stores the prefilled state, or the engine's error response in case it is forwarded to the client.
func (e *exchange) AttemptEnded(number int, result protocol.Result) {
	engineResult, ok := result.ProtocolData.(engine.Result)
	switch {
	case !ok:
	case engineResult.Evidence.ResponseKind == outcome.PrefillDone:
		e.prefilledStates[number] = engineResult.State
	case engineResult.HTTPStatus >= 400:
		fields := append(front.RetryFields(false, 0), front.JSONType)
		e.engineResponses[number] = protocol.Response{Status: engineResult.HTTPStatus, Fields: fields, Body: engineResult.ErrorBody}
	}
}

// ResponseGranted drops the prompt, which is not retained while the response streams.
func (e *exchange) ResponseGranted() { e.chat = nil }

// EngineResponse returns the engine's error response to an attempt.
func (e *exchange) EngineResponse(number int) protocol.Response { return e.engineResponses[number] }

// NodeResponse returns the node's own response.
func (e *exchange) NodeResponse(response outcome.Response, after float64, reason string) protocol.Response {
	return protocol.Response{Status: response.HTTPStatus, Fields: append(front.RetryFields(response.RetryIsSafe, after), front.JSONType),
		Body: front.ErrorJSON(response.HTTPStatus, response.Code, "", reason)}
}

// Respond writes a final response: a complete one, or an error event that ends a stream.
func (e *exchange) Respond(response protocol.Response) {
	if !e.client.Begun() {
		fields := append(response.Fields, http1.Field{Name: "X-Request-Id", Value: e.id})
		e.client.Reply(response.Status, fields, response.Body) // an error means that the client has disconnected
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
	client    *http1.Exchange
	id        string
	collector *front.StreamCollector // nil = the response is streamed to the client
	pending   []byte                 // events to be written together with the next one
}

// Event forwards an event, or collects it for a response that is not streamed.
func (s *stream) Event(data, raw []byte, more bool) error {
	if s.collector != nil {
		if err := s.collector.Add(data); err != nil {
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

// maxWrite bounds the events that are combined into one write, in bytes.
const maxWrite = 8 << 10

// Flush writes the pending events.
func (s *stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.flush(nil)
}

// flush writes the pending events followed by raw.
func (s *stream) flush(raw []byte) error {
	if len(s.pending) > 0 {
		raw = append(s.pending, raw...)
		s.pending = s.pending[:0]
		if cap(raw) > maxWrite/4 { // do not retain a large buffer after a burst
			s.pending = nil
		}
	}
	_, err := s.client.Write(raw)
	return err
}

// Finish ends the response.
func (s *stream) Finish() error {
	if s.collector != nil {
		body, err := s.collector.Bytes()
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
