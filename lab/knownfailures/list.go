package main

import (
	"fmt"
	"strconv"
	"strings"
)

// maxKnownFailures is how many tests may be listed.
const maxKnownFailures = 3

// flakyMark begins the fourth field of a test that fails in only a part of its runs.
const flakyMark = "flaky "

// failureRate is how often a flaky test failed when it was measured.
type failureRate struct{ failures, runs int }

func (r failureRate) String() string { return fmt.Sprintf("%d/%d", r.failures, r.runs) }

// knownFailure is one line of KNOWN-RED.txt:
//
//	PACKAGE.TEST; CAUSE; ISSUE
//	PACKAGE.TEST; CAUSE; ISSUE; flaky FAILURES/RUNS
//
// A test of the first form has to fail in each run. A test of the second form may pass or fail.
type knownFailure struct {
	test, cause, issue string
	measured           *failureRate // nil unless the test is flaky
}

func (f knownFailure) flaky() bool { return f.measured != nil }

func (f knownFailure) String() string {
	text := f.test + "; " + f.cause + "; " + f.issue
	if f.flaky() {
		text += "; " + flakyMark + f.measured.String()
	}
	return text
}

// parseKnownFailures reads KNOWN-RED.txt and skips empty lines. An error names the line that it is about.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var known []knownFailure
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" {
			continue
		}
		failure, err := parseKnownFailure(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		known = append(known, failure)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%d lines; %d are the most", len(known), maxKnownFailures)
	}
	return known, nil
}

func parseKnownFailure(line string) (knownFailure, error) {
	fields := strings.Split(line, ";")
	if len(fields) != 3 && len(fields) != 4 {
		return knownFailure{}, fmt.Errorf("%q is not TEST; CAUSE; ISSUE or TEST; CAUSE; ISSUE; flaky FAILURES/RUNS", line)
	}
	for i := range fields {
		fields[i] = strings.TrimSpace(fields[i])
	}
	failure := knownFailure{test: fields[0], cause: fields[1], issue: fields[2]}
	if failure.test == "" || failure.cause == "" || failure.issue == "" {
		return knownFailure{}, fmt.Errorf("%q lacks a test, a cause or an issue", line)
	}
	if len(fields) == 3 {
		return failure, nil
	}
	rate, ok := parseFailureRate(fields[3])
	if !ok {
		return knownFailure{}, fmt.Errorf("%q: the fourth field is not flaky FAILURES/RUNS with 0 < FAILURES < RUNS", line)
	}
	failure.measured = &rate
	return failure, nil
}

// parseFailureRate reads "flaky FAILURES/RUNS". A rate of none or of all runs is refused: such a test is not flaky.
func parseFailureRate(field string) (failureRate, bool) {
	text, marked := strings.CutPrefix(field, flakyMark)
	failuresText, runsText, divided := strings.Cut(text, "/")
	failures, failuresErr := strconv.ParseUint(failuresText, 10, 31)
	runs, runsErr := strconv.ParseUint(runsText, 10, 31)
	if !marked || !divided || failuresErr != nil || runsErr != nil {
		return failureRate{}, false
	}
	return failureRate{failures: int(failures), runs: int(runs)}, 0 < failures && failures < runs
}
