package main

import (
	"io"
	"strings"
	"testing"
)

// The record of a command must not pass over a test: a run with such a record fails for the same results as without it.
func TestCommandLinesPassOverNoTest(t *testing.T) {
	const line = "$ go test ./p -run TestB; seed 7; it breaks; 27"
	for _, list := range []string{line, "$ p.TestB/x; seed 7; it breaks; 27", line + "\n" + line + "\n" + line + "\n" + line} {
		known, err := parseKnownFailures(list)
		if err != nil || len(known) != 0 {
			t.Fatalf("%q: got the tests %v and %v, want none", list, known, err)
		}
		results, err := readResults(strings.NewReader(failingRun), io.Discard)
		if err != nil {
			t.Fatal(err)
		}
		if problems := strings.Join(results.problems(known), "\n"); !strings.Contains(problems, "p.TestB/x") {
			t.Errorf("%q: got %q, want the failure of p.TestB/x", list, problems)
		}
	}
}

func TestCommandLinesAreParsedAndFormatted(t *testing.T) {
	commands, err := parseCommandFailures("p.TestA; it breaks; 26\n\n $ a b ; seed 7;it breaks ; 27\n")
	if err != nil || len(commands) != 1 {
		t.Fatalf("got %v and %v, want one command", commands, err)
	}
	if got, want := commands[0].String(), "known failure outside CI: a b (seed 7); it breaks; 27"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestInvalidCommandLinesAreRejected(t *testing.T) {
	for _, line := range []string{"$ a; seed 7; it breaks", "$ a; seed 7; it breaks; 27; flaky 1/2", "$ ; seed 7; it breaks; 27",
		"$ a; ; it breaks; 27", "$ a; seed 7; ; 27", "$ a; seed 7; it breaks; "} {
		if _, err := parseCommandFailures("\n" + line); err == nil || !strings.HasPrefix(err.Error(), "line 2: ") {
			t.Errorf("%q: got %v, want an error that names line 2", line, err)
		}
	}
}
