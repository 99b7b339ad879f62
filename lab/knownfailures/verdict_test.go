package main

import (
	"io"
	"strings"
	"testing"
)

const run = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"run","Package":"p","Test":"TestB/x"}
{"Action":"output","Package":"p","Test":"TestB/x","Output":"it broke\n"}
{"Action":"fail","Package":"p","Test":"TestB/x"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`

// replaceOnce replaces the only occurrence of a text in a run.
func replaceOnce(t *testing.T, run, old, replacement string) string {
	t.Helper()
	if strings.Count(run, old) != 1 {
		t.Fatalf("%q occurs %d times, want once", old, strings.Count(run, old))
	}
	return strings.Replace(run, old, replacement, 1)
}

// Each row is a run, a list and the problem that has to be found; "" = the run has to pass.
func TestProblemsOfARun(t *testing.T) {
	green := strings.NewReplacer(`"fail"`, `"pass"`).Replace(run)
	endOfB := `{"Action":"pass","Package":"p","Test":"TestB/x"}` + "\n"
	skipped := replaceOnce(t, green, endOfB, strings.Replace(endOfB, "pass", "skip", 1))
	notEnded := replaceOnce(t, green, endOfB, "")
	anotherFails := replaceOnce(t, run, `"pass","Package":"p","Test":"TestA"`, `"fail","Package":"p","Test":"TestA"`) +
		`{"Action":"pass","Package":"p","Test":"TestC"}`
	for _, c := range []struct{ name, run, list, problem string }{
		{"all pass", green, "", ""},
		{"a failure that is not listed", run, "", "p.TestB/x"},
		{"the same, listed", run, "p.TestB/x; it breaks; 27", ""},
		{"its parent listed alone", run, "p.TestB; it breaks; 27", "p.TestB/x"},
		{"one listed, another fails too", anotherFails, "p.TestB/x; it breaks; 27", "p.TestA"},
		{"listed but passes again", green, "p.TestB/x; it broke; 27", "did not fail"},
		{"listed but not run", green, "p.TestZ; it broke; 27", "was not run"},
		{"a test that did not end", strings.Replace(green, `{"Action":"pass","Package":"p","Test":"TestA"}`, "", 1), "", "did not end"},
		{"a package that did not end", green + `{"Action":"start","Package":"q"}`, "", "package q"},
		{"a package that fails without a test", green + `{"Action":"start","Package":"q"}` + "\n" + `{"Action":"fail","Package":"q"}`, "",
			"package q"},
		{"a package that does not build", green + `{"Action":"build-fail","ImportPath":"q [q.test]"}`, "", "package q"},
		{"no test at all", "", "", "no test passed"},
		{"output of something else", green + "killed\n", "", "no results"},
		{"listed but skipped", skipped, "p.TestB/x; it breaks; 27", "did not fail"},
		{"flaky and passes", green, "p.TestB/x; it breaks; 27; flaky 2/10", ""},
		{"flaky and fails", run, "p.TestB/x; it breaks; 27; flaky 2/10", ""},
		{"flaky but not run", green, "p.TestZ; it breaks; 27; flaky 2/10", "was not run"},
		{"flaky but skipped", skipped, "p.TestB/x; it breaks; 27; flaky 2/10", "neither passed nor failed (skip)"},
		{"flaky but did not end", notEnded, "p.TestB/x; it breaks; 27; flaky 2/10", "p.TestB/x did not end"},
		{"flaky and fails, another fails too", anotherFails, "p.TestB/x; it breaks; 27; flaky 2/10", "p.TestA"},
		{"flaky and passes, another fails", run, "p.TestA; it breaks; 27; flaky 2/10", "p.TestB/x"},
		{"flaky, its subtest not listed", run, "p.TestB; it breaks; 27; flaky 2/10", "p.TestB/x"},
		{"flaky and passes, its package fails without a test", green + `{"Action":"fail","Package":"p"}`,
			"p.TestB/x; it breaks; 27; flaky 2/10", "package p"},
	} {
		known, err := parseKnownFailures(c.list)
		if err != nil {
			t.Fatal(err)
		}
		results, err := readResults(strings.NewReader(c.run), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		problems := strings.Join(results.problems(known), "\n")
		if c.problem == "" && problems != "" || c.problem != "" && !strings.Contains(problems, c.problem) {
			t.Errorf("%s: got %q, want %q", c.name, problems, c.problem)
		}
	}
}

func TestInvalidListsAreRefused(t *testing.T) {
	flaky := "p.TestB; it breaks; 27; flaky "
	for name, text := range map[string]string{
		"a fourth line": strings.Repeat("p.TestB; it breaks; 27\n", 4), "no cause": "p.TestB; ; 27", "no issue": "p.TestB; it breaks",
		"prose":                "see 27",
		"a fourth line, flaky": strings.Repeat(flaky+"2/10\n", 4), "a fifth field": flaky + "2/10; more",
		"no cause, flaky": "p.TestB; ; 27; flaky 2/10",
	} {
		if _, err := parseKnownFailures(text); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
	if known, err := parseKnownFailures("\np.TestB; it breaks; 27\n\n"); err != nil || len(known) != 1 {
		t.Errorf("got %v, %v, want one known failure", known, err)
	}
}

// A flaky test needs a rate that was measured, and one that always or never failed is not flaky.
func TestInvalidFailureRatesAreRefused(t *testing.T) {
	for _, field := range []string{
		"", "flaky", "flaky ", "2/10", "sometimes 2/10", "flaky2/10", "flaky 2", "flaky 2/", "flaky /10", "flaky 0/10", "flaky 10/10",
		"flaky 11/10", "flaky 0/0", "flaky -1/10", "flaky 2/-10", "flaky +2/10", "flaky 2.5/10", "flaky 20%", "flaky 2/10/20",
		"flaky 2/10 or so",
	} {
		line := "p.TestB; it breaks; 27; " + field
		_, err := parseKnownFailures("p.TestA; it breaks; 26\n\n" + line)
		if err == nil {
			t.Errorf("%q: accepted", field)
		} else if !strings.Contains(err.Error(), "line 3:") || !strings.Contains(err.Error(), strings.TrimSpace(line)) {
			t.Errorf("%q: the error %q does not name the line", field, err)
		}
	}
}

func TestFlakyLineIsReadAndWritten(t *testing.T) {
	known, err := parseKnownFailures(" p.TestB ; it breaks;27;  flaky 2/10 ")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := known[0].String(), "p.TestB; it breaks; 27; flaky 2/10"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestRunPrintsWhetherAKnownFailureFailed(t *testing.T) {
	green := strings.NewReplacer(`"fail"`, `"pass"`).Replace(run)
	for _, c := range []struct {
		name, run, line, printed string
		failed                   int
	}{
		{"always", run, "p.TestB/x; it breaks; 27", "KNOWN RED, passed over: p.TestB/x; it breaks; 27", 1},
		{"flaky and fails", run, "p.TestB/x; it breaks; 27; flaky 2/10",
			"known failure: p.TestB/x failed in this run (measured 2/10); it breaks; 27", 1},
		{"flaky and passes", green, "p.TestB/x; it breaks; 27; flaky 2/10",
			"known failure: p.TestB/x passed in this run (measured 2/10); it breaks; 27", 0},
	} {
		known, err := parseKnownFailures(c.line)
		if err != nil {
			t.Fatal(err)
		}
		results, err := readResults(strings.NewReader(c.run), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if got := results.describe(known[0]); got != c.printed {
			t.Errorf("%s: got %q, want %q", c.name, got, c.printed)
		}
		if got := results.failed(known); got != c.failed {
			t.Errorf("%s: got %d failed, want %d", c.name, got, c.failed)
		}
	}
}

func TestFailuresAreShownWithTheirOutput(t *testing.T) {
	var out strings.Builder
	if _, err := readResults(strings.NewReader(run), &out); err != nil || !strings.Contains(out.String(), "it broke") {
		t.Errorf("%q, %v", out.String(), err)
	}
}
