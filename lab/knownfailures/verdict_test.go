package main

import (
	"io"
	"strings"
	"testing"
)

const failingRun = `{"Action":"start","Package":"p"}
{"Action":"run","Package":"p","Test":"TestA"}
{"Action":"pass","Package":"p","Test":"TestA"}
{"Action":"run","Package":"p","Test":"TestB"}
{"Action":"run","Package":"p","Test":"TestB/x"}
{"Action":"output","Package":"p","Test":"TestB/x","Output":"it broke\n"}
{"Action":"fail","Package":"p","Test":"TestB/x"}
{"Action":"fail","Package":"p","Test":"TestB"}
{"Action":"fail","Package":"p"}
`

// replaceOnce replaces the only occurrence of old in the output of a run.
func replaceOnce(t *testing.T, run, old, replacement string) string {
	t.Helper()
	if strings.Count(run, old) != 1 {
		t.Fatalf("%q occurs %d times, want once", old, strings.Count(run, old))
	}
	return strings.Replace(run, old, replacement, 1)
}

// Each case is the output of a run, a list of known failures and a text that the problems must contain; "" = there are no problems.
func TestRunReportsUnexpectedResults(t *testing.T) {
	passingRun := strings.NewReplacer(`"fail"`, `"pass"`).Replace(failingRun)
	endOfB := `{"Action":"pass","Package":"p","Test":"TestB/x"}` + "\n"
	skipped := replaceOnce(t, passingRun, endOfB, strings.Replace(endOfB, "pass", "skip", 1))
	notEnded := replaceOnce(t, passingRun, endOfB, "")
	anotherFails := replaceOnce(t, failingRun, `"pass","Package":"p","Test":"TestA"`, `"fail","Package":"p","Test":"TestA"`) +
		`{"Action":"pass","Package":"p","Test":"TestC"}`
	for _, c := range []struct{ name, run, list, problem string }{
		{"all pass", passingRun, "", ""},
		{"unlisted failure", failingRun, "", "p.TestB/x"},
		{"listed failure", failingRun, "p.TestB/x; it breaks; 27", ""},
		{"only the parent of the failed subtest is listed", failingRun, "p.TestB; it breaks; 27", "p.TestB/x"},
		{"unlisted failure beside a listed one", anotherFails, "p.TestB/x; it breaks; 27", "p.TestA"},
		{"listed test passes", passingRun, "p.TestB/x; it broke; 27", "did not fail"},
		{"listed test is not run", passingRun, "p.TestZ; it broke; 27", "was not run"},
		{"test does not end", strings.Replace(passingRun, `{"Action":"pass","Package":"p","Test":"TestA"}`, "", 1), "",
			"did not end"},
		{"package does not end", passingRun + `{"Action":"start","Package":"q"}`, "", "package q"},
		{"package fails without a failed test", passingRun + `{"Action":"start","Package":"q"}` + "\n" + `{"Action":"fail","Package":"q"}`,
			"", "package q"},
		{"package does not build", passingRun + `{"Action":"build-fail","ImportPath":"q [q.test]"}`, "", "package q"},
		{"no tests", "", "", "no test passed"},
		{"line that is not a test event", passingRun + "killed\n", "", "no results"},
		{"listed test is skipped", skipped, "p.TestB/x; it breaks; 27", "did not fail"},
		{"flaky test passes", passingRun, "p.TestB/x; it breaks; 27; flaky 2/10", ""},
		{"flaky test fails", failingRun, "p.TestB/x; it breaks; 27; flaky 2/10", ""},
		{"flaky test is not run", passingRun, "p.TestZ; it breaks; 27; flaky 2/10", "was not run"},
		{"flaky test is skipped", skipped, "p.TestB/x; it breaks; 27; flaky 2/10", "neither passed nor failed (skip)"},
		{"flaky test does not end", notEnded, "p.TestB/x; it breaks; 27; flaky 2/10", "p.TestB/x did not end"},
		{"unlisted failure beside a flaky test that fails", anotherFails, "p.TestB/x; it breaks; 27; flaky 2/10", "p.TestA"},
		{"unlisted failure beside a flaky test that passes", failingRun, "p.TestA; it breaks; 27; flaky 2/10", "p.TestB/x"},
		{"only the parent of the failed subtest is listed, as flaky", failingRun, "p.TestB; it breaks; 27; flaky 2/10", "p.TestB/x"},
		{"flaky test passes, its package fails without a failed test", passingRun + `{"Action":"fail","Package":"p"}`,
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

func TestInvalidListsAreRejected(t *testing.T) {
	flaky := "p.TestB; it breaks; 27; flaky "
	for name, text := range map[string]string{
		"too many lines": strings.Repeat("p.TestB; it breaks; 27\n", 4), "no cause": "p.TestB; ; 27", "no issue": "p.TestB; it breaks",
		"text without fields":  "see 27",
		"too many flaky lines": strings.Repeat(flaky+"2/10\n", 4), "a fifth field": flaky + "2/10; more",
		"no cause, flaky": "p.TestB; ; 27; flaky 2/10",
	} {
		if _, err := parseKnownFailures(text); err == nil {
			t.Errorf("%s: list was accepted, want an error", name)
		}
	}
	if known, err := parseKnownFailures("\np.TestB; it breaks; 27\n\n"); err != nil || len(known) != 1 {
		t.Errorf("got %v, %v, want one known failure", known, err)
	}
}

// A flaky test needs a measured failure rate. A test that failed in all or in none of its runs is not flaky.
func TestInvalidFailureRatesAreRejected(t *testing.T) {
	for _, field := range []string{
		"", "flaky", "flaky ", "2/10", "sometimes 2/10", "flaky2/10", "flaky 2", "flaky 2/", "flaky /10", "flaky 0/10", "flaky 10/10",
		"flaky 11/10", "flaky 0/0", "flaky -1/10", "flaky 2/-10", "flaky +2/10", "flaky 2.5/10", "flaky 20%", "flaky 2/10/20",
		"flaky 2/10 or so",
	} {
		line := "p.TestB; it breaks; 27; " + field
		_, err := parseKnownFailures("p.TestA; it breaks; 26\n\n" + line)
		if err == nil {
			t.Errorf("%q: field was accepted, want an error", field)
		} else if !strings.Contains(err.Error(), "line 3:") || !strings.Contains(err.Error(), strings.TrimSpace(line)) {
			t.Errorf("%q: the error %q lacks the line or its number", field, err)
		}
	}
}

func TestFlakyLineIsParsedAndFormatted(t *testing.T) {
	known, err := parseKnownFailures(" p.TestB ; it breaks;27;  flaky 2/10 ")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := known[0].String(), "p.TestB; it breaks; 27; flaky 2/10"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestPassingRunPrintsResultsOfKnownFailures(t *testing.T) {
	passingRun := strings.NewReplacer(`"fail"`, `"pass"`).Replace(failingRun)
	for _, c := range []struct {
		name, run, line, printed string
		failed                   int
	}{
		{"listed test fails", failingRun, "p.TestB/x; it breaks; 27", "KNOWN RED, passed over: p.TestB/x; it breaks; 27", 1},
		{"flaky test fails", failingRun, "p.TestB/x; it breaks; 27; flaky 2/10",
			"known failure: p.TestB/x failed in this run (measured 2/10); it breaks; 27", 1},
		{"flaky test passes", passingRun, "p.TestB/x; it breaks; 27; flaky 2/10",
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
			t.Errorf("%s: got %d failed known failures, want %d", c.name, got, c.failed)
		}
	}
}

func TestOutputOfFailedTestsIsPrinted(t *testing.T) {
	var out strings.Builder
	if _, err := readResults(strings.NewReader(failingRun), &out); err != nil || !strings.Contains(out.String(), "it broke") {
		t.Errorf("got output %q and error %v, want the output of the failed subtest", out.String(), err)
	}
}
