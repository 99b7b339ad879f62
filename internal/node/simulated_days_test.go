package node_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"dillroute/internal/node"
	"dillroute/internal/relay"
	"dillroute/lab/simulation"
)

// relayProcess is a RelayNode as a simulation.Node.
type relayProcess struct {
	*node.RelayNode
	longestClientTimeout float64
}

func (p relayProcess) Terminate() {
	p.ShutdownBy(relay.ShutdownTimeout(p.longestClientTimeout), 10*time.Second)
}

func (p relayProcess) Kill() { p.Stop() }

// startRelayNode starts a RelayNode on in-memory sockets.
func startRelayNode(config []byte, l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn,
	error)) (simulation.Node, error) {
	cfg, err := relay.Parse(config, func(string) string { return "" })
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	if name := os.Getenv("COLLAPSE_LOG"); name != "" && name == cfg.Name {
		log = slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelDebug}))
	}
	n, err := node.StartRelay(cfg, node.WithLogger(log), node.WithListener(l), node.WithDialer(dial))
	if err != nil {
		return nil, err
	}
	return relayProcess{n, cfg.Settings.LongestClientTimeout}, nil
}

// runBoth runs a scenario with the product and with the baseline policy, each with its own virtual clock.
func runBoth(t *testing.T, scenario simulation.Scenario) (got, baseline *simulation.Report) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // events at the same instant occur in the same order in each run
	synctest.Test(t, func(t *testing.T) { baseline = scenario.RunBaseline(simulation.Policy{}) })
	synctest.Test(t, func(t *testing.T) { got = scenario.Run(startRelayNode) })
	return got, baseline
}

// requireNoProblems runs a scenario and fails the test if a rule is violated or the service falls short of the baseline policy's.
func requireNoProblems(t *testing.T, scenario simulation.Scenario) {
	t.Helper()
	got, baseline := runBoth(t, scenario)
	problems := append(got.Violations[:min(maxReportedViolations, len(got.Violations))], simulation.Shortfalls(got, baseline)...)
	if len(problems) > 0 || testing.Verbose() {
		t.Log("\n" + got.Summary(baseline))
	}
	for _, x := range problems {
		t.Error(x)
	}
	traceRecords(t, got)
}

// maxReportedViolations is the maximum number of violations of one scenario that are reported.
const maxReportedViolations = 8

// traceRecords logs the records that COLLAPSE_TRACE selects: those of a request id, or of a node and an engine ("NODE ENGINE").
func traceRecords(t *testing.T, r *simulation.Report) {
	t.Helper()
	name := os.Getenv("COLLAPSE_TRACE")
	if name == "" {
		return
	}
	for _, x := range r.Records {
		if x.Op == name || x.Node+" "+x.Engine == name {
			t.Logf("%.3f %s attempt %d node %s engine %s %s %s %s", x.T-r.Records[0].T, x.Kind, x.Attempt, x.Node, x.Engine, x.State,
				x.Outcome, x.Note)
		}
	}
}

// TestCollapsedDays runs scenarios in which a fault in the product once made service collapse or violated a rule. Each scenario fails
// again if its fix is removed.
func TestCollapsedDays(t *testing.T) {
	for _, x := range []struct {
		seed    uint64
		nodes   int
		problem string
	}{
		{327, 1, "first-token objective barely longer than a prefill, 2 requests per second: a third of them were rejected"},
		{186, 1, "all engines restart and are in slow start: a fifth of the requests was served for 5 s, though all could have been"},
		{312, 1, "engine errors and lost states at the same time: what was learned from them kept requests away from all engines"},
		{276, 1, "discovery is polled, at the limit of its capacity: a node learned of a drain too late"},
		{149, 24, "first-token objective barely longer than a prefill, with 34 idle engines"},
		{167, 24, "first-token objective barely longer than a prefill, while nodes are killed"},
		{122, 24, "a node rejected all requests that it received for 27 s"},
		{257, 24, "discovery is polled, at the limit of its capacity: attempts were sent to removed engines"},
		{119, 24, "discovery is polled, at the limit of its capacity, while all engines restart: attempts were sent to removed engines"},
	} {
		t.Run(fmt.Sprintf("seed %d with %d nodes", x.seed, x.nodes), func(t *testing.T) {
			if raceEnabled && x.nodes > 3 {
				t.Skip("too slow with the race detector; .ci/run runs this scenario without it")
			}
			t.Log(x.problem)
			requireNoProblems(t, simulation.DrawScenario(x.seed, x.nodes, drawnRate))
		})
	}
}

// drawnRate is the maximum request rate of a drawn scenario (requests per second).
const drawnRate = 150

// TestDrawnDays runs scenarios that are drawn from seeds. COLLAPSE_SEEDS=FIRST:COUNT selects other seeds, COLLAPSE_NODES the number of
// nodes.
func TestDrawnDays(t *testing.T) {
	first, count, nodes := 1, 9, 0
	if raceEnabled {
		count = 3
	}
	if text := os.Getenv("COLLAPSE_SEEDS"); text != "" {
		if _, err := fmt.Sscanf(text, "%d:%d", &first, &count); err != nil {
			t.Fatalf("COLLAPSE_SEEDS=%s is not FIRST:COUNT: %v", text, err)
		}
	}
	if text := os.Getenv("COLLAPSE_NODES"); text != "" {
		var err error
		if nodes, err = strconv.Atoi(text); err != nil || nodes < 1 {
			t.Fatalf("COLLAPSE_NODES=%s is not a number of nodes", text)
		}
	}
	for seed := first; seed < first+count; seed++ {
		n := nodes
		if n == 0 {
			n = []int{1, 3, 24}[seed%3]
		}
		t.Run(fmt.Sprintf("seed %d with %d nodes", seed, n), func(t *testing.T) {
			requireNoProblems(t, simulation.DrawScenario(uint64(seed), n, drawnRate))
		})
	}
}
