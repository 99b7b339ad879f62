//go:build soak

package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

func TestMain(m *testing.M) {
	Launch()
	os.Exit(m.Run())
}

// build builds the node's program, linked as for deployment, and the library that steps clocks.
func build(t *testing.T) (program, clockLib string) {
	t.Helper()
	dir := t.TempDir()
	program = filepath.Join(dir, "dillroute")
	args := []string{"build", "-ldflags=-linkmode=external", "-o", program}
	if os.Getenv("SOAK_RACE") != "" {
		args = append(args, "-race")
	}
	cmd := exec.Command("go", append(args, "dillroute/cmd/dillroute")...)
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	clockLib, err := BuildClock("testdata/clock.c", dir)
	if err != nil {
		t.Fatal(err)
	}
	return program, clockLib
}

// envNumber returns the number in an environment variable, or a default if it isn't set to a number.
func envNumber(name string, or int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return or
}

// logDirectory returns the directory for the logs of a scenario. If SOAK_LOGS is set, the directory is within it and is kept; otherwise
// it is a temporary one.
func logDirectory(t *testing.T, name string) string {
	t.Helper()
	logs := os.Getenv("SOAK_LOGS")
	if logs == "" {
		return t.TempDir()
	}
	dir := filepath.Join(logs, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Processes under overlapping faults must follow the rules, must not crash, and must serve again when the faults are over. Environment
// variables change the run: SOAK_SEEDS=5-14 selects other seeds; SOAK_NODES, SOAK_SECONDS and SOAK_PARALLEL set the size of the scenario;
// SOAK_TROUBLES=stop,drain selects faults; SOAK_LOGS names a directory in which the nodes' logs are kept.
func TestSoak(t *testing.T) {
	program, clockLib := build(t)
	from, to := 1, 1
	if text := os.Getenv("SOAK_SEEDS"); text != "" {
		if n, _ := fmt.Sscanf(text, "%d-%d", &from, &to); n == 1 {
			to = from
		}
	}
	for seed := from; seed <= to; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			scenario := Scenario{
				Seed:           uint64(seed),
				Nodes:          envNumber("SOAK_NODES", 5),
				ClientsPerNode: envNumber("SOAK_CLIENTS", 4),
				Duration:       time.Duration(envNumber("SOAK_SECONDS", 12)) * time.Second,
				Program:        program,
				ClockLib:       clockLib,
				Directory:      logDirectory(t, strconv.Itoa(seed)),
				Parallel:       envNumber("SOAK_PARALLEL", 2),
			}
			if text := os.Getenv("SOAK_TROUBLES"); text != "" {
				scenario.Faults = strings.Split(text, ",")
			}
			r, err := Run(scenario)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("outcomes %v, at the end %v; %d closed without a response; failed calls %v",
				r.Outcomes, r.RecoveryOutcomes, r.Unanswered, r.FailedCalls)
			for _, e := range r.Events {
				t.Log(e)
			}
			for _, f := range r.Findings {
				t.Error(f)
			}
		})
	}
}
