package scheduler

import "testing"

// testConfig: kind 0 reads, kind 1 writes, kind 2 does both; class 0 repeatable, 1 once, 2 by key.
func testConfig() Config {
	return Config{NodeCount: 1, ZoneCount: 1, Tick: 0.002,
		Classes: []Class{
			{Effect: Idempotent, FirstTokenObjective: 1, ObjectivePer1KTokens: 0.04, ClientTimeout: 5, OutputTokenObjective: 0.06, PriorityWeight: 1, LateValue: 0.3},
			{Effect: AtMostOnce, FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.08, PriorityWeight: 2, LateValue: 0.3},
			{Effect: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 2, FirstTokenObjective: 1, ClientTimeout: 5, OutputTokenObjective: 0.08, PriorityWeight: 1},
		},
		Kinds:   []Kind{{Prefill, 2e5}, {Decode, 1.5e5}, {Mixed, 2e5}},
		Tenants: []Tenant{{0}},
		Limits:  Limits{MaxAttempts: 4, Cancel: true},
		Rules: Rules{SlowStartShare: 0.25, SlowStartDuration: 10, OverloadMultiple: 4, SlowStartWindow: 2, StateReleaseLimit: 1, PollInterval: 10,
			DrainGrace: 0.25, AnswerSlack: 0.008},
	}
}

func testEngine(id string, kind, cell int) Engine {
	return Engine{ID: id, Kind: kind, Cell: cell, Weight: 1}
}

// testFleet is two cells of a reader and a writer each.
func testFleet() EndpointUpdate {
	return EndpointUpdate{Form: UpdateComplete, Engines: []Engine{testEngine("r0", 0, 0), testEngine("w0", 1, 0), testEngine("r1", 0, 1), testEngine("w1", 1, 1)}}
}

func startScheduler(t *testing.T, cfg Config, m EndpointUpdate) *Scheduler {
	t.Helper()
	r, err := New(cfg, 1)
	if err != nil {
		t.Fatal(err)
	}
	r.Step(0, []Event{m})
	return r
}

func testRequest(id string, class int) Request {
	return Request{ID: id, Class: class, Session: "s" + id, Prefix: "p", ClientTimeLeft: 4, PromptTokens: 1000, PrefixTokens: 800,
		MaxOutputTokens: 200}
}

func actionsOf[T Action](acts []Action) (out []T) {
	for _, a := range acts {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

func onlyAction[T Action](t *testing.T, acts []Action) T {
	t.Helper()
	xs := actionsOf[T](acts)
	if len(xs) != 1 {
		t.Fatalf("want one %T, got %v", *new(T), acts)
	}
	return xs[0]
}

func noAction[T Action](t *testing.T, acts []Action) {
	t.Helper()
	if xs := actionsOf[T](acts); len(xs) != 0 {
		t.Fatalf("want no %T, got %v", *new(T), xs)
	}
}

// prefillAndPlace takes a request to the point where its state waits and is sent to a writer.
func prefillAndPlace(t *testing.T, sched *Scheduler, now float64, q Request) (prefill, decode string) {
	t.Helper()
	s := onlyAction[Send](t, sched.Step(now, []Event{q}))
	w := onlyAction[Send](t, sched.Step(now+0.05, []Event{Outcome{ID: q.ID, Engine: s.Engine, Status: Prefilled, Spent: 0.05}}))
	return s.Engine, w.Engine
}
