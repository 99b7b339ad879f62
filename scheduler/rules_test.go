package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
)

// ruleChecker follows events and actions and tells the first rule that the actions break. It knows nothing of the
// router's own books.
type ruleChecker struct {
	cfg       Config
	now       float64
	state     map[string]EngineState
	role      map[string]Role
	cell      map[string]int
	requests  map[string]*trackedRequest
	violation string
}

type trackedRequest struct {
	class            int
	deadline         float64
	final            bool // answered, or the client has it
	inFlight         int  // attempts out
	attemptsSent     int
	engineOf         map[int]string // attempt -> engine
	sentAt           map[int]float64
	mayHaveRun       bool // an attempt may have run
	mayHaveRunSince  float64
	mayHaveRunInCell int
	streaming        bool
	stateHeld        bool
	stateHeldSince   float64
}

func (c *ruleChecker) fail(format string, args ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf("at %.3f: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// checkDeadlines checks what must have happened by now.
func (c *ruleChecker) checkDeadlines() {
	for id, q := range c.requests {
		if !q.final && !q.streaming && c.now > q.deadline+c.cfg.Rules.AnswerSlack {
			c.fail("rule 1: %s has no answer", id)
		}
		if q.stateHeld && q.inFlight == 0 && c.now > q.stateHeldSince+c.cfg.Rules.StateReleaseLimit {
			c.fail("rule 5: %s pins a state", id)
		}
	}
}

func (c *ruleChecker) checkActions(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			q := c.requests[a.ID]
			k := c.cfg.Classes[q.class]
			switch {
			case q.final || q.streaming:
				c.fail("rule 1: %s is sent on after its end", a.ID)
			case q.inFlight > 0:
				c.fail("rule 2: %s has two attempts out", a.ID)
			case c.state[a.Engine] != EngineReady:
				c.fail("rule 3: %s goes to %s, which is not ready", a.ID, a.Engine)
			case q.attemptsSent >= c.cfg.Limits.MaxAttempts:
				c.fail("%s has too many attempts", a.ID)
			case q.mayHaveRun && c.role[a.Engine] != Prefill && k.Effect == AtMostOnce:
				c.fail("rule 2: %s may have run and is sent again", a.ID)
			case q.mayHaveRun && c.role[a.Engine] != Prefill && k.Effect == IdempotentByKey &&
				(c.now > q.mayHaveRunSince+k.DedupWindow || c.cell[a.Engine] != q.mayHaveRunInCell):
				c.fail("rule 2: %s is sent outside its group or time", a.ID)
			}
			q.engineOf[q.attemptsSent], q.sentAt[q.attemptsSent] = a.Engine, c.now
			q.inFlight++
			q.attemptsSent++
		case Reject:
			c.finalResponse(a.ID)
			q := c.requests[a.ID]
			if c.cfg.Classes[q.class].Effect != Idempotent && (q.mayHaveRun || q.inFlight > 0) {
				c.fail("rule 2: %s may have run and is refused", a.ID)
			}
		case Fail:
			c.finalResponse(a.ID)
		case Release:
			c.requests[a.ID].stateHeld = false
		}
	}
}

func (c *ruleChecker) finalResponse(id string) {
	if q := c.requests[id]; q.final {
		c.fail("rule 1: %s has two answers", id)
	} else {
		q.final = true
	}
}

// randomHost makes random legal events: engines that answer, fail, drain, leave and return, clients that go.
type randomHost struct {
	*ruleChecker
	scheduler *Scheduler
	rnd       *rand.Rand
	timers    []SetTimer
	ids       []string
}

func (w *randomHost) step(evs []Event) {
	acts := w.scheduler.Step(w.now, evs)
	w.checkActions(acts)
	w.timers = append(w.timers, actionsOf[SetTimer](acts)...)
}

// endAttempt ends a random attempt, or starts its stream.
func (w *randomHost) endAttempt(id string, n int) Event {
	q := w.requests[id]
	e := q.engineOf[n]
	if w.role[e] != Prefill && !q.streaming && !q.final && w.rnd.Intn(2) == 0 {
		q.streaming, q.stateHeld = true, false
		return FirstToken{ID: id, Attempt: n, Engine: e, Spent: w.now - q.sentAt[n]}
	}
	delete(q.engineOf, n)
	q.inFlight--
	o := Outcome{ID: id, Attempt: n, Engine: e, Spent: w.now - q.sentAt[n], Closed: q.final || q.streaming}
	bad := []Status{ServerError, TimedOut, ConnectionLost, Canceled, ConnectFailed, Rejected}
	switch {
	case q.streaming:
		o.Status = Completed
		q.final = true
	case w.role[e] == Prefill && w.rnd.Intn(4) > 0:
		o.Status = Prefilled
		q.stateHeld, q.stateHeldSince = true, w.now
	default:
		o.Status = bad[w.rnd.Intn(len(bad))]
		if w.role[e] != Prefill && o.Status <= ConnectionLost && o.Status != Rejected && o.Status != ConnectFailed ||
			w.role[e] != Prefill && o.Status == Canceled {
			if !q.mayHaveRun {
				q.mayHaveRun, q.mayHaveRunSince, q.mayHaveRunInCell = true, q.sentAt[n], w.cell[e]
			}
		}
		q.stateHeldSince = w.now
		if w.role[e] == Prefill {
			q.stateHeld = false
		}
	}
	return o
}

func checkRulesOnRandomEvents(t *testing.T, seed int64, steps int) {
	rnd := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.DecodeEnginesPrefill, cfg.ReservationOffered = rnd.Intn(2) == 0, rnd.Intn(2) == 0
	r, err := New(cfg, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	c := &ruleChecker{cfg: cfg, now: 1, state: map[string]EngineState{}, role: map[string]Role{}, cell: map[string]int{},
		requests: map[string]*trackedRequest{}}
	w := &randomHost{ruleChecker: c, scheduler: r, rnd: rnd}
	m := testFleet()
	m.Engines = append(m.Engines, testEngine("m0", 2, 0), testEngine("w1b", 1, 1))
	for _, e := range m.Engines {
		c.role[e.ID], c.cell[e.ID] = cfg.Kinds[e.Kind].Role, e.Cell
	}
	w.step([]Event{m})
	for i := 0; i < steps && c.violation == ""; i++ {
		var evs []Event
		at, due := c.now+rnd.Float64()*0.05, -1
		for j, tm := range w.timers {
			if tm.At <= at {
				at, due = tm.At, j
			}
		}
		c.now = max(c.now, at)
		if due >= 0 {
			evs = append(evs, TimerFired{w.timers[due].Token})
			w.timers = append(w.timers[:due:due], w.timers[due+1:]...)
		}
		switch k := rnd.Intn(20); {
		case k < 6 && i < steps*3/4:
			q := testRequest(fmt.Sprint("q", i), rnd.Intn(3))
			q.ClientTimeLeft, q.PromptTokens = 0.02+rnd.Float64()*3, 100+rnd.Float64()*4000
			c.requests[q.ID] = &trackedRequest{class: q.Class, deadline: c.now + q.ClientTimeLeft, engineOf: map[int]string{},
				sentAt: map[int]float64{}}
			w.ids = append(w.ids, q.ID)
			evs = append(evs, q)
		case k < 7:
			e := m.Engines[rnd.Intn(len(m.Engines))]
			e.State = EngineState(rnd.Intn(3))
			if e.State == EngineReady && rnd.Intn(2) == 0 {
				e.BootTime = c.now
			}
			c.state[e.ID] = e.State
			evs = append(evs, EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{e}})
		case k < 8 && len(w.ids) > 0:
			id := w.ids[rnd.Intn(len(w.ids))]
			if q := c.requests[id]; !q.final && !q.streaming {
				q.final = true
				evs = append(evs, ClientDisconnected{id})
			}
		default:
			for _, id := range w.ids {
				q := c.requests[id]
				for n := 0; n < q.attemptsSent; n++ {
					if _, out := q.engineOf[n]; out && rnd.Intn(8) == 0 {
						evs = append(evs, w.endAttempt(id, n))
					}
				}
			}
		}
		if len(evs) > 0 {
			w.step(evs)
		}
		c.checkDeadlines()
	}
	if c.violation != "" {
		t.Fatalf("seed %d: %s", seed, c.violation)
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		checkRulesOnRandomEvents(t, seed, 400)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { checkRulesOnRandomEvents(t, seed, 200) })
}
