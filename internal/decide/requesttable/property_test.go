package requesttable

import (
	"fmt"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"

	"pgregory.net/rapid"
)

// maxSends bounds the attempt numbers of one request in a run of the property test.
const maxSends = 200

// propertyHarness drives a table with random actions of the scheduler and random events on sockets, and checks each command
// and event against a model.
type propertyHarness struct {
	t        *rapid.T
	table    *Table
	now      float64
	ids      []string
	requests map[string]*modelRequest
}

// modelRequest is what the model knows about a request.
type modelRequest struct {
	class           int
	sends           int // Send actions while the request was in the table
	pendingOutcomes map[int]bool
	inFlight        map[int]StartAttempt
	states          map[int]bool // states that engines hold, by the attempt that made them
	responses       int          // final responses given to the client
	grants          int
	grantedAttempt  int
	possibleEffects int // attempts that may have run
	disconnected    bool
}

func newPropertyHarness(t *rapid.T) *propertyHarness {
	return &propertyHarness{t: t, table: newTable(), now: 1, requests: map[string]*modelRequest{}}
}

// checkCommands drains the events and commands and checks each.
func (h *propertyHarness) checkCommands() {
	events, commands := h.table.Drain(h.now)
	for _, event := range events {
		if o, ok := event.(scheduler.Outcome); ok {
			h.checkOutcome(o)
		}
	}
	for _, command := range commands {
		h.checkCommand(command)
	}
	if err := h.table.Audit(); err != nil {
		h.t.Fatal(err)
	}
}

// checkOutcome requires one outcome for each send.
func (h *propertyHarness) checkOutcome(o scheduler.Outcome) {
	request := h.requests[o.ID]
	if !request.pendingOutcomes[o.Attempt] {
		h.t.Fatalf("outcome of attempt %d of %s: got a second one, or one without a send", o.Attempt, o.ID)
	}
	delete(request.pendingOutcomes, o.Attempt)
}

func (h *propertyHarness) checkCommand(command Command) {
	switch c := command.(type) {
	case StartAttempt:
		h.checkStart(c)
	case GrantResponse:
		if !c.Granted {
			return
		}
		request := h.requests[c.ID]
		request.grantedAttempt = c.Attempt
		request.grants++
		if request.grants > 1 {
			h.t.Fatalf("%s: got %d grants, want 1", c.ID, request.grants)
		}
	case Respond:
		h.checkResponse(c)
	case PassThrough:
		h.requests[c.ID].responses++
	case ReleaseState:
		delete(h.requests[c.ID].states, c.Attempt)
	case ForgetRequest:
		h.checkForget(c)
	}
}

// checkStart requires that no attempt starts after the end of its request, and none of an at-most-once request that may have
// run.
func (h *propertyHarness) checkStart(c StartAttempt) {
	request := h.requests[c.ID]
	if request.responses > 0 || request.disconnected {
		h.t.Fatalf("%s is sent to %s after the request has ended", c.ID, c.Engine)
	}
	if classes()[request.class].Effect == scheduler.AtMostOnce && request.possibleEffects > 0 {
		h.t.Fatalf("%s may run twice", c.ID)
	}
	request.possibleEffects++ // undone if the end of the attempt proves that it has not run
	request.inFlight[c.Attempt] = c
}

// checkResponse requires at most one final response, and none that promises a safe retry of an at-most-once request that may
// have run.
func (h *propertyHarness) checkResponse(c Respond) {
	request := h.requests[c.ID]
	request.responses++
	if c.Response.RetryIsSafe && classes()[request.class].Effect == scheduler.AtMostOnce && request.possibleEffects > 0 {
		h.t.Fatalf("%s may have run, but the response promises a safe retry: %+v", c.ID, c)
	}
	if request.responses > 1 {
		h.t.Fatalf("%s: got %d final responses, want 1", c.ID, request.responses)
	}
}

// checkForget requires that a forgotten request has had a response, or its client has disconnected, and that it has no attempt
// in flight and no held state.
func (h *propertyHarness) checkForget(c ForgetRequest) {
	request := h.requests[c.ID]
	if len(request.inFlight) > 0 {
		h.t.Fatalf("%s is forgotten with attempts in flight: %v", c.ID, request.inFlight)
	}
	if len(request.states) > 0 {
		h.t.Fatalf("%s is forgotten with states held: %v", c.ID, request.states)
	}
	if request.responses == 0 && !request.disconnected {
		h.t.Fatalf("%s is forgotten without a response", c.ID)
	}
}

// addRequest adds a request of a random class, which the table rejects if it is full.
func (h *propertyHarness) addRequest() {
	id := fmt.Sprint("q", len(h.ids))
	class := rapid.IntRange(0, 3).Draw(h.t, "class")
	h.requests[id] = &modelRequest{class: class, pendingOutcomes: map[int]bool{}, inFlight: map[int]StartAttempt{}, states: map[int]bool{}}
	timeout := rapid.SampledFrom([]float64{0, 6}).Draw(h.t, "whole response timeout")
	if _, ok := h.table.AddRequest(h.now, newRequest(id, class), timeout); ok {
		h.ids = append(h.ids, id)
	}
}

func (h *propertyHarness) send(id string) {
	engine := rapid.SampledFrom([]string{"r0", "r1", "w0", "w1", "nobody"}).Draw(h.t, "engine")
	request := h.requests[id]
	if h.table.records[id] != nil {
		request.pendingOutcomes[request.sends] = true
		request.sends++
	}
	h.table.Apply(h.now, scheduler.Send{ID: id, Engine: engine})
}

// drawInFlight draws an attempt in flight; ok is false if there is none.
func (h *propertyHarness) drawInFlight(id string) (start StartAttempt, ok bool) {
	var inFlight []StartAttempt
	for n := range maxSends {
		if s, ok := h.requests[id].inFlight[n]; ok {
			inFlight = append(inFlight, s)
		}
	}
	if len(inFlight) == 0 {
		return StartAttempt{}, false
	}
	return rapid.SampledFrom(inFlight).Draw(h.t, "attempt"), true
}

// drawEnd draws the end of an attempt that is possible in its state.
func (h *propertyHarness) drawEnd(request *modelRequest, start StartAttempt) outcome.Evidence {
	evidence := outcome.Evidence{
		Stage:    start.Stage,
		Cause:    outcome.Cause(rapid.IntRange(0, int(outcome.ClientDisconnected)).Draw(h.t, "cause")),
		Progress: outcome.Progress(rapid.IntRange(int(outcome.Connecting), int(outcome.HeaderReceived)).Draw(h.t, "progress")),

		PrefillProcess: rapid.Bool().Draw(h.t, "prefill process"),
	}
	evidence.DecodeHeader = evidence.Progress == outcome.HeaderReceived && rapid.Bool().Draw(h.t, "decode header")
	if evidence.Cause != outcome.ResponseComplete {
		return evidence
	}
	evidence.Progress = outcome.HeaderReceived
	evidence.ResponseKind = outcome.ResponseKind(rapid.IntRange(int(outcome.EngineError), int(outcome.InvalidRequest)).Draw(h.t, "kind"))
	if !request.granted(start) && evidence.ResponseKind == outcome.DecodeDone {
		evidence.ResponseKind = outcome.EngineRejected // a stream is never complete before its first token
	}
	return evidence
}

// granted reports whether the response was granted to an attempt.
func (r *modelRequest) granted(start StartAttempt) bool {
	return r.grants > 0 && r.grantedAttempt == start.Attempt
}

// endAttempt ends an attempt in flight.
func (h *propertyHarness) endAttempt(id string) {
	start, ok := h.drawInFlight(id)
	if !ok {
		return
	}
	request := h.requests[id]
	evidence := h.drawEnd(request, start)
	known := evidence
	if request.granted(start) {
		known.Stage, known.Progress = outcome.Decode, outcome.Streaming
	}
	class := outcome.Classify(known)
	streamed := known.Stage == outcome.Decode && class.Status == scheduler.Completed && !class.PassThrough
	if !class.MayHaveRun && class.Status != scheduler.Completed {
		request.possibleEffects--
	}
	if class.Status == scheduler.Prefilled || class.MayHoldState {
		request.states[start.Attempt] = true
	}
	if start.Stage == outcome.Decode && start.FetchState && (class.Info == 1 || streamed) {
		delete(request.states, start.StateAttempt)
	}
	delete(request.inFlight, start.Attempt)
	if streamed {
		request.responses++ // the response was streamed to the client
	}
	if evidence.Cause == outcome.ClientDisconnected {
		request.disconnected = true
		h.table.ClientDisconnected(h.now, id, false)
	}
	h.table.AttemptEnded(h.now, id, start.Attempt, evidence, nil)
}

// firstToken reports the first token of an attempt in flight. It may be a prefill, whose engine has become one that decodes.
func (h *propertyHarness) firstToken(id string) {
	start, ok := h.drawInFlight(id)
	if !ok {
		return
	}
	request := h.requests[id]
	before := request.grants
	h.table.FirstToken(h.now, id, start.Attempt)
	h.checkCommands()
	if request.grants > before && start.FetchState { // the fetch is complete
		delete(request.states, start.StateAttempt)
	}
}

// otherAction applies a random action of the scheduler other than Send.
func (h *propertyHarness) otherAction(id string) {
	h.table.Apply(h.now, rapid.SampledFrom([]scheduler.Action{
		scheduler.Reject{ID: id},
		scheduler.Fail{ID: id},
		scheduler.Release{ID: id},
		scheduler.Cancel{ID: id, Attempt: 0},
		scheduler.Cancel{ID: id, Attempt: 1},
	}).Draw(h.t, "action"))
}

func (h *propertyHarness) disconnect(id string) {
	request := h.requests[id]
	if request.responses == 0 {
		request.disconnected = true
	}
	h.table.ClientDisconnected(h.now, id, rapid.Bool().Draw(h.t, "half closed"))
}

func (h *propertyHarness) deadlineReached(id string) { h.table.DeadlineReached(h.now, id) }

func (h *propertyHarness) updateEndpoint(string) {
	state := rapid.SampledFrom([]scheduler.EngineState{scheduler.EngineReady, scheduler.EngineDraining}).Draw(h.t, "state")
	h.table.UpdateEndpoints(h.now, scheduler.EndpointUpdate{Form: scheduler.UpdateIncremental,
		Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: state}}})
}

// step performs one random operation. The first one adds a request. Sends and ends of attempts are three times as likely as
// each other operation.
func (h *propertyHarness) step() {
	operations := []func(id string){h.send, h.send, h.send, h.endAttempt, h.endAttempt, h.endAttempt, h.firstToken, h.otherAction,
		h.disconnect, h.deadlineReached, h.updateEndpoint}
	h.now += rapid.Float64Range(0, 0.3).Draw(h.t, "seconds passed")
	operation := rapid.IntRange(0, len(operations)).Draw(h.t, "operation")
	if operation == 0 || len(h.ids) == 0 {
		h.addRequest()
	} else {
		operations[operation-1](rapid.SampledFrom(h.ids).Draw(h.t, "id"))
	}
	h.checkCommands()
}

// finish ends every request and attempt, and requires that the table is then empty and has emitted every outcome.
func (h *propertyHarness) finish() {
	h.table.StopAccepting()
	h.table.RespondToAll(h.now)
	h.checkCommands()
	for _, id := range h.ids {
		for n := range maxSends {
			if _, ok := h.requests[id].inFlight[n]; !ok {
				continue
			}
			delete(h.requests[id].inFlight, n)
			h.table.AttemptEnded(h.now, id, n, outcome.Evidence{Progress: outcome.Connected, Cause: outcome.RequestEnded}, nil)
			h.checkCommands()
		}
	}
	if h.table.Len() != 0 || h.table.OpenRequests() != 0 {
		h.t.Fatalf("got %d records, %d open requests at the end, want none", h.table.Len(), h.table.OpenRequests())
	}
	for _, id := range h.ids {
		if pending := h.requests[id].pendingOutcomes; len(pending) > 0 {
			h.t.Fatalf("%s: the scheduler got no outcome for the attempts %v", id, pending)
		}
	}
}

// The table complies with the rules for any actions of the scheduler and any events on sockets, in any order.
func TestTableCompliesWithRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newPropertyHarness(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.step()
		}
		h.finish()
	})
}
