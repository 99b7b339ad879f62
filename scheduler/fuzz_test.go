package scheduler

import (
	"fmt"
	"math/rand"
	"testing"
)

// checker follows events and actions and tells the first rule that the actions break. It knows nothing of the
// router's own books.
type checker struct {
	cfg   Config
	now   float64
	state map[string]EngineState
	role  map[string]Role
	cell  map[string]int
	reqs  map[string]*tracked
	err   string
}

type tracked struct {
	class    int
	deadline float64
	final    bool // answered, or the client has it
	out      int  // attempts out
	sent     int
	outAt    map[int]string // attempt -> engine
	sentAt   map[int]float64
	ran      bool // an attempt may have run
	ranAt    float64
	ranCell  int
	flowing  bool
	held     bool
	heldAt   float64
}

func (c *checker) fail(format string, args ...any) {
	if c.err == "" {
		c.err = fmt.Sprintf("at %.3f: ", c.now) + fmt.Sprintf(format, args...)
	}
}

// due checks what must have happened by now.
func (c *checker) due() {
	for id, q := range c.reqs {
		if !q.final && !q.flowing && c.now > q.deadline+c.cfg.Rules.AnswerSlack {
			c.fail("rule 1: %s has no answer", id)
		}
		if q.held && q.out == 0 && c.now > q.heldAt+c.cfg.Rules.StateReleaseLimit {
			c.fail("rule 5: %s pins a state", id)
		}
	}
}

func (c *checker) actions(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			q := c.reqs[a.ID]
			k := c.cfg.Classes[q.class]
			switch {
			case q.final || q.flowing:
				c.fail("rule 1: %s is sent on after its end", a.ID)
			case q.out > 0:
				c.fail("rule 2: %s has two attempts out", a.ID)
			case c.state[a.Engine] != EngineReady:
				c.fail("rule 3: %s goes to %s, which is not ready", a.ID, a.Engine)
			case q.sent >= c.cfg.Limits.MaxAttempts:
				c.fail("%s has too many attempts", a.ID)
			case q.ran && c.role[a.Engine] != Prefill && k.Effect == AtMostOnce:
				c.fail("rule 2: %s may have run and is sent again", a.ID)
			case q.ran && c.role[a.Engine] != Prefill && k.Effect == IdempotentByKey &&
				(c.now > q.ranAt+k.DedupWindow || c.cell[a.Engine] != q.ranCell):
				c.fail("rule 2: %s is sent outside its group or time", a.ID)
			}
			q.outAt[q.sent], q.sentAt[q.sent] = a.Engine, c.now
			q.out++
			q.sent++
		case Reject:
			c.final(a.ID)
			q := c.reqs[a.ID]
			if c.cfg.Classes[q.class].Effect != Idempotent && (q.ran || q.out > 0) {
				c.fail("rule 2: %s may have run and is refused", a.ID)
			}
		case Fail:
			c.final(a.ID)
		case Release:
			c.reqs[a.ID].held = false
		}
	}
}

func (c *checker) final(id string) {
	if q := c.reqs[id]; q.final {
		c.fail("rule 1: %s has two answers", id)
	} else {
		q.final = true
	}
}

// world makes random legal events: engines that answer, fail, drain, leave and return, clients that go.
type world struct {
	*checker
	r      *Scheduler
	rnd    *rand.Rand
	timers []SetTimer
	ids    []string
}

func (w *world) step(evs []Event) {
	acts := w.r.Step(w.now, evs)
	w.actions(acts)
	w.timers = append(w.timers, actionsOf[SetTimer](acts)...)
}

// close ends a random attempt, or starts its stream.
func (w *world) close(id string, n int) Event {
	q := w.reqs[id]
	e := q.outAt[n]
	if w.role[e] != Prefill && !q.flowing && !q.final && w.rnd.Intn(2) == 0 {
		q.flowing, q.held = true, false
		return FirstToken{ID: id, Attempt: n, Engine: e, Spent: w.now - q.sentAt[n]}
	}
	delete(q.outAt, n)
	q.out--
	o := Outcome{ID: id, Attempt: n, Engine: e, Spent: w.now - q.sentAt[n], Closed: q.final || q.flowing}
	bad := []Status{ServerError, TimedOut, ConnectionLost, Canceled, ConnectFailed, Rejected}
	switch {
	case q.flowing:
		o.Status = Completed
		q.final = true
	case w.role[e] == Prefill && w.rnd.Intn(4) > 0:
		o.Status = Prefilled
		q.held, q.heldAt = true, w.now
	default:
		o.Status = bad[w.rnd.Intn(len(bad))]
		if w.role[e] != Prefill && o.Status <= ConnectionLost && o.Status != Rejected && o.Status != ConnectFailed ||
			w.role[e] != Prefill && o.Status == Canceled {
			if !q.ran {
				q.ran, q.ranAt, q.ranCell = true, q.sentAt[n], w.cell[e]
			}
		}
		q.heldAt = w.now
		if w.role[e] == Prefill {
			q.held = false
		}
	}
	return o
}

func play(t *testing.T, seed int64, steps int) {
	rnd := rand.New(rand.NewSource(seed))
	cfg := testConfig()
	cfg.DecodeEnginesPrefill, cfg.ReservationOffered = rnd.Intn(2) == 0, rnd.Intn(2) == 0
	r, err := New(cfg, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	c := &checker{cfg: cfg, now: 1, state: map[string]EngineState{}, role: map[string]Role{}, cell: map[string]int{},
		reqs: map[string]*tracked{}}
	w := &world{checker: c, r: r, rnd: rnd}
	m := testFleet()
	m.Engines = append(m.Engines, testEngine("m0", 2, 0), testEngine("w1b", 1, 1))
	for _, e := range m.Engines {
		c.role[e.ID], c.cell[e.ID] = cfg.Kinds[e.Kind].Role, e.Cell
	}
	w.step([]Event{m})
	for i := 0; i < steps && c.err == ""; i++ {
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
			c.reqs[q.ID] = &tracked{class: q.Class, deadline: c.now + q.ClientTimeLeft, outAt: map[int]string{},
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
			if q := c.reqs[id]; !q.final && !q.flowing {
				q.final = true
				evs = append(evs, ClientDisconnected{id})
			}
		default:
			for _, id := range w.ids {
				q := c.reqs[id]
				for n := 0; n < q.sent; n++ {
					if _, out := q.outAt[n]; out && rnd.Intn(8) == 0 {
						evs = append(evs, w.close(id, n))
					}
				}
			}
		}
		if len(evs) > 0 {
			w.step(evs)
		}
		c.due()
	}
	if c.err != "" {
		t.Fatalf("seed %d: %s", seed, c.err)
	}
}

func TestRulesHoldUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 150; seed++ {
		play(t, seed, 400)
	}
}

func FuzzRules(f *testing.F) {
	f.Add(int64(1))
	f.Fuzz(func(t *testing.T, seed int64) { play(t, seed, 200) })
}
