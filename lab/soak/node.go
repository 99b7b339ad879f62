package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Limits of a node.
const (
	nodeSockets  = 256
	nodeMemoryMB = 96
)

// Node is one place of the fleet, in which one process after another runs.
type Node struct {
	fleet  *Fleet
	name   string
	addr   string
	seed   uint64
	agent  *Agent
	reach  map[string]*Proxy // engines, as this node reaches them; guarded by the fleet's lock
	clock  *Clock
	config string
	out    *os.File // takes what its processes write in place of files; nil = files

	mu      sync.Mutex
	proc    *process
	starts  int
	in      bool // the front sends clients
	busy    bool // a trouble stops or restarts it
	term    time.Time
	killed  time.Time
	reports []string // paths of the logs of all its processes
}

// process is one process of a node.
type process struct {
	cmd   *exec.Cmd
	calls Supervisor
	ended chan struct{}
	err   error     // how it ended
	told  bool      // it was told to end
	at    time.Time // when it ended
}

// keyedClass is a class whose repeats engines of one cell know for a while.
const (
	keyedClass  = `{"effect":"by_key","group":"cell","hard_limit_s":4,"key_ttl_s":1,"late_value":0.3,"name":"keyed","streamed":true,"target_s":1.5,"worth":1}`
	keyedWindow = 1.0
	cells       = 2
)

// write writes the configuration, with the list that the node is to know at its start.
func (n *Node) write(known []byte) error {
	settings := strings.Replace(platform.SettingsJSON, `"balancers":1`, fmt.Sprintf(`"balancers":%d`, len(n.fleet.nodes)), 1)
	settings = strings.Replace(settings, `"classes":[`, `"classes":[`+keyedClass+`,`, 1)
	text := platform.ConfigText(settings, n.addr, n.agent.Addr(), known, nodeMemoryMB, nodeSockets)
	text = bytes.Replace(text, []byte("8c1f30d27a5be964"), fmt.Appendf(nil, "%016x", n.seed+uint64(n.starts)<<32), 1)
	return platform.WriteConfig(n.config, text)
}

// start starts a process; the front takes it in when it is ready.
func (n *Node) start(known []byte) error { return n.startUnder(known, nil) }

// startUnder is start where the watched system calls fail from the beginning.
func (n *Node) startUnder(known []byte, fail func(call uint32) syscall.Errno) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	if err := n.write(known); err != nil {
		return err
	}
	out := n.out
	if out == nil {
		path := filepath.Join(n.fleet.day.Dir, fmt.Sprintf("%s-%d.log", n.name, n.starts))
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer file.Close()
		out = file
		n.reports = append(n.reports, path)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p := &process{cmd: exec.Command(self, "serve", "--relay", "--log", "debug"), ended: make(chan struct{})}
	p.calls.only = n.config
	p.calls.Fail(fail)
	p.cmd.Env = append(os.Environ(), envProgram+"="+n.fleet.day.Program, fmt.Sprintf("%s=%d", envFiles, nodeSockets), envClock+"="+n.clock.path,
		"LD_PRELOAD="+n.fleet.day.ClockLib, "RELAY_CONFIG="+n.config, "RELAY_NAME="+n.name, "RELAY_LISTEN="+n.addr, "RELAY_DISCOVERY="+n.agent.Addr())
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.calls.start(p.cmd); err != nil {
		return err
	}
	n.proc, n.term, n.killed = p, time.Time{}, time.Time{}
	n.fleet.log.Add(record.Record{Kind: record.NodeUp, Node: n.name})
	go func() {
		err := p.cmd.Wait()
		n.mu.Lock()
		p.err, p.at = err, time.Now()
		n.in = n.in && n.proc != p
		told := p.told
		n.mu.Unlock()
		if !told {
			n.fleet.find("crash", "%s (start %d) ended by itself: %v", n.name, n.starts, err)
		}
		close(p.ended)
	}()
	return nil
}

// Times in which a process has to be ready, and in which the front notices.
const (
	readyBy   = 10 * time.Second
	readyLook = 20 * time.Millisecond
)

// awaitReady waits until the node answers that it is ready, and has the front take it in.
func (n *Node) awaitReady() {
	begun := time.Now()
	n.mu.Lock()
	p := n.proc
	n.mu.Unlock()
	for time.Since(begun) < readyBy {
		select {
		case <-p.ended:
			return
		case <-time.After(readyLook):
		}
		if ready(n.addr) {
			n.mu.Lock()
			n.in = n.proc == p && !p.told
			n.mu.Unlock()
			return
		}
	}
	n.fleet.find("ready", "%s was not ready in %v", n.name, readyBy)
}

// signal sends a signal to the process that runs.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.proc != nil {
		n.proc.cmd.Process.Signal(s)
	}
}

// kill kills the process without a word, and waits for its end.
func (n *Node) kill() {
	n.mu.Lock()
	p := n.proc
	p.told = true
	if n.killed.IsZero() {
		n.killed = time.Now()
	}
	n.mu.Unlock()
	n.fleet.log.Add(record.Record{Kind: record.NodeKill, Node: n.name})
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	n.fleet.log.Add(record.Record{Kind: record.NodeKill, Node: n.name})
	n.mu.Lock()
	n.in = false
	n.mu.Unlock()
}

// Times of a planned restart (PROTOCOL, figures). The settings' longest deadline is over 3 s, so it counts as that.
const (
	stopLeast = 3700 * time.Millisecond
	stopMore  = 600 * time.Millisecond
)

// stop tells the process to end, as at a planned restart, and kills it when its time is over.
func (n *Node) stop(front, more time.Duration) {
	n.mu.Lock()
	p := n.proc
	p.told, n.term = true, time.Now()
	n.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(front, func() {
		n.mu.Lock()
		n.in = n.in && n.proc != p
		n.mu.Unlock()
	})
	select {
	case <-p.ended:
		n.mu.Lock()
		err := p.err
		n.mu.Unlock()
		if err != nil {
			n.fleet.find("crash", "%s ended after SIGTERM with %v", n.name, err)
		}
	case <-time.After(stopLeast + more):
		n.kill()
	}
}

// suspect are lines of a node's log that nobody wants to see.
var suspect = regexp.MustCompile(`level=ERROR|^panic:|^fatal error:|DATA RACE|rule violated`)

// expected are those of them that a trouble asks for: a configuration that cannot be read.
var expected = regexp.MustCompile(`configuration rejected`)

// requestReceived begins the log line of a request that a node has read, up to its id.
const requestReceived = `msg="request received" request=`

// reviewLogs looks through the logs of all processes of the node, and returns the requests that it has read.
func (n *Node) reviewLogs(read map[string]string) {
	for _, path := range n.reports {
		text, err := os.ReadFile(path)
		if err != nil {
			n.fleet.find("log", "%v", err)
			continue
		}
		for line := range strings.Lines(string(text)) {
			if suspect.MatchString(line) && !expected.MatchString(line) {
				n.fleet.find("log", "%s: %s", filepath.Base(path), strings.TrimSpace(line))
			}
			if _, rest, found := strings.Cut(line, requestReceived); found {
				id, _, _ := strings.Cut(rest, " ")
				read[strings.TrimSpace(id)] = n.name
			}
		}
	}
}
