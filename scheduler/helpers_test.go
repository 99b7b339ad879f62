package scheduler

import "testing"

// Kinds and classes of testConfig. In tests, the IDs of prefill engines begin with r, those of decode engines with w, and those of mixed
// engines with m. The digit in an ID is often the cell of the engine.
const (
	prefillKind = iota
	decodeKind
	mixedKind
)

const (
	idempotentClass = iota
	atMostOnceClass
	byKeyClass
)

func testConfig() Config {
	return Config{
		NodeCount: 1, ZoneCount: 1, Tick: 0.002,
		Classes: []Class{
			idempotentClass: {Effect: Idempotent, FirstTokenObjective: 1, ObjectivePer1KTokens: 0.04, ClientTimeout: 5,
				OutputTokenObjective: 0.06, PriorityWeight: 1, LateValue: 0.3},
			atMostOnceClass: {Effect: AtMostOnce, FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.08,
				PriorityWeight: 2, LateValue: 0.3},
			byKeyClass: {Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 2, FirstTokenObjective: 1, ClientTimeout: 5,
				OutputTokenObjective: 0.08, PriorityWeight: 1},
		},
		Kinds: []Kind{
			prefillKind: {Role: Prefill, Memory: 2e5},
			decodeKind:  {Role: Decode, Memory: 1.5e5},
			mixedKind:   {Role: Mixed, Memory: 2e5},
		},
		Tenants: []Tenant{{}},
		Limits:  Limits{MaxAttempts: 4, Cancel: true},
		Rules: Rules{SlowStartShare: 0.25, SlowStartDuration: 10, OverloadMultiple: 4, SlowStartWindow: 2, StateReleaseLimit: 1,
			PollInterval: 10, DrainGrace: 0.25, AnswerSlack: 0.008},
	}
}

func testEngine(id string, kind, cell int) Engine {
	return Engine{ID: id, Kind: kind, Cell: cell, Weight: 1}
}

// listOf returns a complete endpoint list.
func listOf(engines ...Engine) EndpointUpdate {
	return EndpointUpdate{Form: UpdateComplete, Engines: engines}
}

// testFleet returns the endpoint list of two cells with a prefill engine and a decode engine each.
func testFleet() EndpointUpdate {
	return listOf(testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("r1", 0, 1), testEngine("w1", 1, 1))
}

// startScheduler returns a scheduler that has received an endpoint list at time 0.
func startScheduler(t *testing.T, cfg Config, endpoints EndpointUpdate) *Scheduler {
	t.Helper()
	sched, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(0, []Event{endpoints})
	return sched
}

func testRequest(id string, class int) Request {
	return Request{ID: id, Class: class, Session: "s" + id, Prefix: "p", ClientTimeLeft: 4, PromptTokens: 1000, PrefixTokens: 800,
		MaxOutputTokens: 200}
}

func actionsOf[T Action](actions []Action) (out []T) {
	for _, action := range actions {
		if x, ok := action.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// onlyAction returns the action of type T, of which there must be exactly one.
func onlyAction[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	found := actionsOf[T](actions)
	if len(found) != 1 {
		t.Fatalf("got actions %v, want exactly one %T", actions, *new(T))
	}
	return found[0]
}

func noAction[T Action](t *testing.T, actions []Action) {
	t.Helper()
	if found := actionsOf[T](actions); len(found) != 0 {
		t.Fatalf("got actions %v, want no %T", found, *new(T))
	}
}

// prefillAndPlace passes a request and then the outcome of its prefill to the scheduler. It returns the engines that prefill and decode
// the request.
func prefillAndPlace(t *testing.T, sched *Scheduler, now float64, req Request) (prefill, decode string) {
	t.Helper()
	first := onlyAction[Send](t, sched.Step(now, []Event{req}))
	prefilled := Outcome{ID: req.ID, Engine: first.Engine, Status: Prefilled, Spent: 0.05}
	second := onlyAction[Send](t, sched.Step(now+0.05, []Event{prefilled}))
	return first.Engine, second.Engine
}
