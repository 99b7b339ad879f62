// Package protocol is the interface between the host (internal/node) and the protocols that it speaks (internal/openai,
// internal/relay). A protocol turns bytes on sockets into the types of this package and back; it decides nothing. The host owns the
// scheduler and the request table.
package protocol

import (
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// Front is the client side of a protocol.
type Front interface {
	// Serve handles a request on the goroutine of its connection. It hands a request that is to be routed to take, and responds to
	// any other one itself. take does not block; it returns false where the node has stopped, and the front responds.
	Serve(x *http1.Exchange, take func(RoutedRequest) bool)
	// ErrorBody is the response to a request that could not be read, or that came over the connection limit. after is Retry-After in
	// seconds; 0 = none.
	ErrorBody(status int, reason string, after float64) ([]http1.Field, []byte)
}

// RoutedRequest is a request that is to be routed.
type RoutedRequest struct {
	Request              scheduler.Request
	WholeResponseTimeout float64 // seconds that the client waits for a response that is not streamed; 0 = it is streamed
	Exchange             ClientExchange
}

// ClientExchange is one request as its protocol holds it. All methods but Respond are called on the owner's goroutine and must not
// block.
type ClientExchange interface {
	// Attempt prepares an attempt.
	Attempt(c AttemptSpec) Attempt
	// AttemptEnded keeps what the result of an attempt brought.
	AttemptEnded(n int, r Result)
	// ResponseGranted tells that the response was granted to an attempt: no further one is made.
	ResponseGranted()
	// EngineResponse is the response by which an engine rejected the request as invalid, for Respond.
	EngineResponse(n int) Response
	// NodeResponse is the node's own final response, for Respond.
	NodeResponse(a outcome.Response, after float64, reason string) Response
	// Respond writes a final response. It ends a stream that has begun so that the client sees that it is not complete.
	Respond(w Response)
}

// Response is a complete response.
type Response struct {
	Status int
	Fields []http1.Field
	Body   []byte
}

// AttemptSpec describes an attempt that is to be made.
type AttemptSpec struct {
	Number         int
	Address        string
	Stage          outcome.Stage
	FetchState     bool // a prefilled state is to be fetched
	StateAttempt   int  // the attempt that prefilled it
	Timeout        time.Duration
	WriteBy        time.Time // end of the deduplication window, after which nothing is written; zero = none
	ClientDeadline time.Time // engines are told the time left until then, and nothing is written later
}

// Attempt is one attempt at an engine.
type Attempt interface {
	// Run makes the attempt, on a goroutine of its own.
	Run(h AttemptObserver) Result
	// Cancel ends the attempt for the cause given, at any point.
	Cancel(cause outcome.Cause)
	// CancelIfUnsent ends the attempt if no byte of it was written.
	CancelIfUnsent()
	// Delivered tells whether the request has reached the engine, as far as can be seen.
	Delivered() bool
}

// AttemptObserver is notified by an attempt while it runs.
type AttemptObserver interface {
	// LoadReported is called with the engine's load when its response begins; nil = none was reported.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for the permission to respond to the client.
	RequestGrant() bool
}

// Result is what was seen of an attempt.
type Result struct {
	Evidence     outcome.Evidence
	Report       *scheduler.LoadReport
	Err          error     // why it ended early; for the log only
	FirstByteAt  time.Time // when the first byte was about to be written; zero = none was
	ProtocolData any       // for ClientExchange.AttemptEnded
}

// EngineClient is the engine side of a protocol, apart from attempts.
type EngineClient interface {
	// Release releases the state that an engine holds for a request, of the attempt n.
	Release(address, id string, n int, within time.Duration) error
	CloseExpired() // closes connections whose idle timeout is over
	CloseIdle()    // closes all idle connections
	Close()
}

// EndpointList is a list of engines, or an incremental update of it.
type EndpointList struct {
	Form      scheduler.UpdateForm
	Engines   []scheduler.Engine
	Addresses map[string]string // by id
	Saved     bool              // known only from what an earlier run saved
}

// EndpointSource follows a list of engines until it is closed.
type EndpointSource interface {
	SaveState(on bool) // whether the list is saved to the state directory
	Close()
}
