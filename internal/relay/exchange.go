package relay

import (
	"dillroute/internal/decide/connreuse"
	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// exchange is one request (protocol.ClientExchange): what engines get of it, unchanged, and the client that its response goes to. The
// node's owner goroutine owns it, but for client, which belongs to the attempt that was granted the response.
type exchange struct {
	front          *Front
	id             string
	client         *http1.Exchange
	method, target string
	fields         []http1.Field // end-to-end header fields of the request, the idempotency key among them
	effect         scheduler.Effect
	body           []byte
}

// Attempt prepares an attempt.
func (e *exchange) Attempt(spec protocol.AttemptSpec) protocol.Attempt {
	return &attempt{engines: e.front.engines, spec: spec, id: e.id, method: e.method, target: e.target, fields: e.fields, body: e.body,
		client: e.client, newConnection: !connreuse.ReuseAllowed(e.effect, spec.Stage == outcome.Prefill)}
}

// AttemptEnded keeps nothing: in this protocol engines return no state and no response that is passed through.
func (e *exchange) AttemptEnded(int, protocol.Result) {}

// ResponseGranted drops body and header fields, which are not held for the length of a stream.
func (e *exchange) ResponseGranted() { e.body, e.fields = nil, nil }

// EngineResponse is never asked for in this protocol.
func (e *exchange) EngineResponse(int) protocol.Response {
	return protocol.Response{Status: 500, Fields: retryFields(0)}
}

// NodeResponse is the node's own response. In this protocol 429 and 503 promise that a retry is harmless, and no other status does.
func (e *exchange) NodeResponse(own outcome.Response, after float64, reason string) protocol.Response {
	status := own.HTTPStatus
	rejection := status == 429 || status == 503
	switch {
	case own.RetryIsSafe && !rejection:
		status = 503
	case !own.RetryIsSafe && rejection:
		status = 500
	}
	if !own.RetryIsSafe {
		after = 0
	}
	return protocol.Response{Status: status, Fields: retryFields(after), Body: []byte(reason + "\n")}
}

// Respond writes a final response. A stream that has begun ends with its connection, without the last chunk.
func (e *exchange) Respond(response protocol.Response) {
	if e.client.Begun() {
		e.client.AbortBody()
		return
	}
	e.client.Reply(response.Status, response.Fields, response.Body) // an error means a disconnected client
}
