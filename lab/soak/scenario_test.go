//go:build soak

package soak

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
	"dillroute/lab/rules"
)

// fixture is one node on its platform, with clients.
type fixture struct {
	*testing.T
	fleet   *Fleet
	node    *Node
	stop    chan struct{}
	stopped chan struct{}
}

// newFixture creates a node that has not been started.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	program, clockLib := build(t)
	scenario := Scenario{Seed: 1, Nodes: 1, Program: program, ClockLib: clockLib, Directory: logDirectory(t, t.Name())}
	f := newFleet(scenario)
	if err := f.addNodes(rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	return &fixture{T: t, fleet: f, node: f.nodes[0]}
}

func (s *fixture) startNode() {
	s.Helper()
	if err := s.node.start(s.node.agent.Snapshot()); err != nil {
		s.Fatal(err)
	}
	s.node.awaitReady()
}

// startClients starts clients that make operations until stopClients.
func (s *fixture) startClients(clients int) {
	s.stop, s.stopped = make(chan struct{}), make(chan struct{}, clients)
	for i := range clients {
		c := s.fleet.newClient(fmt.Sprintf("c%d", i), 1, uint64(i))
		go func() { c.run(s.stop); s.stopped <- struct{}{} }()
	}
}

func (s *fixture) stopClients() {
	close(s.stop)
	for range cap(s.stopped) {
		<-s.stopped
	}
}

// checkRules reports violations of the rules, and findings.
func (s *fixture) checkRules() {
	s.Helper()
	for _, v := range rules.Check(s.fleet.log.All(), s.fleet.rulesConfig()) {
		s.Error(v)
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	for _, x := range s.fleet.findings {
		s.Error(x)
	}
}

// A node starts though the system calls by which it opens its socket and reads its configuration fail for a moment.
func TestNodeStartsDespiteTransientSystemCallFailures(t *testing.T) {
	s := newFixture(t)
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		until := time.Now().Add(700 * time.Millisecond)
		if err := s.node.startWithFailures(s.node.agent.Snapshot(), func(call uint32) syscall.Errno {
			if time.Now().Before(until) {
				return errno
			}
			return 0
		}); err != nil {
			t.Fatal(err)
		}
		s.node.awaitReady()
		s.node.mu.Lock()
		inService := s.node.inService
		s.node.mu.Unlock()
		if !inService {
			t.Fatalf("socket and open fail with %v for 0.7 s: the node is not ready\n%s", errno, s.logs())
		}
		s.node.stop(0, 0)
	}
	s.checkRules()
}

// Lists are followed and requests are served though the wall clock is stepped, forward or back.
func TestWallClockStepsAffectNeitherDiscoveryNorRequests(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.startNode()
			s.startClients(8)
			time.Sleep(300 * time.Millisecond)
			s.node.clock.Step(int64(step))
			for i := range 300 { // a busy discovery: each change is an answer, and a call that follows it
				s.fleet.registry.Update("both-9", func(x *platform.Endpoint) { x.Weight = 1 + float64(i)/100 })
				time.Sleep(40 * time.Millisecond)
			}
			for _, id := range []string{"read-1", "write-5", "read-2", "write-6"} {
				s.fleet.registry.Update(id, func(x *platform.Endpoint) { x.State = "draining" })
				time.Sleep(500 * time.Millisecond)
			}
			s.stopClients()
			s.checkRules()
			if refused, served := s.fleet.outcomes[record.Rejected], s.fleet.outcomes[record.Served]; served < 9*refused {
				t.Errorf("outcomes %v", s.fleet.outcomes)
			}
		})
	}
}

// A stop takes its time and loses no request though the wall clock is stepped meanwhile.
func TestShutdownIsUnaffectedByWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.startNode()
			s.startClients(12)
			time.Sleep(500 * time.Millisecond)
			time.AfterFunc(300*time.Millisecond, func() { s.node.clock.Step(int64(step)) })
			s.node.stop(300*time.Millisecond, 0)
			s.stopClients()
			received := map[string]string{}
			s.node.checkLogs(received)
			for _, c := range s.fleet.unanswered {
				if _, ok := received[c.id]; ok {
					t.Errorf("%s was read, and its connection closed with no answer", c.operation)
				}
			}
			if took := s.node.stopDuration(); took > minStopTime {
				t.Errorf("the stop took %v", took)
			}
			s.checkRules()
		})
	}
}

// logs returns what the node's processes have logged.
func (s *fixture) logs() string {
	text := ""
	for _, path := range s.node.logPaths {
		b, _ := os.ReadFile(path)
		text += string(b)
	}
	return text
}

// A new configuration that cannot be read at the moment of SIGHUP takes effect when it can.
func TestReloadRetriesAfterTransientReadFailure(t *testing.T) {
	s := newFixture(t)
	s.startNode()
	var failing atomic.Bool
	failing.Store(true)
	s.node.process.supervisor.Fail(func(call uint32) syscall.Errno {
		if call == syscall.SYS_OPENAT && failing.Load() {
			return syscall.ENFILE
		}
		return 0
	})
	s.node.reload()
	time.Sleep(300 * time.Millisecond)
	failing.Store(false)
	s.startClients(8)
	time.Sleep(reloadTime)
	s.fleet.registry.Update("read-1", func(x *platform.Endpoint) { x.State = "draining" })
	time.Sleep(1500 * time.Millisecond)
	s.stopClients()
	s.checkRules()
}

// Clients that connect in the first moments of a stop get a response though no connection can be accepted for a part of them.
func TestShutdownAcceptsConnectionsAfterTransientAcceptFailure(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO} {
		s := newFixture(t)
		s.startNode()
		until := time.Now().Add(200 * time.Millisecond)
		s.node.process.supervisor.Fail(func(call uint32) syscall.Errno {
			if call == syscall.SYS_ACCEPT4 && time.Now().Before(until) {
				return errno
			}
			return 0
		})
		stopped := make(chan struct{})
		go func() { defer close(stopped); s.node.stop(400*time.Millisecond, 0) }()
		var all sync.WaitGroup
		for i := range 30 {
			time.Sleep(10 * time.Millisecond)
			c := s.fleet.newClient(fmt.Sprintf("c%d", i), 1, uint64(i))
			all.Add(1)
			go func() { defer all.Done(); c.performOperation(make(chan struct{})) }()
		}
		all.Wait()
		<-stopped
		if served := s.fleet.outcomes[record.Served]; served < 20 {
			t.Errorf("%v: outcomes %v, want 30 requests nearly all served", errno, s.fleet.outcomes)
		}
		s.checkRules()
	}
}

func TestNodeServesWhenItsLogPipeIsClosed(t *testing.T) { testServingWithLogPipe(t, true) }
func TestNodeServesWhenItsLogPipeIsFull(t *testing.T)   { testServingWithLogPipe(t, false) }

// testServingWithLog checks that a node serves on, and stops in time, whatever becomes of the reader of its log.
func testServingWithLogPipe(t *testing.T, pipeClosed bool) {
	t.Helper()
	s := newFixture(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s.node.logFile = w
	s.startNode()
	w.Close()
	if pipeClosed {
		r.Close()
	}
	s.startClients(12)
	time.Sleep(4 * time.Second)
	s.stopClients()
	if served := s.fleet.outcomes[record.Served]; served < 100 {
		t.Errorf("outcomes %v", s.fleet.outcomes)
	}
	s.node.stop(0, 0)
	if took := s.node.stopDuration(); took > minStopTime {
		t.Errorf("the stop took %v", took)
	}
	s.checkRules()
}

// Requests survive a moment in which no connection to an engine can be made, and nearly all are served.
func TestRequestsSurviveTransientConnectFailures(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		s := newFixture(t)
		s.startNode()
		s.startClients(12)
		time.Sleep(time.Second)
		until := time.Now().Add(400 * time.Millisecond)
		s.node.process.supervisor.Fail(func(call uint32) syscall.Errno {
			if (call == syscall.SYS_SOCKET || call == syscall.SYS_CONNECT) && time.Now().Before(until) {
				return errno
			}
			return 0
		})
		time.Sleep(2 * time.Second)
		s.stopClients()
		t.Logf("%v: outcomes %v", errno, s.fleet.outcomes)
		if refused := s.fleet.outcomes[record.Rejected] + s.fleet.outcomes[record.Failed]; refused*20 > s.fleet.outcomes[record.Served] {
			t.Errorf("%v: outcomes %v, want nearly all served", errno, s.fleet.outcomes)
		}
		s.checkRules()
	}
}

// States are released in time though the decode attempts that would fetch them were written to connections that carry nothing any more:
// an attempt that has not reached a running engine is not in flight.
func TestStatesAreReleasedWhenDecodeConnectionsAreBlackholed(t *testing.T) {
	s := newFixture(t)
	s.startNode()
	s.startClients(16)
	time.Sleep(time.Second)
	s.setDecodeMode(Blackhole)
	time.Sleep(3500 * time.Millisecond)
	s.setDecodeMode(Forward)
	time.Sleep(time.Second)
	s.stopClients()
	s.checkRules()
}

// Reported from a pre-production run: states of requests that may be repeated were neither used nor released in time, on nodes that no
// signal and no list change had reached. The prefills were answered; the decode attempts had been written to connections that were open
// already, and were never taken.
//
// How it came about: the machines of several decode engines were cut off together. Their open connections took what was written and
// carried nothing; connections to others of them failed after the connect timeout, which used up most of the states' time.
//
// Cause: a written attempt counted as in flight, and three guards each relied on another to end it before the limit on the state: the
// scheduler cancels only attempts that are overdue, which failed connections put off, and only with two attempts left; the release
// beside a silent attempt left such classes to the scheduler; the host looked once.
//
// Proof: the pauses before the writes are the connect timeout, the ejections are those of failed connections; here the node's debug log
// has the one look ("attempt silent") and no release before the end of the client's time.
func TestStatesAreReleasedWhenDecodeEnginesAreCutOff(t *testing.T) {
	s := newFixture(t)
	s.startNode()
	s.startClients(40)
	rng := rand.New(rand.NewPCG(3, 1))
	for range 5 {
		time.Sleep(time.Second)
		var cut []*Proxy
		for _, id := range s.fleet.engineIDs {
			if id[0] != 'r' && rng.Float64() < cutOffShare {
				cut = append(cut, s.node.routes[id])
			}
		}
		setModes(cut, CutOff)
		time.Sleep(2500 * time.Millisecond)
		setModes(cut, Forward)
	}
	time.Sleep(time.Second)
	s.stopClients()
	s.checkRules()
}

// The same without failed connections: what is written to open connections is swallowed, again and again, while new ones work. Engines
// are heard of then, so that hearing of an engine is no proof that an attempt there has arrived.
func TestStatesAreReleasedWhenOpenConnectionsAreBlackholed(t *testing.T) {
	s := newFixture(t)
	s.startNode()
	s.startClients(24)
	time.Sleep(time.Second)
	rng := rand.New(rand.NewPCG(3, 2))
	for range 10 {
		for _, id := range s.fleet.engineIDs {
			if rng.IntN(2) == 0 {
				s.node.routes[id].BlackholeConnections()
			}
		}
		time.Sleep(time.Second)
	}
	time.Sleep(time.Second)
	s.stopClients()
	s.checkRules()
}

// setDecodeMode sets the mode of the proxies to all engines that decode.
func (s *fixture) setDecodeMode(m Mode) {
	for _, id := range s.fleet.engineIDs {
		if id[0] != 'r' {
			s.node.routes[id].SetMode(m)
		}
	}
}

// stopDuration returns how long the last stop took.
func (n *Node) stopDuration() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.endedAt.Sub(n.terminatedAt)
}
