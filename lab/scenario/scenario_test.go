package scenario_test

import (
	"context"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/node"
	"dillroute/lab/scenario"
)

func launch(name string, text []byte) (scenario.Node, error) {
	cfg, err := config.Parse(text)
	if err != nil {
		return nil, err
	}
	return node.StartChat(cfg, node.WithLogger(slog.New(slog.NewTextHandler(io.Discard, nil))))
}

func TestShortScenarioViolatesNoRule(t *testing.T) {
	text, err := os.ReadFile("../../examples/scenario/short.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := scenario.Run(ctx, s, scenario.Options{Launch: launch, Skew: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	served := 0
	for _, row := range r.Rows {
		if row.Fault == "all" {
			served += row.ServedInTime + row.ServedLate
		}
	}
	if served < 50 {
		t.Errorf("got %d operations served, want at least 50: %+v", served, r.Rows)
	}
}

func TestParseAcceptsExampleScriptsAndReportsProblems(t *testing.T) {
	files, _ := filepath.Glob("../../examples/scenario/*.json")
	for _, f := range files {
		text, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := scenario.Parse(text); err != nil {
			t.Errorf("%s: %v", f, err)
		}
	}
	text, _ := os.ReadFile("../../examples/scenario/short.json")
	for old, c := range map[string][2]string{
		`"kind": "crash"`: {`"kind": "crush"`, `/troubles/0/kind: "crush" is not known`},
		`"name": "short"`: {`"nam": "short"`, `did you mean "name"?`},
		`["decode-a-1"]`:  {`["decode-z"]`, `no engine is named "decode-z"`},
	} {
		_, err := scenario.Parse([]byte(strings.Replace(string(text), old, c[0], 1)))
		if err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, want %s", c[0], err, c[1])
		}
	}
}

// benchDay is an invented day file in the bench's format: times are in microseconds, and engines are referred to by their position.
const benchDay = `{"site":"made-up","family":"twostage","length":10000000,"noise":5,"zones":["z"],"front_notice":1000000,
"drain_grace":250000,"fall_multiple":4,"fall_for":1500000,"traffic":{"shape":[[0,1],[10000000,2]]},
"clients":{"retries":1,"try_share":0.8,"backoff_us":200000},"discovery":{"notice":500000},"allow":{"max_attempts":4},
"classes":[{"name":"c","share":1,"aim":1000000,"deadline":5000000,"effect":"unsafe","group":"all","window":1}],
"tiers":[{"kinds":[{"name":"r","cold_from":0.4,"cold":5000000},{"name":"w","cold_from":0.4,"cold":5000000}],"report_period":200000,
"stated_cold_from":0.25,"stated_cold":6000000}],
"servers":[{"zone":0,"kind":0,"cell":0,"speed":1.1},{"zone":0,"kind":1,"cell":0,"speed":1},{"zone":0,"kind":1,"cell":0,"speed":0.9}],
"balancers":[{"zone":0},{"zone":0}],"troubles":[{"kind":"crash","at":2000000,"len":3000000,"on":[2],"which":0}],
"fam":{"engines":[{"memory":200000,"queue":30,"slots":6,"per_seq_ms":0.1,"read_per_s":12000,"step_ms":15},
{"memory":100000,"queue":20,"slots":60,"per_seq_ms":0.2,"read_per_s":6000,"step_ms":12}],"near":200000,"release":1000000,
"roles":["read","write"],"writers_read":true,"talks":[{"aim_ms_per_k":40,"new_tokens":300,"new_sigma":0.6,"out_tokens":80,
"out_sigma":0.5,"max_out":400,"prefixes":9,"prefix_share":0.9,"prefix_tokens":1500,"turns":2,"think_s":4,"token_ms":60}]}}`

func TestBenchDayIsConverted(t *testing.T) {
	s, err := scenario.Convert([]byte(benchDay), 20, 5)
	if err != nil {
		t.Fatal(err)
	}
	if len(s.Engines) != 3 || s.Kinds[0].Role != "prefill" || s.Classes[0].Effect != "once" || s.Nodes != 2 || s.LengthSeconds != 5 {
		t.Fatalf("got script %+v", s)
	}
	if fault := s.Faults[0]; fault.At != 1 || fault.Len != 1.5 || fault.Engines[0] != "w-c0-2" {
		t.Fatalf("got fault %+v", fault)
	}
	if _, err := scenario.Convert([]byte(`{"family":"proxy"}`), 1, 1); err == nil {
		t.Fatal("got no error for a day of another family")
	}
}

// runShortScript removes the faults from the short example script, lets change modify it, and runs it. Rule violations are reported as test
// errors.
func runShortScript(t *testing.T, change func(*scenario.Script)) *scenario.Report {
	t.Helper()
	text, err := os.ReadFile("../../examples/scenario/short.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	s.Faults = nil
	change(s)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	r, err := scenario.Run(ctx, s, scenario.Options{Launch: launch, Skew: 0.5})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Violations {
		t.Error(v)
	}
	return r
}

// Half of the nodes receive each endpoint list three seconds after the others. For that time their list does not show that one engine
// is draining, one has stopped and one has changed its role.
func TestNoRuleIsViolatedWhileHalfTheNodesHaveAnOlderList(t *testing.T) {
	r := runShortScript(t, func(s *scenario.Script) {
		s.Nodes, s.LengthSeconds = 6, 7
		s.Faults = []scenario.Fault{
			{Kind: "stale_half", At: 0.5, Len: 6, Size: 3},
			{Kind: "drain", At: 1, Len: 5, Engines: []string{"decode-a-2"}},
			{Kind: "crash", At: 1.5, Len: 4, Engines: []string{"prefill-a-2"}},
			{Kind: "role_change", At: 2, Len: 1, Engines: []string{"decode-a-1"}, To: "prefill"},
		}
	})
	for _, row := range r.Rows {
		if row.Fault == "all" && float64(row.ServedInTime+row.ServedLate+row.Disconnected) < 0.7*float64(row.Sent) {
			t.Errorf("got less than 70%% of the operations served or disconnected: %+v", row)
		}
	}
}

// Engines that all nodes have removed restart in slow start and become available to all nodes at the same time. All nodes together must
// stay within the slow-start budget of each engine.
func TestColdEngineBeforeAllNodesAtOnce(t *testing.T) {
	r := runShortScript(t, func(s *scenario.Script) {
		s.Nodes, s.LengthSeconds, s.Load.SessionsPerSecond, s.Rules.SlowStartSeconds = 20, 8, 60, 3
		for i := range s.Kinds {
			s.Kinds[i].SlowStartSeconds = 3
		}
		s.Faults = []scenario.Fault{{Kind: "crash", At: 2, Len: 1.5, Engines: []string{"decode-a-1", "prefill-a-1"}}}
	})
	if r.SlowStartUse.Share > 1 || r.SlowStartUse.Share == 0 {
		t.Errorf("got %.2f of the budget of engines in slow start used, want more than 0 and at most 1", r.SlowStartUse.Share)
	}
}

func TestNoRuleIsViolatedWhenAllNodesRestartWithinASecond(t *testing.T) {
	r := runShortScript(t, func(s *scenario.Script) {
		s.Nodes, s.LengthSeconds = 60, 6
		s.Faults = []scenario.Fault{{Kind: "balancer_roll", At: 3, Len: 1, Part: 1, Size: 0.25, Extra: 0.1}}
	})
	if r.NodeStarts != 120 {
		t.Errorf("got %d node starts, want 120", r.NodeStarts)
	}
}

// A software release restarts each prefill engine once, and the load of a fleet is proportional to the capacity of its engines.
func TestReleaseRestartsEachPrefillEngineOnceAndLoadFollowsCapacity(t *testing.T) {
	p := scenario.FleetPlan{Nodes: 2, Engines: 24, Length: 60, Load: 0.5}
	prefillEngines := p.Script().PrefillEngines()
	p.Faults = scenario.RestartFaults(prefillEngines, 3, 15, 9, 2)
	s := p.Script()
	if err := s.Check(); err != nil {
		t.Fatal(err)
	}
	restarts := map[string]int{}
	for _, x := range s.Faults {
		for _, id := range x.Engines {
			restarts[id]++
		}
	}
	for _, id := range prefillEngines {
		if restarts[id] != 1 {
			t.Errorf("%s: got %d restarts, want 1", id, restarts[id])
		}
	}
	p.Engines = 48
	load, doubled := s.Load.SessionsPerSecond, p.Script().Load.SessionsPerSecond
	if len(prefillEngines) != 8 || doubled < 1.9*load || doubled > 2.1*load {
		t.Fatalf("got %d prefill engines, want 8; got %g/s and, with twice the engines, %g/s, want 1.9 to 2.1 times as much",
			len(prefillEngines), load, doubled)
	}
}
