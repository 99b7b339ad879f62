package node_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// The state of a read is released in time though its holder and every engine of the other role hang, with the attempt that was
// to take it still out: when the client leaves, and when its time is up.
func TestRelayReleasesWhereARoleIsSilent(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		s, e := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write", "w2 write")
		for _, id := range []string{"w0", "w1", "w2"} {
			e[id].SetHung(true)
		}
		a := s.ask("chat")
		a.Timeout = 1500 * time.Millisecond
		c := s.start(&a, "1ea5e0")
		s.eventually("a state waits", func() bool { return s.p.CallsWithState() == 1 })
		for _, id := range []string{"r0", "r1"} {
			if s.count(record.Parsed, a.Operation) > 0 && s.holder(a.Operation) == id {
				e[id].SetHung(true)
			}
		}
		if leaves {
			time.Sleep(20 * time.Millisecond) // the writer's attempt is out
			c.Close()
		}
		s.lawful()
		for _, x := range e {
			x.SetHung(false)
		}
		s.eventually("the node holds nothing", func() bool { return s.node.Held() == 0 })
	}
}

// holder is the engine at which an op was read first.
func (s *stage) holder(op string) string {
	for _, x := range s.log.All() {
		if x.Kind == record.Parsed && x.Op == op {
			return x.Engine
		}
	}
	return ""
}

// Releases that are owed when a node is told to stop are made before it ends, though the engine asked first says nothing.
func TestRelayStopMakesTheReleasesOwed(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write")
	e["w0"].SetHung(true)
	a := s.ask("chat")
	s.start(&a, "1ea5e1")
	s.eventually("a state waits", func() bool { return s.p.CallsWithState() == 1 })
	e[s.holder(a.Operation)].SetHung(true)
	s.stopped = true
	s.node.Shutdown(0)
	if n := s.p.CallsWithState(); n > 0 {
		t.Errorf("the node ended with %d states held", n)
	}
	for _, x := range e {
		x.SetHung(false)
	}
	s.lawful()
}

// The state of a read is released in time though the attempt that was to take it is out: its request lies in the kernel, for the writer's
// machine takes no more bytes. A send that has not arrived does not stop the time of what is held.
func TestRelayReleasesWhereASendDoesNotArrive(t *testing.T) {
	s, _ := newStage(t, 64, 256, "r0 read", "w0 write")
	full := fullListener(t)
	s.d.Update("w0", func(x *platform.Endpoint) { x.Address = full.Addr().String() })
	time.Sleep(100 * time.Millisecond) // the change is heard
	a := s.ask("commit")
	a.Operation = strings.Repeat("x", 60<<10)
	s.do(a)
	s.lawful()
}

// fullListener takes connections and reads nothing of them; its kernel holds but a few bytes for each.
func fullListener(t *testing.T) net.Listener {
	t.Helper()
	lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		c.Control(func(fd uintptr) { err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1<<10) })
		return err
	}}
	l, err := lc.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var conns []net.Conn
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() {
		l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			c.Close()
		}
	})
	return l
}
