package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
)

// maxEventBytes is the maximum length of a line of `go test -json`.
const maxEventBytes = 16 << 20

// testEvent is one line of `go test -json`.
type testEvent struct {
	Action, Package, Test, Output string
	ImportPath                    string // set for build output
}

// name returns PACKAGE.TEST, or PACKAGE for an event of a package.
func (e testEvent) name() string {
	if e.Test == "" {
		return e.Package
	}
	return e.Package + "." + e.Test
}

// testResults holds the results of a run. Tests are named PACKAGE.TEST.
type testResults struct {
	tests       map[string]string   // the action that ended each test; "" = it did not end
	packages    map[string]string   // the action that ended each package; "" = it did not end
	otherOutput []string            // lines that are not events, such as a compiler's
	passed      int                 // number of tests and subtests that passed
	output      map[string][]string // by test or package, until it ends
}

// readResults reads events until the end of the input. It prints to out what `go test` prints: the result of each package and the
// whole output of each test that failed. Lines that are not events are printed as they are.
func readResults(in io.Reader, out io.Writer) (*testResults, error) {
	results := &testResults{tests: map[string]string{}, packages: map[string]string{}, output: map[string][]string{}}
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxEventBytes)
	for lines.Scan() {
		var event testEvent
		if json.Unmarshal(lines.Bytes(), &event) != nil {
			fmt.Fprintln(out, lines.Text())
			results.otherOutput = append(results.otherOutput, lines.Text())
			continue
		}
		results.add(event, out)
	}
	return results, lines.Err()
}

func (r *testResults) add(event testEvent, out io.Writer) {
	name := event.name()
	switch event.Action {
	case "build-output":
		fmt.Fprint(out, event.Output)
	case "build-fail":
		r.packages[event.ImportPath] = actionFail
	case "start":
		r.packages[event.Package] = ""
	case "run":
		r.tests[name] = ""
	case "output":
		r.output[name] = append(r.output[name], event.Output)
	case actionPass, actionFail, actionSkip:
		r.end(event, out)
	}
}

// end records the result of a test or a package. It prints the output of packages and of failed tests.
func (r *testResults) end(event testEvent, out io.Writer) {
	name := event.name()
	if event.Test == "" {
		r.packages[event.Package] = event.Action
	} else {
		r.tests[name] = event.Action
	}
	if event.Action == actionPass && event.Test != "" {
		r.passed++
	}
	if event.Action == actionFail || event.Test == "" {
		for _, text := range r.output[name] {
			if text != "PASS\n" {
				fmt.Fprint(out, text)
			}
		}
	}
	delete(r.output, name)
}
