// Package protocol is the interface between the host (internal/node) and the protocols that it speaks (internal/openai,
// internal/relay). A protocol converts between bytes on sockets and the types of this package, and makes no routing decisions. The host
// owns the scheduler and the request table.
package protocol

import (
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// Front is the client side of a protocol.
type Front interface {
	// Serve handles a request on the goroutine of its connection. It passes a request that an engine must serve to submit, and responds
	// to any other itself. submit does not block; it returns false if the node has stopped, and the front then responds.
	Serve(x *http1.Exchange, submit func(RoutedRequest) bool)
	// ErrorBody returns the response to a request that could not be read, or that exceeds the connection limit. after is the value of
	// Retry-After in seconds; 0 = none.
	ErrorBody(status int, reason string, after float64) ([]http1.Field, []byte)
}

// RoutedRequest is a request that the node routes to an engine.
type RoutedRequest struct {
	Request              scheduler.Request
	WholeResponseTimeout float64 // seconds that the client waits for a complete response; 0 = the response is streamed
	Exchange             ClientExchange
}

// ClientExchange is a protocol's representation of one request. All methods except Respond are called by the node's event loop and must
// not block.
type ClientExchange interface {
	// Attempt returns an attempt that has not started.
	Attempt(spec AttemptSpec) Attempt
	// AttemptEnded stores the parts of an attempt's result that later attempts or the response need.
	AttemptEnded(number int, result Result)
	// ResponseGranted is called when the response is granted to an attempt: no further attempt is made.
	ResponseGranted()
	// EngineResponse returns the response with which an engine rejected the request as invalid, for Respond.
	EngineResponse(number int) Response
	// NodeResponse returns the node's own final response, for Respond.
	NodeResponse(response outcome.Response, after float64, reason string) Response
	// Respond writes a final response. It ends a stream that has begun in such a way that the client sees that it is incomplete.
	Respond(response Response)
}

// Response is a complete response.
type Response struct {
	Status int
	Fields []http1.Field
	Body   []byte
}

// AttemptSpec describes an attempt before it is made.
type AttemptSpec struct {
	Number         int
	Address        string
	Stage          outcome.Stage
	FetchState     bool // the engine must fetch a prefilled state
	StateAttempt   int  // number of the attempt that prefilled the state
	Timeout        time.Duration
	WriteBy        time.Time // end of the deduplication window, after which nothing is written; zero = none
	ClientDeadline time.Time // engines receive the time left until then, and nothing is written later
}

// Attempt is one attempt at an engine.
type Attempt interface {
	// Run makes the attempt and blocks until it ends. It is called on a separate goroutine.
	Run(observer AttemptObserver) Result
	// Cancel ends the attempt for the given cause, at any point.
	Cancel(cause outcome.Cause)
	// CancelIfNotRun cancels the attempt only if its end will prove that the request has not run, and reports whether it did.
	CancelIfNotRun(cause outcome.Cause) bool
	// CancelIfUnsent ends the attempt, unless its first byte is about to be written or was written.
	CancelIfUnsent()
	// Delivered reports whether the request has reached the engine, as far as the node can tell.
	Delivered() bool
}

// AttemptObserver receives the events of an attempt while it runs.
type AttemptObserver interface {
	// LoadReported is called with the engine's load when its response begins; nil = none was reported.
	LoadReported(*scheduler.LoadReport)
	// RequestGrant waits for the permission to respond to the client and reports whether it was granted.
	RequestGrant() bool
}

// Result is what was observed of an attempt.
type Result struct {
	Evidence     outcome.Evidence
	Report       *scheduler.LoadReport
	Err          error     // why the attempt ended early; for the log only
	FirstByteAt  time.Time // immediately before the first byte was written; zero = none was written
	ProtocolData any       // for ClientExchange.AttemptEnded
}

// EngineClient is the engine side of a protocol, apart from attempts.
type EngineClient interface {
	// Release releases the state that an engine holds from the given attempt of a request.
	Release(address, id string, attempt int, timeout time.Duration) error
	CloseExpired() // closes connections whose idle timeout has expired
	CloseIdle()    // closes all idle connections
	Close()
}

// EndpointList is a list of engines, or an incremental update of it.
type EndpointList struct {
	Form      scheduler.UpdateForm
	Engines   []scheduler.Engine
	Addresses map[string]string // by the engine's id
	Saved     bool              // the list was saved by an earlier run
}

// EndpointSource follows a list of engines until it is closed.
type EndpointSource interface {
	SaveState(on bool) // sets whether the list is saved to the state directory
	Close()
}
