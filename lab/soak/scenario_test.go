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

// fixture is a fleet of one node, with clients.
type fixture struct {
	*testing.T
	fleet   *Fleet
	node    *Node
	stop    chan struct{}
	stopped chan struct{}
}

// newFixture creates a fixture with the engines of initialEngineRoles, whose node has not been started.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	return newFixtureWithEngines(t, 0)
}

// newFixtureWithEngines creates a fixture whose node has not been started. engines is the number of engines (Scenario.Engines).
func newFixtureWithEngines(t *testing.T, engines int) *fixture {
	t.Helper()
	program, clockLib := build(t)
	scenario := Scenario{
		Seed:      1,
		Nodes:     1,
		Engines:   engines,
		Program:   program,
		ClockLib:  clockLib,
		Directory: logDirectory(t, t.Name()),
	}
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

// startClients starts clients that perform operations until stopClients is called.
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

// checkRules reports violations of the rules and other findings as test errors.
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

// A node becomes ready even if the system calls that open its socket and its configuration file fail during the first 0.7 s.
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
			t.Fatalf("node is not ready after socket and open failed with %v for 0.7 s\n%s", errno, s.logs())
		}
		s.node.stop(0, 0)
	}
	s.checkRules()
}

// A step of the wall clock, forward or back, must not keep a node from applying endpoint lists and serving requests.
func TestWallClockStepsAffectNeitherDiscoveryNorRequests(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newFixture(t)
			s.startNode()
			s.startClients(8)
			time.Sleep(300 * time.Millisecond)
			s.node.clock.Step(int64(step))
			for i := range 300 { // each change answers one discovery call, and the node then makes the next
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
				t.Errorf("outcomes %v, want at least nine served for each rejected", s.fleet.outcomes)
			}
		})
	}
}

// A step of the wall clock during a shutdown must not delay the shutdown. It must not leave a received request without a response either.
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
					t.Errorf("%s was received, but its connection closed without a response", c.operation)
				}
			}
			if took := s.node.stopDuration(); took > minStopTime {
				t.Errorf("shutdown took %v", took)
			}
			s.checkRules()
		})
	}
}

// logs returns the logs of the node's processes.
func (s *fixture) logs() string {
	text := ""
	for _, path := range s.node.logPaths {
		b, _ := os.ReadFile(path)
		text += string(b)
	}
	return text
}

// A new configuration file that cannot be opened when SIGHUP arrives takes effect once it can be opened.
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

// Clients that connect early in a shutdown get a response even if accept fails during the first 0.2 s.
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

// testServingWithLogPipe checks that a node continues to serve, and stops within minStopTime of SIGTERM, if its log is written to a pipe
// that is closed or from which nobody reads.
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
		t.Errorf("outcomes %v, want at least 100 served", s.fleet.outcomes)
	}
	s.node.stop(0, 0)
	if took := s.node.stopDuration(); took > minStopTime {
		t.Errorf("shutdown took %v", took)
	}
	s.checkRules()
}

// Nearly all requests are served even if no connection to an engine can be opened for 0.4 s.
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

// States must be released before their limit even if the decode attempts that would fetch them were written to connections that carry
// nothing more. Such an attempt has not reached a running engine, so it does not count as in flight.
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

// Guards against states of repeatable requests that are neither used nor released before their limit when several decode engines are cut
// off immediately. Attempts can be written to open connections to these engines, but are not delivered. New connections fail only after the
// connect timeout, which uses up most of the time within the limit.
//
// The failure arose because a written attempt counted as in flight, and each of three mechanisms relied on another one to end it before
// the limit. The scheduler cancels an attempt only if it is overdue, which failed connections delay, and only with two attempts left. The
// release beside a silent attempt left these classes to the scheduler. The host checked only once (log line "attempt silent"). So
// nothing released the states before the client's time ended.
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

// Guards against the same failure as TestStatesAreReleasedWhenDecodeEnginesAreCutOff, but without failed connections. Open connections
// repeatedly stop carrying data, while new ones work. So nodes still receive responses from an engine to which an earlier attempt was
// not delivered.
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

// setDecodeMode sets the mode of the proxies to all decode and mixed engines.
func (s *fixture) setDecodeMode(m Mode) {
	for _, id := range s.fleet.engineIDs {
		if id[0] != 'r' {
			s.node.routes[id].SetMode(m)
		}
	}
}

// stopDuration returns the time from the last SIGTERM to the end of the process.
func (n *Node) stopDuration() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.endedAt.Sub(n.terminatedAt)
}
