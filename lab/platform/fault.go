package platform

import "time"

// Fault is a deviation of an engine from its normal behavior in one response.
type Fault string

// Faults of a response. The faults marked valid conform to the protocol, so a node has to handle them without an error.
const (
	NoFault                   Fault = ""
	GarbageHead               Fault = "noise"         // bytes that are not HTTP instead of the head; the connection stays open
	MalformedHead             Fault = "bad head"      // a head that cannot be parsed
	EndlessHead               Fault = "endless head"  // a head that does not end
	MalformedChunkSize        Fault = "bad chunk"     // in mid-stream, a chunk size that cannot be parsed
	ChunkSizeMismatch         Fault = "misfit chunk"  // in mid-stream, a chunk longer than its size
	HugeChunk                 Fault = "huge chunk"    // in mid-stream, a chunk of 3 GB of which 4 MB are sent
	PauseMidStream            Fault = "pause"         // valid: in mid-stream, nothing is sent for streamPause
	SlowEvent                 Fault = "slow event"    // valid: in mid-stream, an event is sent in pieces for slowEventTime
	CloseMidStream            Fault = "cut"           // the connection closes in mid-stream
	StallMidStream            Fault = "silent"        // from mid-stream on, nothing more is sent
	CloseBeforeResponse       Fault = "cut before"    // the connection closes before the response
	InterimResponses          Fault = "interim"       // valid: 1xx responses before the final one
	MalformedLoadReport       Fault = "bad report"    // valid: a load report that cannot be parsed
	SecondResponse            Fault = "second answer" // valid: another response immediately after the final one
	DelayedSecondResponse     Fault = "late answer"   // valid: another response some milliseconds after the final one
	CommentBlock              Fault = "comment block" // valid: an empty line follows the comment line at the end of the stream
	CutComment                Fault = "cut comment"   // valid: that comment line has no line ending
	SeveralComments           Fault = "more comments" // valid: several comment lines, in chunks of their own, end the stream
	CRLFLines                 Fault = "crlf"          // valid: lines end with CRLF
	CRLines                   Fault = "cr"            // valid: lines end with CR
	OtherFields               Fault = "fields"        // valid: more fields, no space after the colon, a byte order mark first
	HalfEventAfterFinal       Fault = "half after"    // valid: the stream ends with its last chunk, within an event after the final one
	HalfFinalEvent            Fault = "half final"    // the stream ends with its last chunk, within its final event
	HalfEvent                 Fault = "half event"    // the stream ends with its last chunk, within an event before the final one
	NoFinalEvent              Fault = "no final"      // the stream ends with its last chunk but without its final event
	CloseInLastChunk          Fault = "cut last"      // the connection closes within the last chunk
	EndlessComments           Fault = "comments"      // in mid-stream, comments without end instead of events
	IncompleteRejection       Fault = "half reject"   // a rejection whose body does not end
	IncompletePrefillResponse Fault = "half read"     // a prefill response whose body does not end
	InternalError             Fault = "500"           // status 500
	Rejection                 Fault = "rejects"       // status 503 with the header that says that the request never ran
	Unavailable               Fault = "503"           // status 503 without that header
	StateMissing              Fault = "no state"      // the state is lost: status 410
)

// QueueFaults adds faults to the queue. Each of the next responses takes one off the queue.
func (e *Engine) QueueFaults(faults ...Fault) {
	e.mu.Lock()
	e.faults = append(e.faults, faults...)
	e.mu.Unlock()
}

// PendingFaults returns the number of faults that are still queued.
func (e *Engine) PendingFaults() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.faults)
}

// ClearFaults removes the faults that are still queued.
func (e *Engine) ClearFaults() {
	e.mu.Lock()
	e.faults = nil
	e.mu.Unlock()
}

// SetHung makes the engine hang (true) or ends the hang (false). A hung engine accepts connections and requests without serving them.
func (e *Engine) SetHung(hung bool) { e.setHung(hung, false) }

// SetFrozen makes the engine hang (true), or ends the hang (false), as if its process were suspended and resumed. In contrast to
// SetHung, the engine does not detect closed connections before it resumes.
func (e *Engine) SetFrozen(frozen bool) { e.setHung(frozen, true) }

func (e *Engine) setHung(hung, frozen bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case hung && e.hung == nil:
		e.hung = make(chan struct{})
		e.frozen = frozen
	case !hung && e.hung != nil:
		e.recover()
	}
}

// recover ends a hang. The caller holds the lock.
func (e *Engine) recover() {
	close(e.hung)
	e.hung = nil
	e.frozen = false
}

// LoseAttempts makes a hung engine lose the attempts that it has received, as if its machine had vanished. The attempts end
// without a response, and their connections stay open and carry nothing more.
func (e *Engine) LoseAttempts() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.attemptsLost)
	e.attemptsLost = make(chan struct{})
}

// SetStartDelay sets how long the engine waits before it starts to serve a request.
func (e *Engine) SetStartDelay(d time.Duration) {
	e.mu.Lock()
	e.startDelay = d
	e.mu.Unlock()
}

// nextFault takes the next fault off the queue, and returns it with the current start delay.
func (e *Engine) nextFault() (Fault, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.faults) == 0 {
		return NoFault, e.startDelay
	}
	fault := e.faults[0]
	e.faults = e.faults[1:]
	return fault, e.startDelay
}

// awaitRecovery waits until the engine no longer hangs. It returns false if the connection has ended or the attempt was lost by then.
func (x *exchange) awaitRecovery() bool {
	x.engine.mu.Lock()
	hung, lost, disconnected := x.engine.hung, x.engine.attemptsLost, x.disconnected
	if x.engine.frozen {
		disconnected = nil
	}
	x.engine.mu.Unlock()
	if hung == nil {
		return true
	}
	select {
	case <-hung:
	case <-disconnected:
	case <-lost:
		x.lost = true
		return false
	}
	return !x.isDisconnected()
}
