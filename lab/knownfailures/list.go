package main

import (
	"fmt"
	"strconv"
	"strings"
)

// maxKnownFailures is the maximum number of tests that may be listed.
const maxKnownFailures = 3

// flakyMark begins the fourth field of a test that fails in only some of its runs.
const flakyMark = "flaky "

// failureRate is the measured failure rate of a flaky test.
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
	rate               *failureRate // nil unless the test is flaky
}

func (f knownFailure) flaky() bool { return f.rate != nil }

func (f knownFailure) String() string {
	text := f.test + "; " + f.cause + "; " + f.issue
	if f.flaky() {
		text += "; " + flakyMark + f.rate.String()
	}
	return text
}

// parseKnownFailures parses the lines of tests in the text of KNOWN-RED.txt. An error in a line contains its number.
func parseKnownFailures(text string) ([]knownFailure, error) {
	var known []knownFailure
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || isCommandLine(line) {
			continue
		}
		failure, err := parseKnownFailure(line)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", i+1, err)
		}
		known = append(known, failure)
	}
	if len(known) > maxKnownFailures {
		return nil, fmt.Errorf("%d tests are listed, the maximum is %d", len(known), maxKnownFailures)
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
		return knownFailure{}, fmt.Errorf("%q has an empty test, cause or issue", line)
	}
	if len(fields) == 3 {
		return failure, nil
	}
	rate, ok := parseFailureRate(fields[3])
	if !ok {
		return knownFailure{}, fmt.Errorf("%q: the fourth field is not flaky FAILURES/RUNS with 0 < FAILURES < RUNS", line)
	}
	failure.rate = &rate
	return failure, nil
}

// parseFailureRate parses "flaky FAILURES/RUNS". It rejects a test that failed in none or in all of its runs, which is not flaky.
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
