//go:build review2

// Stand-2 plays the cases of the second review: stand-ins for the platform's clients, engines and discovery in one process, and the node
// as a process of its own, started by the `run` line of the deploy file. It writes what was sent, answered and run to a record, and exits
// with 1 if the rule of the case was broken, with 0 if it held, and with 2 if the case could not run.
//
//	stand-2 CASE RECORD      # from the root; TROUBLE=0 plays it without the disruption
package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// world is one node with its platform.
type world struct {
	platform  *platform.Platform
	discovery *platform.Discovery
	engines   []*platform.Engine
	folder    string                        // temporary
	config    func(discovery string) []byte // text of the node's configuration file
	known     func() []byte                 // the list that the node starts with; nil = that of discovery
	address   string                        // of the node's listener
	command   *exec.Cmd
	ended     chan struct{} // closed when the node's process has ended
	started   time.Time

	mu     sync.Mutex
	file   *os.File
	broken int
}

var cases = map[string]func(*world){
	"accept":   acceptCase,
	"role":     roleCase,
	"gone":     goneCase,
	"pause":    pauseCase,
	"pipeline": pipelineCase,
}

// defaultSettings are the settings of a small deployment: the classes chat (repeatable) and commit (once), deadlines of 4 s.
const defaultSettings = platform.SettingsJSON

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE RECORD")
		os.Exit(2)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		cannotRun(err)
	}
	w := &world{file: file, started: time.Now(), platform: platform.New("n0", &record.Log{})}
	if w.folder, err = os.MkdirTemp("", "review2-"); err != nil {
		cannotRun(err)
	}
	cases[os.Args[1]](w)
	w.stop()
	if w.broken > 0 {
		w.note("the rule was broken %d times", w.broken)
		os.Exit(1)
	}
	w.note("the rule held")
}

func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	os.Exit(2)
}

// trouble reports whether the disruption is played.
func trouble() bool { return os.Getenv("TROUBLE") != "0" }

// note adds a line with its time to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.file, "%8.3f "+format+"\n", append([]any{time.Since(w.started).Seconds()}, args...)...)
}

// breach records that the rule was broken.
func (w *world) breach(format string, args ...any) {
	w.note("BROKEN: "+format, args...)
	w.mu.Lock()
	w.broken++
	w.mu.Unlock()
}

// startEngines starts an engine for each role: read, write or both.
func (w *world) startEngines(roles ...string) {
	for i, role := range roles {
		w.engines = append(w.engines, w.platform.StartEngine(fmt.Sprintf("%s-%d", role, i), role))
	}
}

// runLine returns the `run` line of the deploy file.
func runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		cannotRun(err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			return rest[:strings.Index(rest, `"`)]
		}
	}
	cannotRun(fmt.Errorf("the deploy file has no run line"))
	return ""
}

// configPath returns the path of the node's configuration file.
func (w *world) configPath() string { return filepath.Join(w.folder, "config.json") }

// writeConfig replaces the node's configuration file by one that names an address of discovery.
func (w *world) writeConfig(discovery string) {
	if err := platform.WriteConfig(w.configPath(), w.config(discovery)); err != nil {
		cannotRun(err)
	}
}

// startNode starts the node with the address of the discovery stand-in.
func (w *world) startNode(settings string, memoryMB, sockets int) {
	w.startNodeAt(settings, memoryMB, sockets, w.discovery.Address())
}

// startNodeAt writes the configuration and starts the node, and waits until it is ready.
func (w *world) startNodeAt(settings string, memoryMB, sockets int, discovery string) {
	w.address = freeAddress()
	w.config = func(discovery string) []byte {
		known := w.discovery.Snapshot
		if w.known != nil {
			known = w.known
		}
		return platform.ConfigText(settings, w.address, discovery, known(), memoryMB, sockets)
	}
	w.writeConfig(discovery)
	log, err := os.Create(filepath.Join(w.folder, "node.log"))
	if err != nil {
		cannotRun(err)
	}
	w.command = exec.Command("/bin/sh", "-c", runLine())
	w.command.Env = append(os.Environ(), "RELAY_NAME=n0", "RELAY_LISTEN="+w.address, "RELAY_DISCOVERY="+discovery,
		"RELAY_CONFIG="+w.configPath())
	w.command.Stdout, w.command.Stderr = log, log
	w.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := w.command.Start(); err != nil {
		cannotRun(err)
	}
	w.ended = make(chan struct{})
	go func() {
		w.command.Wait()
		close(w.ended)
	}()
	for end := time.Now().Add(10 * time.Second); !w.healthy(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			w.stop()
			cannotRun(fmt.Errorf("the node was not ready in 10 s"))
		}
	}
	w.note("the node is ready")
}

// stop ends the node and the stand-ins.
func (w *world) stop() {
	if w.command != nil {
		w.command.Process.Kill()
		<-w.ended
	}
	w.discovery.Close()
	w.platform.Stop()
	if w.broken > 0 && os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept:", w.folder)
		return
	}
	os.RemoveAll(w.folder)
}
