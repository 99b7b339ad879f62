// Knownred reads what `go test -json` tells and passes or fails a run of tests: every failure counts but those that
// KNOWN-RED.txt lists, and a listed test that did not fail is a failure too.
//
//	go test -json ./... | knownred KNOWN-RED.txt
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: go test -json ./... | knownred FILE")
		os.Exit(2)
	}
	text, err := os.ReadFile(os.Args[1])
	if err != nil && !os.IsNotExist(err) {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	known, err := parse(string(text))
	if err != nil {
		fmt.Fprintln(os.Stderr, os.Args[1]+":", err)
		os.Exit(1)
	}
	run, err := read(os.Stdin, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "reading the results:", err)
		os.Exit(1)
	}
	if bad := run.judge(known); len(bad) > 0 {
		for _, b := range bad {
			fmt.Println("FAIL:", b)
		}
		os.Exit(1)
	}
	for _, k := range known {
		fmt.Println("KNOWN RED, passed over:", k)
	}
	fmt.Printf("%d passed, %d failed\n", run.passed, len(known))
}
