// Package requesttable is the node's table of requests and attempts: a state machine between the sockets and the
// scheduler. Its caller, the event loop of internal/node (the host), reports what happened on sockets (AddRequest,
// FirstToken, AttemptEnded, ClientDisconnected) and passes on the scheduler's actions (Apply). The table returns the events
// that the scheduler must receive and the commands that the host must carry out (Drain). It does no I/O, reads no clock,
// starts no goroutine and is not safe for concurrent use. Times are in seconds.
//
// The table does not decide where or when a request is sent. It guarantees the following for any actions of the scheduler:
//   - one final response for each request;
//   - one scheduler.Outcome for each scheduler.Send;
//   - no attempt for a request that has ended, and none at an engine that has been draining or removed for longer than the
//     drain grace;
//   - no attempt that could make an effect happen twice (internal/decide/permit).
//
// An action that would break one of these is not carried out; the table returns a ReportFault command instead.
//
// Commands are returned in the order in which the host must begin them. A ReleaseState is issued only after the attempt
// that left the state has ended.
//
// States of a request (responseState):
//
//	                    FirstToken
//	AddRequest ─▶ queued ────────▶ streaming
//	                │                  │ stream complete or broken,
//	  final response│                  │ CutStream, client disconnect
//	  or client     ▼                  ▼
//	  disconnect  ended         endedAfterStart
//	                │                  │
//	                └────────┬─────────┘
//	                         ▼ no attempt in flight: a held state is released, then ForgetRequest
//	                     forgotten
//
// States of an attempt (attemptState):
//
//	        FirstToken
//	running ────────▶ streaming
//	   │ CancelAttempt    │ CancelAttempt
//	   ▼                  ▼
//	canceling       cancelingStream
//	   │                  │
//	   └── AttemptEnded ──┴──▶ attemptEnded   (running and streaming attempts end by AttemptEnded too)
package requesttable

import (
	"fmt"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// Config holds the settings of the table.
type Config struct {
	Classes         []scheduler.Class
	MaxOpenRequests int
	MaxAttempts     int // maximum number of attempts of one request
	// ExemptUnsentAttempts excludes attempts that ended before their request was written from the count against
	// MaxAttempts. At most MaxAttempts of them are excluded.
	ExemptUnsentAttempts bool
	ResponseSlack        float64 // seconds after a client's deadline at which the table itself responds
	DrainGrace           float64 // seconds after which nothing is sent to an engine that is draining or removed
	// StateReleaseLimit is the longest time for which a state may be held without being used (rule 5), in seconds; 0 = no limit.
	StateReleaseLimit float64
	// ReleaseFreesAllStates means that one release call frees every state that any engine holds for the request. Such a
	// call is deferred until no attempt is in flight and no state is needed.
	ReleaseFreesAllStates bool
}

// Table holds the requests that have not been forgotten and the endpoints that they may be sent to.
type Table struct {
	config    Config
	kinds     []scheduler.Kind
	records   map[string]*requestRecord
	engines   map[string]*engineRecord
	openCount int // records whose request has not ended
	events    []scheduler.Event
	commands  []Command
	stopping  bool // no further request is accepted
}

// New returns an empty table.
func New(config Config, kinds []scheduler.Kind) *Table {
	return &Table{
		config:  config,
		kinds:   kinds,
		records: map[string]*requestRecord{},
		engines: map[string]*engineRecord{},
	}
}

// Reconfigure replaces the settings. Open requests keep the class that they were added with.
func (t *Table) Reconfigure(config Config) { t.config = config }

// Drain returns the events and commands gathered since the last call, in order, and clears them. The events are for a scheduler step at
// the time now: the time that a client has left is reduced by the time that its request has waited for the step.
func (t *Table) Drain(now float64) ([]scheduler.Event, []Command) {
	events, commands := t.events, t.commands
	t.events, t.commands = nil, nil
	for i, event := range events {
		if request, ok := event.(scheduler.Request); ok {
			events[i] = t.withTimeLeft(now, request)
		}
	}
	return events, commands
}

// withTimeLeft returns a request with the time that its client has left at the time now.
func (t *Table) withTimeLeft(now float64, request scheduler.Request) scheduler.Request {
	if record := t.records[request.ID]; record != nil && now > record.addedAt {
		request.ClientTimeLeft = max(0, request.ClientTimeLeft-(now-record.addedAt))
	}
	return request
}

// DrainCommands returns and clears the commands alone.
func (t *Table) DrainCommands() []Command {
	commands := t.commands
	t.commands = nil
	return commands
}

// HasEvents reports whether events wait for the scheduler.
func (t *Table) HasEvents() bool { return len(t.events) > 0 }

// OpenRequests returns the number of requests that have not ended.
func (t *Table) OpenRequests() int { return t.openCount }

// Len returns the number of records, including those whose request has ended while an attempt is in flight.
func (t *Table) Len() int { return len(t.records) }

// Deadline returns the time at which the table itself responds to a request if the scheduler has not; ok is false if the
// request is unknown.
func (t *Table) Deadline(id string) (at float64, ok bool) {
	record := t.records[id]
	if record == nil {
		return 0, false
	}
	if record.response.started() && record.wholeResponseBy > 0 {
		return record.wholeResponseBy, true
	}
	return record.deadline + t.config.ResponseSlack, true
}

func (t *Table) emit(event scheduler.Event) { t.events = append(t.events, event) }

func (t *Table) issue(command Command) { t.commands = append(t.commands, command) }

func (t *Table) reportFault(format string, args ...any) {
	t.issue(ReportFault{Text: fmt.Sprintf(format, args...)})
}

// AddRequest adds a request. If it is rejected, ok is false and rejection is the response to the client.
//
// wholeResponseTimeout is how long the client waits for the end of a response that is not streamed (s). It is 0 for a
// streamed response, whose duration has no bound.
func (t *Table) AddRequest(now float64, request scheduler.Request, wholeResponseTimeout float64) (rejection outcome.Response, ok bool) {
	admission := permit.Accept{
		Stopping: t.stopping,
		Open:     t.openCount,
		MaxOpen:  t.config.MaxOpenRequests,
		IDInUse:  t.records[request.ID] != nil,
	}
	if reason := admission.Reason(); reason != permit.Allowed {
		return rejections[reason], false
	}
	if request.Class < 0 || request.Class >= len(t.config.Classes) {
		t.reportFault("request %s: its class %d is not known", request.ID, request.Class)
		return outcome.Response{HTTPStatus: 500, Code: "internal", RetryIsSafe: true}, false
	}
	record := &requestRecord{class: &t.config.Classes[request.Class], addedAt: now, deadline: now + request.ClientTimeLeft}
	if wholeResponseTimeout > 0 {
		record.wholeResponseBy = now + wholeResponseTimeout - wholeResponseMargin
	}
	t.records[request.ID] = record
	t.openCount++
	t.emit(request)
	return outcome.Response{}, true
}

// rejections holds the response for each reason for which a request must not be added.
var rejections = map[permit.Reason]outcome.Response{
	permit.NodeStopping: {HTTPStatus: 503, Code: "node_draining", RetryIsSafe: true},
	permit.NodeFull:     {HTTPStatus: 429, Code: "node_full", RetryIsSafe: true},
	permit.IDInUse:      {HTTPStatus: 409, Code: "id_in_use"},
}

// wholeResponseMargin is how long before the client's timeout a response that is not streamed is cut short (s). The
// attempt has to stop before the final response can be written.
const wholeResponseMargin = 0.05

// Apply carries out one action of the scheduler. It returns false for an action that concerns the host alone (timers,
// logs, probes, polls of the endpoint list).
func (t *Table) Apply(now float64, action scheduler.Action) bool {
	switch a := action.(type) {
	case scheduler.Send:
		t.send(now, a)
	case scheduler.Cancel:
		t.cancel(a.ID, a.Attempt)
	case scheduler.Release:
		t.release(now, a.ID)
	case scheduler.Reject:
		t.respondForScheduler(now, Respond{
			ID:         a.ID,
			Response:   outcome.RejectedResponse(),
			RetryAfter: a.RetryAfter,
			Reason:     withReason("no engine could serve this in time", a.Reason),
		})
	case scheduler.Fail:
		t.respondForScheduler(now, Respond{
			ID:       a.ID,
			Response: outcome.FailedResponse(),
			Reason:   withReason("an engine may have run this; it was not tried again", a.Reason),
		})
	case scheduler.Reserve: // the host's protocols do not support reservations
		t.reportFault("request %s: a place cannot be reserved by this protocol", a.ID)
	default:
		return false
	}
	return true
}

// withReason appends the scheduler's reason to a text for the client.
func withReason(text string, reason scheduler.FailureReason) string {
	if reason == "" {
		return text
	}
	return text + ": " + string(reason)
}

// forgetIfDone removes a record whose request has ended and that has no attempt in flight. A state that is still held is
// released first: the request has ended, so no attempt can fetch it.
func (t *Table) forgetIfDone(id string, record *requestRecord) {
	if !record.response.ended() || record.inFlight > 0 || t.records[id] != record {
		return
	}
	if record.state.isHeld() {
		t.releaseHeldState(id, record)
		record.state.clear()
	}
	t.issueDeferredReleases(record)
	delete(t.records, id)
	t.issue(ForgetRequest{ID: id})
}

// StopAccepting makes AddRequest reject every further request.
func (t *Table) StopAccepting() { t.stopping = true }

// Accepting reports whether AddRequest accepts requests.
func (t *Table) Accepting() bool { return !t.stopping }

// ProbeResult passes a load report to the scheduler that was not part of the end of an attempt.
func (t *Table) ProbeResult(result scheduler.ProbeResult) { t.emit(result) }
