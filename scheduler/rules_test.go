package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
)

// ruleChecker tracks events and actions and records the first violation of a rule by the actions. It doesn't use the scheduler's
// internal state.
type ruleChecker struct {
	cfg       Config
	now       float64
	state     map[string]EngineState
	role      map[string]Role
	cell      map[string]int
	starts    map[string]int // number of times that an engine has started with another role
	requests  map[string]*trackedRequest
	violation string

	rolesChange bool // engines change their roles, so that an attempt that is sent as a prefill may run too
}

// trackedRequest is the checker's state of a request.
type trackedRequest struct {
	class              int
	deadline           float64
	ended              bool           // has its final response, or its client has disconnected
	inFlight           int            // attempts in flight
	attemptsSent       int            // also the number of the next attempt
	engineOf           map[int]string // engine of each attempt in flight, by its number
	sentAt             map[int]float64
	sentTo             map[int]incarnation // of each attempt
	mayHaveRun         bool                // an attempt may have run
	mayHaveRunSince    float64
	mayHaveRunInCell   int
	streaming          bool
	stateReserved      bool
	stateReservedSince float64
}

// incarnation identifies an engine from one change of its role to the next.
type incarnation struct {
	role   Role
	starts int
}

func newRuleChecker(cfg Config, engines []Engine) *ruleChecker {
	c := &ruleChecker{cfg: cfg, now: 1, state: map[string]EngineState{}, role: map[string]Role{}, cell: map[string]int{},
		starts: map[string]int{}, requests: map[string]*trackedRequest{}}
	for _, engine := range engines {
		c.role[engine.ID] = cfg.Kinds[engine.Kind].Role
		c.cell[engine.ID] = engine.Cell
	}
	return c
}

func (c *ruleChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %.3f: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// checkDeadlines checks that final responses and state releases that are due by now have happened.
func (c *ruleChecker) checkDeadlines() {
	for id, req := range c.requests {
		if !req.ended && !req.streaming && c.now > req.deadline+c.cfg.Rules.AnswerSlack {
			c.fail("rule 1: %s has no final response", id)
		}
		if req.stateReserved && req.inFlight == 0 && c.now > req.stateReservedSince+c.cfg.Rules.StateReleaseLimit {
			c.fail("rule 5: the state of %s is not released", id)
		}
	}
}

func (c *ruleChecker) checkActions(actions []Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			c.checkSend(action)
		case Reject:
			c.finalResponse(action.ID)
			req := c.requests[action.ID]
			if c.cfg.Classes[req.class].Effect != Idempotent && (req.mayHaveRun || req.inFlight > 0) {
				c.fail("rule 2: %s may have run and is rejected", action.ID)
			}
		case Fail:
			c.finalResponse(action.ID)
		case Release:
			c.requests[action.ID].stateReserved = false
		}
	}
}

func (c *ruleChecker) checkSend(send Send) {
	req := c.requests[send.ID]
	switch {
	case req.ended || req.streaming:
		c.fail("rule 1: %s is sent after its end", send.ID)
	case req.inFlight > 0:
		c.fail("rule 2: %s has two attempts in flight", send.ID)
	case c.state[send.Engine] != EngineReady:
		c.fail("rule 3: %s is sent to %s, which is not ready", send.ID, send.Engine)
	case req.attemptsSent >= c.cfg.Limits.MaxAttempts:
		c.fail("%s has too many attempts", send.ID)
	case req.mayHaveRun && (c.rolesChange || c.role[send.Engine] != Prefill):
		c.checkRepeat(req, send)
	}
	req.engineOf[req.attemptsSent] = send.Engine
	req.sentTo[req.attemptsSent] = incarnation{role: c.role[send.Engine], starts: c.starts[send.Engine]}
	req.sentAt[req.attemptsSent] = c.now
	req.inFlight++
	req.attemptsSent++
}

// checkRepeat checks an attempt by which an effect may happen twice. The deduplication scope of testConfig's by-key class is the cell.
func (c *ruleChecker) checkRepeat(req *trackedRequest, send Send) {
	class := c.cfg.Classes[req.class]
	switch {
	case class.Effect == AtMostOnce:
		c.fail("rule 2: %s may have run and is sent again", send.ID)
	case class.Effect == IdempotentByKey &&
		(c.now > req.mayHaveRunSince+class.DedupWindow || c.cell[send.Engine] != req.mayHaveRunInCell):
		c.fail("rule 2: %s is sent outside its scope or window", send.ID)
	}
}

func (c *ruleChecker) finalResponse(id string) {
	req := c.requests[id]
	if req.ended {
		c.fail("rule 1: %s has two final responses", id)
	}
	req.ended = true
}

// randomHost generates random valid events: engines answer, fail, drain, are removed and return, and clients disconnect.
type randomHost struct {
	*ruleChecker
	scheduler *Scheduler
	random    *rand.Rand
	engines   []Engine
	listLate  bool             // the list names a changed role later, and the host has evidence of effects
	lateLists []EndpointUpdate // lists of changed roles that have not arrived
	timers    []SetTimer
	ids       []string // of all requests
}

func newRandomHost(t *testing.T, seed int64) *randomHost {
	t.Helper()
	random := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.DecodeEnginesPrefill = random.Intn(2) == 0
	cfg.ReservationOffered = random.Intn(2) == 0
	scheduler, err := New(cfg, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	engines := append(testFleet().Engines, testEngine("m0", 2, 0), testEngine("w1b", 1, 1))
	return &randomHost{ruleChecker: newRuleChecker(cfg, engines), scheduler: scheduler, random: random, engines: engines}
}

func (h *randomHost) step(events []Event) {
	actions := h.scheduler.Step(h.now, events)
	h.checkActions(actions)
	h.timers = append(h.timers, actionsOf[SetTimer](actions)...)
}

// advance moves the time forward by a random amount. If a timer is due before that, it stops there and returns the timer's event.
func (h *randomHost) advance() []Event {
	at, due := h.now+h.random.Float64()*0.05, -1
	for i, timer := range h.timers {
		if timer.At <= at {
			at, due = timer.At, i
		}
	}
	h.now = max(h.now, at)
	if due < 0 {
		return nil
	}
	fired := TimerFired{Token: h.timers[due].Token}
	h.timers = append(h.timers[:due:due], h.timers[due+1:]...)
	return []Event{fired}
}

// events returns the random events of a step. New requests arrive only if arrivals is set.
func (h *randomHost) events(step int, arrivals bool) []Event {
	if h.rolesChange {
		switch h.random.Intn(20) {
		case 0:
			return h.changeRole()
		case 1:
			return h.lateList()
		}
	}
	switch k := h.random.Intn(20); {
	case k < 6 && arrivals:
		return []Event{h.newRequest(fmt.Sprint("q", step))}
	case k < 7:
		return []Event{h.changeEngine()}
	case k < 8 && len(h.ids) > 0:
		return h.disconnect(h.ids[h.random.Intn(len(h.ids))])
	}
	return h.endAttempts()
}

func (h *randomHost) newRequest(id string) Event {
	req := testRequest(id, h.random.Intn(3))
	req.ClientTimeLeft = 0.02 + h.random.Float64()*3
	req.PromptTokens = 100 + h.random.Float64()*4000
	h.requests[id] = &trackedRequest{class: req.Class, deadline: h.now + req.ClientTimeLeft, engineOf: map[int]string{},
		sentAt: map[int]float64{}, sentTo: map[int]incarnation{}}
	h.ids = append(h.ids, id)
	return req
}

func (h *randomHost) changeEngine() Event {
	engine := h.engines[h.random.Intn(len(h.engines))]
	engine.State = EngineState(h.random.Intn(3))
	if engine.State == EngineReady && h.random.Intn(2) == 0 {
		engine.BootTime = h.now
	}
	h.state[engine.ID] = engine.State
	return EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{engine}}
}

func (h *randomHost) disconnect(id string) []Event {
	req := h.requests[id]
	if req.ended || req.streaming {
		return nil
	}
	req.ended = true
	return []Event{ClientDisconnected{ID: id}}
}

func (h *randomHost) endAttempts() []Event {
	var events []Event
	for _, id := range h.ids {
		req := h.requests[id]
		for number := range req.attemptsSent {
			if _, inFlight := req.engineOf[number]; inFlight && h.random.Intn(8) == 0 {
				events = append(events, h.endAttempt(id, number))
			}
		}
	}
	return events
}

// endAttempt ends an attempt, or starts its stream.
func (h *randomHost) endAttempt(id string, number int) Event {
	req := h.requests[id]
	engine := req.engineOf[number]
	role := h.role[engine]
	spent := h.now - req.sentAt[number]
	if req.sentTo[number].starts != h.starts[engine] {
		return h.endLostAttempt(id, number)
	}
	if role != Prefill && !req.streaming && !req.ended && h.random.Intn(2) == 0 {
		req.streaming, req.stateReserved = true, false
		return FirstToken{ID: id, Attempt: number, Engine: engine, Spent: spent}
	}
	delete(req.engineOf, number)
	req.inFlight--
	outcome := Outcome{ID: id, Attempt: number, Engine: engine, Spent: spent, RequestEnded: req.ended || req.streaming}
	switch {
	case req.streaming:
		outcome.Status = Completed
		req.ended = true
	case role == Prefill && h.random.Intn(4) > 0:
		outcome.Status = Prefilled
		req.stateReserved, req.stateReservedSince = true, h.now
	default:
		outcome.Status = h.failAttempt(req, number, engine)
		outcome.Effect = h.effectEvidence(role, outcome.Status)
	}
	return outcome
}

// effectEvidence returns the evidence of a host about a failed attempt at an engine of a role.
func (h *randomHost) effectEvidence(role Role, status Status) EffectEvidence {
	switch {
	case !h.listLate:
		return EffectByStatus
	case status == Rejected || status == ConnectFailed:
		return EffectExcluded
	case role == Prefill && h.random.Intn(2) == 0:
		return EffectExcluded
	}
	return EffectPossible
}

// endLostAttempt ends an attempt whose engine has started with another role since it was sent.
func (h *randomHost) endLostAttempt(id string, number int) Event {
	req := h.requests[id]
	engine, role := req.engineOf[number], req.sentTo[number].role
	if role == Prefill && h.random.Intn(2) == 0 {
		role = h.role[engine] // the request arrived after the start
	}
	outcome := Outcome{ID: id, Attempt: number, Engine: engine, Spent: h.now - req.sentAt[number], Status: ConnectionLost,
		RequestEnded: req.ended || req.streaming, Effect: h.effectEvidence(role, ConnectionLost)}
	delete(req.engineOf, number)
	req.inFlight--
	req.stateReservedSince = h.now
	if req.streaming {
		req.ended = true
	}
	if role == Prefill {
		req.stateReserved = false
	} else {
		h.trackEffect(req, number, engine)
	}
	return outcome
}

// trackEffect records that an attempt may have run.
func (h *randomHost) trackEffect(req *trackedRequest, number int, engine string) {
	if !req.mayHaveRun {
		req.mayHaveRun = true
		req.mayHaveRunSince = req.sentAt[number]
		req.mayHaveRunInCell = h.cell[engine]
	}
}

// changeRole starts an engine with another role and returns the list that says so, at once or, with listLate, some steps later.
func (h *randomHost) changeRole() []Event {
	i := h.random.Intn(len(h.engines))
	engine := &h.engines[i]
	engine.Kind = (engine.Kind + 1 + h.random.Intn(2)) % len(h.cfg.Kinds)
	engine.BootTime = h.now
	h.role[engine.ID] = h.cfg.Kinds[engine.Kind].Role
	h.starts[engine.ID]++
	update := EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{*engine}}
	if h.listLate {
		h.lateLists = append(h.lateLists, update)
		return nil
	}
	h.state[engine.ID] = engine.State
	return []Event{update}
}

// lateList returns the oldest list that has not arrived.
func (h *randomHost) lateList() []Event {
	if len(h.lateLists) == 0 {
		return nil
	}
	update := h.lateLists[0]
	h.lateLists = h.lateLists[1:]
	h.state[update.Engines[0].ID] = update.Engines[0].State
	return []Event{update}
}

// failAttempt draws the status of an attempt that fails, and tracks its effect.
func (h *randomHost) failAttempt(req *trackedRequest, number int, engine string) Status {
	statuses := []Status{ServerError, TimedOut, ConnectionLost, Canceled, ConnectFailed, Rejected}
	status := statuses[h.random.Intn(len(statuses))]
	req.stateReservedSince = h.now
	if h.role[engine] == Prefill {
		req.stateReserved = false
		return status
	}
	if status != Rejected && status != ConnectFailed {
		h.trackEffect(req, number, engine)
	}
	return status
}

func checkRulesOnRandomEvents(t *testing.T, seed int64, steps int) {
	t.Helper()
	newRandomHost(t, seed).checkRules(t, seed, steps)
}

// checkRules runs steps of random events and requires that no rule is broken.
func (h *randomHost) checkRules(t *testing.T, seed int64, steps int) {
	t.Helper()
	h.step([]Event{listOf(h.engines...)})
	for i := 0; i < steps && h.violation == ""; i++ {
		events := append(h.advance(), h.events(i, i < steps*3/4)...)
		if len(events) > 0 {
			h.step(events)
		}
		h.checkDeadlines()
	}
	if h.violation != "" {
		t.Fatalf("seed %d: %s", seed, h.violation)
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		checkRulesOnRandomEvents(t, seed, 400)
	}
}

// Engines change their roles at any time, and the list says so at once or later. What an attempt may have done was judged by the role that
// the list named when the attempt ended, and a request that must never run twice was sent again.
func TestRulesHoldWhileEnginesChangeRoles(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		for _, listLate := range []bool{false, true} {
			h := newRandomHost(t, seed)
			h.rolesChange, h.listLate = true, listLate
			h.checkRules(t, seed, 400)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { checkRulesOnRandomEvents(t, seed, 200) })
}
