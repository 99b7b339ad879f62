package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// respondForScheduler ends a request with the final response that the scheduler asks for. A rejection that promises a safe
// retry becomes a failure if that promise must not be made.
func (t *Table) respondForScheduler(now float64, response Respond) {
	record := t.records[response.ID]
	if record == nil || record.response != responseQueued {
		return
	}
	reason := record.rejectPermit(now)
	if response.Response.RetryIsSafe && reason != permit.Allowed {
		if reason == permit.EffectPossible && record.possibleEffect() != nil {
			t.reportFault("refusal of %s, which may have run", response.ID)
		}
		response.Response = outcome.FailedResponse()
		response.RetryAfter = 0
	}
	t.respond(record, response)
	t.endRequest(response.ID, record, outcome.RequestEnded)
}

// rejectPermit returns why a response must not promise that a retry is safe, or permit.Allowed.
func (r *requestRecord) rejectPermit(now float64) permit.Reason {
	return permit.Reject{
		Effect:         r.class.Effect,
		DedupScope:     r.class.DedupScope,
		ProvenNotRun:   r.provenNotRun(),
		OutcomeUnknown: r.evidence.outcomeUnknown,
		ClientTimeLeft: r.deadline - now,
	}.Reason()
}

// respond issues a final response now, or once the attempt that writes to the client has ended.
func (t *Table) respond(record *requestRecord, response Respond) {
	if record.streamingAttempt() != nil {
		record.pendingResponse = &response
		return
	}
	t.issue(response)
}

// issuePendingResponse issues the final response that waited for the streaming attempt to end. It is dropped if the stream
// was completed before it could be cut.
func (t *Table) issuePendingResponse(record *requestRecord, class outcome.Classification) {
	if record.pendingResponse == nil {
		return
	}
	if class.Status != scheduler.Completed {
		t.issue(*record.pendingResponse)
	}
	record.pendingResponse = nil
}

// respondAtAttemptEnd issues the response that the client receives at the end of an attempt, and reports whether the request
// ends with the attempt. A broken stream ends the request, because the client has received a part of it.
func (t *Table) respondAtAttemptEnd(id string, record *requestRecord, a *attempt, wasStreaming bool, class outcome.Classification) bool {
	switch {
	case record.response.ended():
		return false
	case class.PassThrough:
		t.issue(PassThrough{ID: id, Attempt: a.number})
		return true
	case wasStreaming && class.Status == scheduler.Completed:
		return true
	case wasStreaming:
		t.issue(Respond{
			ID:       id,
			Response: outcome.StreamBrokenResponse(record.class.Effect, record.class.DedupScope),
			Reason:   "the engine stopped before the answer was complete",
		})
		return true
	}
	return false
}

// endRequest marks the end of a request and cancels every attempt in flight.
func (t *Table) endRequest(id string, record *requestRecord, cause outcome.Cause) {
	if record.response.ended() {
		return
	}
	record.response = record.response.end()
	t.openCount--
	t.cancelOthers(id, record, nil, cause)
	t.forgetIfDone(id, record)
}

// ClientDisconnected reports that a client has closed its connection. If only its sending side is known to be closed
// (halfClosed), it may still read, and receives a response.
func (t *Table) ClientDisconnected(now float64, id string, halfClosed bool) {
	record := t.records[id]
	if record == nil || record.response.ended() {
		return
	}
	if halfClosed {
		retryIsSafe := record.rejectPermit(now) == permit.Allowed
		t.respond(record, Respond{
			ID:       id,
			Response: outcome.Response{HTTPStatus: 400, Code: "client_closed", RetryIsSafe: retryIsSafe},
			Reason:   "the client closed its side before the answer; keep it open until then",
		})
	}
	t.emit(scheduler.ClientDisconnected{ID: id})
	t.endRequest(id, record, outcome.ClientDisconnected)
}

// DeadlineReached reports that the time returned by Deadline has been reached. The scheduler is expected to have responded by
// then; if it has not, the table responds.
func (t *Table) DeadlineReached(now float64, id string) {
	record := t.records[id]
	if record == nil || record.response.ended() {
		return
	}
	if record.response.started() {
		if record.wholeResponseBy > 0 && now >= record.wholeResponseBy {
			response := outcome.DeadlineResponse(record.class.Effect, record.class.DedupScope)
			t.respondForTable(now, id, record, response, "the answer was not whole in time")
		}
		return
	}
	t.reportFault("request %s was not answered in time by the module", id)
	t.respondForTable(now, id, record, outcome.RejectedResponse(), "no answer in time")
}

// respondForTable ends a request by the table's own decision. The scheduler is notified with a ClientDisconnected event.
func (t *Table) respondForTable(now float64, id string, record *requestRecord, response outcome.Response, reason string) {
	if response.RetryIsSafe && record.rejectPermit(now) != permit.Allowed {
		response = outcome.FailedResponse()
	}
	t.respond(record, Respond{ID: id, Response: response, Reason: reason})
	t.emit(scheduler.ClientDisconnected{ID: id})
	t.endRequest(id, record, outcome.RequestEnded)
}

// Stream is a response that an attempt streams to its client.
type Stream struct {
	ID     string
	SentAt float64 // when the attempt was sent (s)
}

// Streams returns the responses that are streaming, in the order of their request ids.
func (t *Table) Streams() []Stream {
	var streams []Stream
	for _, id := range sortedKeys(t.records) {
		record := t.records[id]
		if record.response.ended() {
			continue
		}
		if a := record.streamingAttempt(); a != nil {
			streams = append(streams, Stream{ID: id, SentAt: a.sentAt})
		}
	}
	return streams
}

// stoppingResponse is the response to requests that a stopping node ends.
var stoppingResponse = outcome.Response{HTTPStatus: 503, Code: "node_stopping", RetryIsSafe: true}

const stoppingReason = "the node is stopping"

// CutStream ends a stream, which its client can resume at another node. It does nothing to a request that is not streaming.
func (t *Table) CutStream(now float64, id string) {
	if record := t.records[id]; record != nil && record.response == responseStreaming {
		t.respondForTable(now, id, record, stoppingResponse, stoppingReason)
	}
}

// RespondToQueued ends every request whose response has not begun.
func (t *Table) RespondToQueued(now float64) { t.respondWhere(now, responseState.queued) }

// RespondToAll ends every open request: with stoppingResponse if a retry is safe, otherwise as failed. Streams end with an error.
func (t *Table) RespondToAll(now float64) { t.respondWhere(now, responseState.open) }

// respondWhere ends the requests for whose response state chosen returns true.
func (t *Table) respondWhere(now float64, chosen func(responseState) bool) {
	for _, id := range sortedKeys(t.records) {
		if record := t.records[id]; chosen(record.response) {
			t.respondForTable(now, id, record, stoppingResponse, stoppingReason)
		}
	}
}
