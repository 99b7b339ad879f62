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

// propertyWorld drives a table with a scheduler that asks for anything and sockets on which anything happens, and checks each
// command and event against a model of its own.
type propertyWorld struct {
	t        *rapid.T
	table    *Table
	now      float64
	ids      []string
	requests map[string]*modelRequest
}

// modelRequest is what the model knows of a request.
type modelRequest struct {
	class           int
	sends           int // Send actions while the request was in the table
	outcomesOwed    map[int]bool
	inFlight        map[int]StartAttempt
	states          map[int]bool // states that engines hold, by the attempt that made them
	responses       int          // final responses given to the client
	grants          int
	grantedAttempt  int
	possibleEffects int // decode attempts that may have run
	disconnected    bool
}

func newPropertyWorld(t *rapid.T) *propertyWorld {
	return &propertyWorld{t: t, table: newTable(), now: 1, requests: map[string]*modelRequest{}}
}

// checkCommands drains the events and commands and checks each.
func (w *propertyWorld) checkCommands() {
	events, commands := w.table.Drain()
	for _, event := range events {
		if o, ok := event.(scheduler.Outcome); ok {
			w.checkOutcome(o)
		}
	}
	for _, command := range commands {
		w.checkCommand(command)
	}
	if err := w.table.Audit(); err != nil {
		w.t.Fatal(err)
	}
}

// checkOutcome requires one outcome for each send.
func (w *propertyWorld) checkOutcome(o scheduler.Outcome) {
	request := w.requests[o.ID]
	if !request.outcomesOwed[o.Attempt] {
		w.t.Fatalf("outcome of attempt %d of %s: got a second one, or one without a send", o.Attempt, o.ID)
	}
	delete(request.outcomesOwed, o.Attempt)
}

func (w *propertyWorld) checkCommand(command Command) {
	switch c := command.(type) {
	case StartAttempt:
		w.checkStart(c)
	case GrantResponse:
		if !c.Granted {
			return
		}
		request := w.requests[c.ID]
		request.grantedAttempt = c.Attempt
		request.grants++
		if request.grants > 1 {
			w.t.Fatalf("%s: got %d grants, want 1", c.ID, request.grants)
		}
	case Respond:
		w.checkResponse(c)
	case PassThrough:
		w.requests[c.ID].responses++
	case ReleaseState:
		delete(w.requests[c.ID].states, c.Attempt)
	case ForgetRequest:
		w.checkForget(c)
	}
}

// checkStart requires that no attempt starts after the end of its request, and none of an at-most-once request that may have
// run.
func (w *propertyWorld) checkStart(c StartAttempt) {
	request := w.requests[c.ID]
	if request.responses > 0 || request.disconnected {
		w.t.Fatalf("%s is sent to %s after its end", c.ID, c.Engine)
	}
	if c.Stage == outcome.Decode {
		if classes()[request.class].Effect == scheduler.AtMostOnce && request.possibleEffects > 0 {
			w.t.Fatalf("%s may run twice", c.ID)
		}
		request.possibleEffects++ // until its end proves otherwise
	}
	request.inFlight[c.Attempt] = c
}

// checkResponse requires one final response, and none that calls a retry safe where an at-most-once request may have run.
func (w *propertyWorld) checkResponse(c Respond) {
	request := w.requests[c.ID]
	request.responses++
	if c.Response.RetryIsSafe && classes()[request.class].Effect == scheduler.AtMostOnce && request.possibleEffects > 0 {
		w.t.Fatalf("%s may have run and its client is told that a retry is safe: %+v", c.ID, c)
	}
	if request.responses > 1 {
		w.t.Fatalf("%s: got %d final responses, want 1", c.ID, request.responses)
	}
}

// checkForget requires that nothing is left of a request that is forgotten.
func (w *propertyWorld) checkForget(c ForgetRequest) {
	request := w.requests[c.ID]
	if len(request.inFlight) > 0 {
		w.t.Fatalf("%s is forgotten with attempts in flight: %v", c.ID, request.inFlight)
	}
	if len(request.states) > 0 {
		w.t.Fatalf("%s is forgotten with states held: %v", c.ID, request.states)
	}
	if request.responses == 0 && !request.disconnected {
		w.t.Fatalf("%s is forgotten without a response", c.ID)
	}
}

// addRequest adds a request, which the table rejects if it is full.
func (w *propertyWorld) addRequest() {
	id := fmt.Sprint("q", len(w.ids))
	class := rapid.IntRange(0, 3).Draw(w.t, "class")
	w.requests[id] = &modelRequest{class: class, outcomesOwed: map[int]bool{}, inFlight: map[int]StartAttempt{}, states: map[int]bool{}}
	timeout := rapid.SampledFrom([]float64{0, 6}).Draw(w.t, "whole response timeout")
	if _, ok := w.table.AddRequest(w.now, newRequest(id, class), timeout); ok {
		w.ids = append(w.ids, id)
	}
}

func (w *propertyWorld) send(id string) {
	engine := rapid.SampledFrom([]string{"r0", "r1", "w0", "w1", "nobody"}).Draw(w.t, "engine")
	request := w.requests[id]
	if w.table.records[id] != nil {
		request.outcomesOwed[request.sends] = true
		request.sends++
	}
	w.table.Apply(w.now, scheduler.Send{ID: id, Engine: engine})
}

// drawInFlight draws an attempt in flight; ok is false if there is none.
func (w *propertyWorld) drawInFlight(id string) (start StartAttempt, ok bool) {
	var inFlight []StartAttempt
	for n := range maxSends {
		if s, ok := w.requests[id].inFlight[n]; ok {
			inFlight = append(inFlight, s)
		}
	}
	if len(inFlight) == 0 {
		return StartAttempt{}, false
	}
	return rapid.SampledFrom(inFlight).Draw(w.t, "attempt"), true
}

// drawEnd draws an end of an attempt that its progress allows.
func (w *propertyWorld) drawEnd(request *modelRequest, start StartAttempt) outcome.Evidence {
	evidence := outcome.Evidence{
		Stage:    start.Stage,
		Cause:    outcome.Cause(rapid.IntRange(0, int(outcome.ClientDisconnected)).Draw(w.t, "cause")),
		Progress: outcome.Progress(rapid.IntRange(int(outcome.Connecting), int(outcome.HeaderReceived)).Draw(w.t, "progress")),
	}
	if evidence.Cause != outcome.ResponseComplete {
		return evidence
	}
	evidence.Progress = outcome.HeaderReceived
	evidence.ResponseKind = outcome.ResponseKind(rapid.IntRange(int(outcome.EngineError), int(outcome.InvalidRequest)).Draw(w.t, "kind"))
	granted := request.grants > 0 && request.grantedAttempt == start.Attempt
	if !granted && evidence.ResponseKind == outcome.DecodeDone && start.Stage == outcome.Decode {
		evidence.ResponseKind = outcome.EngineRejected // a stream is never complete before its first token
	}
	return evidence
}

// endAttempt ends an attempt in flight.
func (w *propertyWorld) endAttempt(id string) {
	start, ok := w.drawInFlight(id)
	if !ok {
		return
	}
	request := w.requests[id]
	evidence := w.drawEnd(request, start)
	class := outcome.Classify(evidence)
	streamed := start.Stage == outcome.Decode && class.Status == scheduler.Completed && !class.PassThrough
	if start.Stage == outcome.Decode && !class.MayHaveRun && class.Status != scheduler.Completed {
		request.possibleEffects--
	}
	if start.Stage == outcome.Prefill && (class.Status == scheduler.Prefilled || class.MayHoldState) {
		request.states[start.Attempt] = true
	}
	if start.Stage == outcome.Decode && start.FetchState && (class.Info == 1 || streamed) {
		delete(request.states, start.StateAttempt)
	}
	delete(request.inFlight, start.Attempt)
	if streamed {
		request.responses++ // it was passed on as it came
	}
	if evidence.Cause == outcome.ClientDisconnected {
		request.disconnected = true
		w.table.ClientDisconnected(w.now, id, false)
	}
	w.table.AttemptEnded(w.now, id, start.Attempt, evidence, nil)
}

// firstToken reports the first token of a decode attempt in flight.
func (w *propertyWorld) firstToken(id string) {
	start, ok := w.drawInFlight(id)
	if !ok || start.Stage != outcome.Decode {
		return
	}
	request := w.requests[id]
	before := request.grants
	w.table.FirstToken(w.now, id, start.Attempt)
	w.checkCommands()
	if request.grants > before && start.FetchState { // the fetch is complete
		delete(request.states, start.StateAttempt)
	}
}

// otherAction applies an action of the scheduler that sends nothing.
func (w *propertyWorld) otherAction(id string) {
	w.table.Apply(w.now, rapid.SampledFrom([]scheduler.Action{
		scheduler.Reject{ID: id},
		scheduler.Fail{ID: id},
		scheduler.Release{ID: id},
		scheduler.Cancel{ID: id, Attempt: 0},
		scheduler.Cancel{ID: id, Attempt: 1},
	}).Draw(w.t, "action"))
}

func (w *propertyWorld) disconnect(id string) {
	request := w.requests[id]
	if request.responses == 0 {
		request.disconnected = true
	}
	w.table.ClientDisconnected(w.now, id, rapid.Bool().Draw(w.t, "half closed"))
}

func (w *propertyWorld) deadlineReached(id string) { w.table.DeadlineReached(w.now, id) }

func (w *propertyWorld) updateEndpoint(string) {
	state := rapid.SampledFrom([]scheduler.EngineState{scheduler.EngineReady, scheduler.EngineDraining}).Draw(w.t, "state")
	w.table.UpdateEndpoints(w.now, scheduler.EndpointUpdate{Form: scheduler.UpdateIncremental,
		Engines: []scheduler.Engine{{ID: "w0", Kind: 1, State: state}}})
}

// step does one thing. The first choice adds a request; sends and ends of attempts are drawn three times as often as others.
func (w *propertyWorld) step() {
	operations := []func(id string){w.send, w.send, w.send, w.endAttempt, w.endAttempt, w.endAttempt, w.firstToken, w.otherAction,
		w.disconnect, w.deadlineReached, w.updateEndpoint}
	w.now += rapid.Float64Range(0, 0.3).Draw(w.t, "seconds passed")
	operation := rapid.IntRange(0, len(operations)).Draw(w.t, "operation")
	if operation == 0 || len(w.ids) == 0 {
		w.addRequest()
	} else {
		operations[operation-1](rapid.SampledFrom(w.ids).Draw(w.t, "id"))
	}
	w.checkCommands()
}

// finish ends every request and attempt, and requires that the table is empty then and owes no outcome.
func (w *propertyWorld) finish() {
	w.table.StopAccepting()
	w.table.RespondToAll(w.now)
	w.checkCommands()
	for _, id := range w.ids {
		for n := range maxSends {
			if _, ok := w.requests[id].inFlight[n]; !ok {
				continue
			}
			delete(w.requests[id].inFlight, n)
			w.table.AttemptEnded(w.now, id, n, outcome.Evidence{Progress: outcome.Connected, Cause: outcome.RequestEnded}, nil)
			w.checkCommands()
		}
	}
	if w.table.Len() != 0 || w.table.OpenRequests() != 0 {
		w.t.Fatalf("got %d records, %d open requests at the end, want none", w.table.Len(), w.table.OpenRequests())
	}
	for _, id := range w.ids {
		if owed := w.requests[id].outcomesOwed; len(owed) > 0 {
			w.t.Fatalf("%s: the scheduler got no outcome of the attempts %v", id, owed)
		}
	}
}

// Whatever the scheduler asks for and the sockets report, in whatever order, the table keeps the rules.
func TestTableKeepsRulesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPropertyWorld(t)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			w.step()
		}
		w.finish()
	})
}
