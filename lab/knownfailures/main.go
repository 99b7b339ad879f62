// Knownfailures reads the output of `go test -json` and passes or fails a run of tests. Every failure counts but those that
// KNOWN-RED.txt lists. A listed test that did not fail is a failure too, unless its line marks it as flaky: such a test may
// pass or fail, but has to run to its end.
//
//	go test -json ./... | knownfailures KNOWN-RED.txt
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownfailures FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil && !os.IsNotExist(err) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	known, err := parseKnownFailures(string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, os.Args[1]+":", err)
		os.Exit(1)
	}
	results, err := readResults(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reading the results:", err)
		os.Exit(1)
	}
	problems := results.problems(known)
	for _, failure := range known {
		if failure.flaky() || len(problems) == 0 {
			fmt.Println(results.describe(failure))
		}
	}
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Println("FAIL:", problem)
		}
		os.Exit(1)
	}
	fmt.Printf("%d passed, %d failed\n", results.passed, results.failed(known))
}
