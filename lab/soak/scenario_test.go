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

// scene is one node on its platform, with clients that ask all the while.
type scene struct {
	*testing.T
	f    *Fleet
	n    *Node
	over chan struct{}
	done chan struct{}
}

// newScene makes a node that has not been started.
func newScene(t *testing.T) *scene {
	t.Helper()
	program, clockLib := build(t)
	day := Day{Seed: 1, Nodes: 1, Program: program, ClockLib: clockLib, Dir: logFolder(t, t.Name())}
	f := newFleet(day)
	if err := f.addNodes(rand.New(rand.NewPCG(1, 1))); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.end)
	return &scene{T: t, f: f, n: f.nodes[0]}
}

func (s *scene) start() {
	s.Helper()
	if err := s.n.start(s.n.agent.List()); err != nil {
		s.Fatal(err)
	}
	s.n.awaitReady()
}

// ask has clients ask until stopAsking.
func (s *scene) ask(clients int) {
	s.over, s.done = make(chan struct{}), make(chan struct{}, clients)
	for i := range clients {
		c := &client{fleet: s.f, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(1, uint64(i))), conns: map[*Node]*kept{}}
		go func() { c.run(s.over); s.done <- struct{}{} }()
	}
}

func (s *scene) stopAsking() {
	close(s.over)
	for range cap(s.done) {
		<-s.done
	}
}

// lawful judges what passed.
func (s *scene) lawful() {
	s.Helper()
	for _, v := range rules.Check(s.f.log.All(), s.f.rulesConfig()) {
		s.Error(v)
	}
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	for _, x := range s.f.finds {
		s.Error(x)
	}
}

// A node starts though the system calls by which it opens its socket and reads its configuration fail for a moment.
func TestNodeStartsThoughSystemCallsFailForAMoment(t *testing.T) {
	s := newScene(t)
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		until := time.Now().Add(700 * time.Millisecond)
		if err := s.n.startUnder(s.n.agent.List(), func(call uint32) syscall.Errno {
			if time.Now().Before(until) {
				return errno
			}
			return 0
		}); err != nil {
			t.Fatal(err)
		}
		s.n.awaitReady()
		s.n.mu.Lock()
		in := s.n.in
		s.n.mu.Unlock()
		if !in {
			t.Fatalf("socket and open fail with %v for 0.7 s: the node is not ready\n%s", errno, s.logs())
		}
		s.n.stop(0, 0)
	}
	s.lawful()
}

// Lists are followed and requests are served though the wall clock is stepped, forward or back.
func TestWallClockStepsChangeNothing(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour, -3 * time.Second, 3 * time.Second} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newScene(t)
			s.start()
			s.ask(8)
			time.Sleep(300 * time.Millisecond)
			s.n.clock.Step(int64(step))
			for i := range 300 { // a busy discovery: each change is an answer, and a call that follows it
				s.f.reg.Set("both-9", func(x *platform.Endpoint) { x.Weight = 1 + float64(i)/100 })
				time.Sleep(40 * time.Millisecond)
			}
			for _, id := range []string{"read-1", "write-5", "read-2", "write-6"} {
				s.f.reg.Set(id, func(x *platform.Endpoint) { x.State = "draining" })
				time.Sleep(500 * time.Millisecond)
			}
			s.stopAsking()
			s.lawful()
			if refused, served := s.f.outcomes[record.Refused], s.f.outcomes[record.Served]; served < 9*refused {
				t.Errorf("outcomes %v", s.f.outcomes)
			}
		})
	}
}

// A stop is the same though the wall clock is stepped while it lasts.
func TestWallClockStepsDuringAStop(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			s := newScene(t)
			s.start()
			s.ask(12)
			time.Sleep(500 * time.Millisecond)
			time.AfterFunc(300*time.Millisecond, func() { s.n.clock.Step(int64(step)) })
			s.n.stop(300*time.Millisecond, 0)
			s.stopAsking()
			read := map[string]string{}
			s.n.reviewLogs(read)
			for _, c := range s.f.crossed {
				if _, ok := read[c.id]; ok {
					t.Errorf("%s was read, and its connection closed with no answer", c.op)
				}
			}
			if took := s.n.lasted(); took > stopLeast {
				t.Errorf("the stop took %v", took)
			}
			s.lawful()
		})
	}
}

// logs is what the node's processes wrote.
func (s *scene) logs() string {
	text := ""
	for _, path := range s.n.reports {
		b, _ := os.ReadFile(path)
		text += string(b)
	}
	return text
}

// A new configuration that cannot be read in the moment of SIGHUP is taken when it can.
func TestNewConfigurationIsTakenThoughItCannotBeReadAtOnce(t *testing.T) {
	s := newScene(t)
	s.start()
	var failing atomic.Bool
	failing.Store(true)
	s.n.proc.calls.Fail(func(call uint32) syscall.Errno {
		if call == syscall.SYS_OPENAT && failing.Load() {
			return syscall.ENFILE
		}
		return 0
	})
	s.n.reload()
	time.Sleep(300 * time.Millisecond)
	failing.Store(false)
	s.ask(8)
	time.Sleep(toldAfterReload)
	s.f.reg.Set("read-1", func(x *platform.Endpoint) { x.State = "draining" })
	time.Sleep(1500 * time.Millisecond)
	s.stopAsking()
	s.lawful()
}

// What connects in the first moments of a stop is answered though no connection can be accepted for a part of them.
func TestStopAcceptsThoughAcceptFailsForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EPROTO} {
		s := newScene(t)
		s.start()
		until := time.Now().Add(200 * time.Millisecond)
		s.n.proc.calls.Fail(func(call uint32) syscall.Errno {
			if call == syscall.SYS_ACCEPT4 && time.Now().Before(until) {
				return errno
			}
			return 0
		})
		stopped := make(chan struct{})
		go func() { defer close(stopped); s.n.stop(400*time.Millisecond, 0) }()
		var all sync.WaitGroup
		for i := range 30 {
			time.Sleep(10 * time.Millisecond)
			c := &client{fleet: s.f, name: fmt.Sprintf("c%d", i), rng: rand.New(rand.NewPCG(1, uint64(i))), conns: map[*Node]*kept{}}
			all.Add(1)
			go func() { defer all.Done(); c.want(make(chan struct{})) }()
		}
		all.Wait()
		<-stopped
		if served := s.f.outcomes[record.Served]; served < 20 {
			t.Errorf("%v: outcomes %v, want 30 requests nearly all served", errno, s.f.outcomes)
		}
		s.lawful()
	}
}

func TestNodeServesThoughTheReaderOfItsLogHasGone(t *testing.T) { servesWithLog(t, true) }
func TestNodeServesThoughTheReaderOfItsLogIsStuck(t *testing.T) { servesWithLog(t, false) }

// servesWithLog: a node serves on, and stops in time, whatever becomes of its log.
func servesWithLog(t *testing.T, gone bool) {
	s := newScene(t)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	s.n.out = w
	s.start()
	w.Close()
	if gone {
		r.Close()
	}
	s.ask(12)
	time.Sleep(4 * time.Second)
	s.stopAsking()
	if served := s.f.outcomes[record.Served]; served < 100 {
		t.Errorf("outcomes %v", s.f.outcomes)
	}
	s.n.stop(0, 0)
	if took := s.n.lasted(); took > stopLeast {
		t.Errorf("the stop took %v", took)
	}
	s.lawful()
}

// Requests outlive a moment in which no connection to an engine can be made, and nothing of it is left behind.
func TestRequestsOutliveAMomentWithoutConnections(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.EADDRNOTAVAIL, syscall.ENETUNREACH} {
		s := newScene(t)
		s.start()
		s.ask(12)
		time.Sleep(time.Second)
		until := time.Now().Add(400 * time.Millisecond)
		s.n.proc.calls.Fail(func(call uint32) syscall.Errno {
			if (call == syscall.SYS_SOCKET || call == syscall.SYS_CONNECT) && time.Now().Before(until) {
				return errno
			}
			return 0
		})
		time.Sleep(2 * time.Second)
		s.stopAsking()
		t.Logf("%v: outcomes %v", errno, s.f.outcomes)
		if refused := s.f.outcomes[record.Refused] + s.f.outcomes[record.Failed]; refused*20 > s.f.outcomes[record.Served] {
			t.Errorf("%v: outcomes %v, want nearly all served", errno, s.f.outcomes)
		}
		s.lawful()
	}
}

// States are released in time though the sends that are to take them lie on connections that have fallen silent behind a machine that
// has taken their bytes: what has not reached a running engine is not out.
func TestSilentConnectionsDoNotHoldStates(t *testing.T) {
	s := newScene(t)
	s.start()
	s.ask(16)
	time.Sleep(time.Second)
	s.silence(Silent)
	time.Sleep(3500 * time.Millisecond)
	s.silence(Pass)
	time.Sleep(time.Second)
	s.stopAsking()
	s.lawful()
}

// silence sets the mode of the ways to all engines that answer.
func (s *scene) silence(m Mode) {
	for _, id := range s.f.order {
		if id[0] != 'r' {
			s.n.reach[id].Set(m)
		}
	}
}

// lasted is how long the last stop took.
func (n *Node) lasted() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proc.at.Sub(n.term)
}
