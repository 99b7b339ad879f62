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

// process is one process of a node. The node's lock guards err and the fields after it.
type process struct {
	cmd        *exec.Cmd
	supervisor Supervisor
	ended      chan struct{} // closed when the process has ended

	err           error // result of waiting for its end
	endedAt       time.Time
	stopRequested bool // SIGTERM or SIGKILL was sent to it
}

// start starts a process. known is the endpoint list that it starts with. The caller calls awaitReady, which puts it into service.
func (n *Node) start(known []byte) error { return n.startWithFailures(known, nil) }

// startWithFailures is like start, but the watched system calls of the process fail from its beginning as fail decides (Supervisor.Fail).
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

// command returns the command of a new process. It runs this program, which Launch replaces by the node's program under the system call
// filter.
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

// awaitEnd waits for the end of a process. It reports the process if it ended without having been sent SIGTERM or SIGKILL.
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
		n.fleet.report("crash", "%s (start %d) exited unexpectedly: %v", n.name, starts, err)
	}
	close(p.ended)
}

// signal sends a signal to the node's current process, if any.
func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.process.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end. It records a kill before the signal and another at the end of the process, because the
// process may still act between the two.
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

// Times of a planned restart (PROTOCOL of the platform, figures). minStopTime is 0.7 s more than the longest deadline of the settings.
// That deadline is over 3 s, and counts as 3 s.
const (
	minStopTime      = 3700 * time.Millisecond // minimum time from SIGTERM to SIGKILL
	maxExtraStopTime = 600 * time.Millisecond  // maximum time that some processes get in addition
)

// stop ends the process as a planned restart does. It sends SIGTERM, and SIGKILL if the process has not ended after minStopTime + extra.
// After SIGTERM, the node stays in service for the time given by serving.
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
			n.fleet.report("crash", "%s exited after SIGTERM with an error: %v", n.name, err)
		}
	case <-time.After(minStopTime + extra):
		n.kill()
	}
}
