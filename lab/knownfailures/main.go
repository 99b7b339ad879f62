// Knownfailures reads the output of `go test -json` and decides whether the run of tests passes. Failures of tests that KNOWN-RED.txt
// lists are ignored; any other failure fails the run. A listed test that did not fail also fails the run, unless its line marks it
// as flaky. A flaky test may pass or fail, but has to run to its end. Failures that commands outside CI show are printed.
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
	commands, err := parseCommandFailures(string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, os.Args[1]+":", err)
		os.Exit(1)
	}
	results, err := readResults(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reading test results:", err)
		os.Exit(1)
	}
	problems := results.problems(known)
	for _, failure := range known {
		if failure.flaky() || len(problems) == 0 {
			fmt.Println(results.describe(failure))
		}
	}
	for _, failure := range commands {
		fmt.Println(failure)
	}
	if len(problems) > 0 {
		for _, problem := range problems {
			fmt.Println("FAIL:", problem)
		}
		os.Exit(1)
	}
	fmt.Printf("%d passed, %d failed\n", results.passed, results.failed(known))
}
