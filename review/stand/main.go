//go:build review

// Command stand runs one case of the review: it starts a node with the run line of the deploy file, plays the node's clients, engines
// and discovery on loopback sockets by the users' protocol page, and checks one rule. It exits with 1 if the rule was broken, with 0 if
// it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longestRun ends a run that does not end by itself.
const longestRun = 110 * time.Second

// cases are the cases by name. Each returns what broke the rule; nil = it held.
var cases = map[string]func(w *world, trouble bool) ([]string, error){}

// init keeps main on the first thread: the node is killed when the thread that started it ends (Pdeathsig).
func init() { runtime.LockOSThread() }

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

// run runs a case and writes its record to a file.
func run(play func(*world, bool) ([]string, error), path string) int {
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
			w.note("the run was stopped")
		case <-time.After(longestRun):
			w.note("the run took too long")
		}
		w.close()
		os.Exit(exitNotRun)
	}()
	w.note("disruption: %v", trouble)
	broken, err := play(w, trouble)
	w.close()
	defer w.flush()
	switch {
	case err != nil:
		w.note("the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, text := range broken {
			w.note("BROKEN: %s", text)
		}
		fmt.Printf("broken: %d findings, the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
