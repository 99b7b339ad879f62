// Package protocol holds what the host and its protocols say to each other: the neutral facts into which a protocol turns
// bytes, and back. The host (internal/node) owns the module and the book; a protocol decides nothing.
package protocol

import (
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// Front is the client side of a protocol.
type Front interface {
	// Serve looks at a request on its connection's goroutine. One that is to be routed is handed to take; any other one
	// it answers itself. take returns at once; false = the node has stopped, and the front answers.
	Serve(x *http1.Exchange, take func(RoutedRequest) bool)
	// ErrorBody words the answer to a request that could not be read, or for which there is no place; after is when the
	// client may come again (s; 0 = no advice).
	ErrorBody(status int, reason string, after float64) ([]http1.Field, []byte)
}

// RoutedRequest is a request that is to be routed.
type RoutedRequest struct {
	Request              scheduler.Request
	WholeResponseTimeout float64 // s until the client gives up an answer that is not streamed; 0 = it is streamed
	Exchange             ClientExchange
}

// ClientExchange is one request as its protocol holds it. All but Say is called on the owner's goroutine and must not block.
type ClientExchange interface {
	// Attempt prepares an attempt.
	Attempt(c AttemptSpec) Attempt
	// AttemptEnded files what the end of an attempt brought.
	AttemptEnded(n int, r Result)
	// ResponseGranted tells that no other attempt will be made.
	ResponseGranted()
	// EngineResponse is an engine's own judgement of the request, to be passed on by Say.
	EngineResponse(n int) Response
	// NodeResponse words the node's own last word.
	NodeResponse(a outcome.Response, after float64, reason string) Response
	// Respond writes a last word, or ends an answer that has begun so that its client sees that it is not whole.
	Respond(w Response)
}

// Response is a whole answer.
type Response struct {
	Status int
	Fields []http1.Field
	Body   []byte
}

// AttemptSpec says which attempt is to be made.
type AttemptSpec struct {
	Number         int
	Address        string
	Stage          outcome.Stage
	FetchState     bool // a state waits and is to be fetched
	StateAttempt   int  // from this attempt
	Timeout        time.Duration
	WriteBy        time.Time // when the request must have been written, else it is not sent; zero = at any time
	ClientDeadline time.Time // when the client's time is up: what is left to it then is told to the engine, and nothing is begun later
}

// Attempt is one attempt at an engine.
type Attempt interface {
	// Run makes it, on a goroutine of its own.
	Run(h AttemptObserver) Result
	// Cancel ends it, for the cause given, at whatever point it is.
	Cancel(cause outcome.Cause)
	// CancelIfUnsent ends it if no byte of it has been written yet.
	CancelIfUnsent()
	// Delivered tells whether its request has reached the engine, as far as can be seen.
	Delivered() bool
}

// AttemptObserver is what an attempt tells while it runs.
type AttemptObserver interface {
	// LoadReported is told the engine's load, when its answer begins; nil = none was told.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for leave to answer the client.
	RequestGrant() bool
}

// Result is what was seen of an attempt.
type Result struct {
	Evidence     outcome.Evidence
	Report       *scheduler.LoadReport
	Err          error     // why it ended early; for the log alone
	FirstByteAt  time.Time // when its first byte was about to be written; zero = none was
	ProtocolData any       // of the protocol
}

// EngineClient is the engine side of a protocol, beside attempts.
type EngineClient interface {
	// Release lets go of what is held for a request, by the attempt n.
	Release(address, id string, n int, within time.Duration) error
	CloseExpired() // closes connections that have rested for too long
	CloseIdle()    // closes all that rest
	Close()
}

// EndpointList is a list of engines, or of changes to it.
type EndpointList struct {
	Form      scheduler.UpdateForm
	Engines   []scheduler.Engine
	Addresses map[string]string // by id
	Saved     bool              // known from an earlier run alone
}

// EndpointSource is a source of lists that runs until it is closed.
type EndpointSource interface {
	SaveState(on bool) // whether what is believed is saved
	Close()
}
