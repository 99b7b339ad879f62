package main

import (
	"fmt"
	"slices"
	"strings"
)

// Actions of `go test -json` that end a test or a package. testResults has the empty string for one that did not end.
const (
	actionPass = "pass"
	actionFail = "fail"
	actionSkip = "skip"
)

// problems returns the reasons for which the run fails, sorted. The run passes if there are none.
func (r *testResults) problems(known []knownFailure) []string {
	problems := r.knownFailureProblems(known)
	listed := map[string]bool{}
	for _, failure := range known {
		listed[failure.test] = true
	}
	hasListedFailure := map[string]bool{} // packages in which a listed test failed
	for test, action := range r.tests {
		switch {
		case action == "":
			problems = append(problems, test+" did not end")
		case action != actionFail:
		case listed[test] || r.failedByListedSubtests(test, listed):
			pkg, _, _ := strings.Cut(test, ".Test")
			hasListedFailure[pkg] = true
		default:
			problems = append(problems, test)
		}
	}
	for pkg, action := range r.packages {
		if action == "" || action == actionFail && !hasListedFailure[pkg] {
			problems = append(problems, "package "+pkg+" ("+action+")")
		}
	}
	if r.passed == 0 {
		problems = append(problems, "no test passed")
	}
	if len(r.otherOutput) > 0 {
		problems = append(problems, fmt.Sprintf("%d lines of output that are no results, such as %q", len(r.otherOutput), r.otherOutput[0]))
	}
	slices.Sort(problems)
	return problems
}

// knownFailureProblems returns a problem for each listed test whose result contradicts its line. A flaky test may pass or fail; any
// other listed test has to fail. A listed test that did not run, did not end or was skipped is always a problem.
func (r *testResults) knownFailureProblems(known []knownFailure) []string {
	var problems []string
	for _, failure := range known {
		action, ran := r.tests[failure.test]
		switch {
		case !ran:
			problems = append(problems, failure.test+" is listed but was not run")
		case action == actionFail:
		case failure.flaky() && action == actionPass:
		case failure.flaky():
			problems = append(problems, failure.test+" is listed as flaky but neither passed nor failed ("+action+")")
		default:
			problems = append(problems, failure.test+" is listed but did not fail ("+action+"): remove its line")
		}
	}
	return problems
}

// failedByListedSubtests reports whether a test failed only because of listed subtests, as far as the results show. At least one of
// its subtests failed, and each subtest that failed is listed or failed only because of listed subtests itself.
func (r *testResults) failedByListedSubtests(test string, listed map[string]bool) bool {
	foundFailure := false
	for subtest, action := range r.tests {
		if action != actionFail || !strings.HasPrefix(subtest, test+"/") {
			continue
		}
		if !listed[subtest] && !r.failedByListedSubtests(subtest, listed) {
			return false
		}
		foundFailure = true
	}
	return foundFailure
}

// failed returns the number of listed tests that failed.
func (r *testResults) failed(known []knownFailure) int {
	count := 0
	for _, failure := range known {
		if r.tests[failure.test] == actionFail {
			count++
		}
	}
	return count
}

// describe returns the line that main prints for a listed test: always for a flaky one, for others only if the run passes.
func (r *testResults) describe(failure knownFailure) string {
	if !failure.flaky() {
		return "KNOWN RED, passed over: " + failure.String()
	}
	outcome := "passed in this run"
	if r.tests[failure.test] == actionFail {
		outcome = "failed in this run"
	}
	return fmt.Sprintf("known failure: %s %s (measured %s); %s; %s",
		failure.test, outcome, failure.rate, failure.cause, failure.issue)
}
