package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"dillroute/lab/record"
)

// process is one process of a node. The node's lock guards the fields from err on.
type process struct {
	cmd        *exec.Cmd
	supervisor Supervisor
	ended      chan struct{} // closed when the process has ended

	err           error // with which it ended
	endedAt       time.Time
	stopRequested bool // it was sent SIGTERM or killed
}

// start starts a process with a known endpoint list; awaitReady puts it into service.
func (n *Node) start(known []byte) error { return n.startWithFailures(known, nil) }

// startUnder is start where the watched system calls fail as given from the beginning.
func (n *Node) startWithFailures(known []byte, fail func(call uint32) syscall.Errno) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	if err := n.writeConfig(known); err != nil {
		return err
	}
	logFile := n.logFile
	if logFile == nil {
		path := filepath.Join(n.fleet.scenario.Directory, fmt.Sprintf("%s-%d.log", n.name, n.starts))
		file, err := os.Create(path)
		if err != nil {
			return err
		}
		defer file.Close()
		logFile = file
		n.logPaths = append(n.logPaths, path)
	}
	cmd, err := n.command(logFile)
	if err != nil {
		return err
	}
	p := &process{cmd: cmd, ended: make(chan struct{})}
	p.supervisor.watchedFile = n.config
	p.supervisor.Fail(fail)
	if err := p.supervisor.start(cmd); err != nil {
		return err
	}
	n.process = p
	n.terminatedAt = time.Time{}
	n.killedAt = time.Time{}
	n.fleet.log.Add(record.Record{Kind: record.NodeStarted, Node: n.name})
	go n.awaitEnd(p)
	return nil
}

// command is this very program, which becomes the node's program under the filter of system calls (Launch).
func (n *Node) command(logFile *os.File) (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(self, "serve", "--relay", "--log", "debug")
	cmd.Env = append(os.Environ(),
		envProgram+"="+n.fleet.scenario.Program,
		fmt.Sprintf("%s=%d", envDescriptors, nodeSockets),
		envClock+"="+n.clock.path,
		"LD_PRELOAD="+n.fleet.scenario.ClockLib,
		"RELAY_CONFIG="+n.config,
		"RELAY_NAME="+n.name,
		"RELAY_LISTEN="+n.address,
		"RELAY_DISCOVERY="+n.agent.Address())
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	return cmd, nil
}

// awaitEnd waits for the end of a process, and reports one that ends by itself.
func (n *Node) awaitEnd(p *process) {
	err := p.cmd.Wait()
	n.mu.Lock()
	p.err = err
	p.endedAt = time.Now()
	n.inService = n.inService && n.process != p
	requested := p.stopRequested
	starts := n.starts
	n.mu.Unlock()
	if !requested {
		n.fleet.report("crash", "%s (start %d) ended by itself: %v", n.name, starts, err)
	}
	close(p.ended)
}

// signal sends a signal to the process.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end. Both moments are recorded: the process may have acted until the second.
func (n *Node) kill() {
	n.mu.Lock()
	p := n.process
	p.stopRequested = true
	if n.killedAt.IsZero() {
		n.killedAt = time.Now()
	}
	n.mu.Unlock()
	n.fleet.log.Add(record.Record{Kind: record.NodeKilled, Node: n.name})
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
	n.fleet.log.Add(record.Record{Kind: record.NodeKilled, Node: n.name})
	n.mu.Lock()
	n.inService = false
	n.mu.Unlock()
}

// Times of a planned restart (PROTOCOL of the platform, figures). The settings' longest deadline is over 3 s, so it counts as that.
const (
	minStopTime      = 3700 * time.Millisecond // that a process is given
	maxExtraStopTime = 600 * time.Millisecond  // that some are given beyond it
)

// stop ends the process as a planned restart does: with SIGTERM, and with SIGKILL when its time is over. Clients are sent to it for a
// further time serving.
func (n *Node) stop(serving, extra time.Duration) {
	n.mu.Lock()
	p := n.process
	p.stopRequested = true
	n.terminatedAt = time.Now()
	n.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(serving, func() {
		n.mu.Lock()
		n.inService = n.inService && n.process != p
		n.mu.Unlock()
	})
	select {
	case <-p.ended:
		n.mu.Lock()
		err := p.err
		n.mu.Unlock()
		if err != nil {
			n.fleet.report("crash", "%s ended after SIGTERM with %v", n.name, err)
		}
	case <-time.After(minStopTime + extra):
		n.kill()
	}
}
