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
	Serve(x *http1.Exchange, take func(Asked) bool)
	// Fault words the answer to a request that could not be read, or for which there is no place; after is when the
	// client may come again (s; 0 = no advice).
	Fault(status int, reason string, after float64) ([]http1.Field, []byte)
}

// Asked is a request that is to be routed.
type Asked struct {
	Request scheduler.Request
	Whole   float64 // s until the client gives up an answer that is not streamed; 0 = it is streamed
	Job     Job
}

// Job is one request as its protocol holds it. All but Say is called on the owner's goroutine and must not block.
type Job interface {
	// Attempt prepares an attempt.
	Attempt(c Call) Attempt
	// Ended files what the end of an attempt brought.
	Ended(n int, r Result)
	// Granted tells that no other attempt will be made.
	Granted()
	// Judged is an engine's own judgement of the request, to be passed on by Say.
	Judged(n int) Word
	// Word words the node's own last word.
	Word(a outcome.Answer, after float64, reason string) Word
	// Say writes a last word, or ends an answer that has begun so that its client sees that it is not whole.
	Say(w Word)
}

// Word is a whole answer.
type Word struct {
	Status int
	Fields []http1.Field
	Body   []byte
}

// Call says which attempt is to be made.
type Call struct {
	N       int
	Address string
	Stage   outcome.Stage
	State   bool // a state waits and is to be fetched
	StateN  int  // from this attempt
	Timeout time.Duration
	WriteBy time.Time // when the request must have been written, else it is not sent; zero = at any time
	Until   time.Time // when the client's time is up: what is left to it then is told to the engine, and nothing is begun later
}

// Attempt is one attempt at an engine.
type Attempt interface {
	// Run makes it, on a goroutine of its own.
	Run(h Host) Result
	// Abort ends it, for the cause given, at whatever point it is.
	Abort(cause outcome.Cause)
	// Withdraw ends it if no byte of it has been written yet.
	Withdraw()
	// Arrived tells whether its request has reached the engine, as far as can be seen.
	Arrived() bool
}

// Host is what an attempt tells while it runs.
type Host interface {
	// Load is told the engine's load, when its answer begins; nil = none was told.
	Load(*scheduler.LoadReport)
	// First waits for leave to answer the client.
	First() bool
}

// Result is what was seen of an attempt.
type Result struct {
	Facts  outcome.Facts
	Report *scheduler.LoadReport
	Err    error     // why it ended early; for the log alone
	Wrote  time.Time // when its first byte was about to be written; zero = none was
	Extra  any       // of the protocol
}

// Caller is the engine side of a protocol, beside attempts.
type Caller interface {
	// Release lets go of what is held for a request, by the attempt n.
	Release(address, id string, n int, within time.Duration) error
	Sweep()     // closes connections that have rested for too long
	CloseIdle() // closes all that rest
	Close()
}

// List is a list of engines, or of changes to it.
type List struct {
	Form      scheduler.UpdateForm
	Engines   []scheduler.Engine
	Addresses map[string]string // by id
	Saved     bool              // known from an earlier run alone
}

// Lists is a source of lists that runs until it is closed.
type Lists interface {
	Keep(on bool) // whether what is believed is saved
	Close()
}
