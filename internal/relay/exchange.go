package relay

import (
	"dillroute/internal/decide/connreuse"
	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// exchange is one request (protocol.ClientExchange): the parts that are forwarded to engines unchanged, and the client connection. It
// belongs to the event loop's goroutine, except for client, which belongs to the attempt that was granted the response.
type exchange struct {
	front          *Front
	id             string
	client         *http1.Exchange
	method, target string
	fields         []http1.Field // end-to-end header fields of the request, including the idempotency key
	effect         scheduler.Effect
	body           []byte
}

// Attempt returns an attempt that has not started.
func (e *exchange) Attempt(spec protocol.AttemptSpec) protocol.Attempt {
	return &attempt{engines: e.front.engines, spec: spec, id: e.id, method: e.method, target: e.target, fields: e.fields, body: e.body,
		client: e.client, newConnection: !connreuse.ReuseAllowed(e.effect, spec.Stage == outcome.Prefill)}
}

// AttemptEnded does nothing: in this protocol engines return no state, and no error response is forwarded to the client.
func (e *exchange) AttemptEnded(int, protocol.Result) {}

// ResponseGranted drops body and header fields, which are not retained while the response streams.
func (e *exchange) ResponseGranted() { e.body, e.fields = nil, nil }

// EngineResponse is never called in this protocol.
func (e *exchange) EngineResponse(int) protocol.Response {
	return protocol.Response{Status: 500, Fields: responseFields(0)}
}

// NodeResponse returns the node's own response. In this protocol the statuses 429 and 503, and no others, promise that a retry is
// harmless.
func (e *exchange) NodeResponse(response outcome.Response, after float64, reason string) protocol.Response {
	status := response.HTTPStatus
	rejection := status == 429 || status == 503
	switch {
	case response.RetryIsSafe && !rejection:
		status = 503
	case !response.RetryIsSafe && rejection:
		status = 500
	}
	if !response.RetryIsSafe {
		after = 0
	}
	return protocol.Response{Status: status, Fields: responseFields(after), Body: []byte(reason + "\n")}
}

// Respond writes a final response. If a stream has begun, Respond closes the connection without the last chunk instead, so that the
// client sees that the stream is incomplete.
func (e *exchange) Respond(response protocol.Response) {
	if e.client.Begun() {
		e.client.AbortBody()
		return
	}
	e.client.Reply(response.Status, response.Fields, response.Body) // an error means that the client has disconnected
}
