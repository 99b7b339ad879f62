package node_test

import (
	"testing"
	"time"

	"dillroute/lab/record"
)

// The state of a read is released in time though its holder and every engine of the other role hang, with the attempt that was
// to take it still out: when the client leaves, and when its time is up.
func TestRelayReleasesWhereARoleIsSilent(t *testing.T) {
	for _, leaves := range []bool{true, false} {
		s, e := newStage(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write", "w2 write")
		for _, id := range []string{"w0", "w1", "w2"} {
			e[id].Hang(true)
		}
		a := s.ask("chat")
		a.Patience = 1500 * time.Millisecond
		c := s.start(&a, "1ea5e0")
		s.eventually("a state waits", func() bool { return s.p.Held() == 1 })
		for _, id := range []string{"r0", "r1"} {
			if s.count(record.Parsed, a.Op) > 0 && s.holder(a.Op) == id {
				e[id].Hang(true)
			}
		}
		if leaves {
			time.Sleep(20 * time.Millisecond) // the writer's attempt is out
			c.Close()
		}
		s.lawful()
		for _, x := range e {
			x.Hang(false)
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
	e["w0"].Hang(true)
	a := s.ask("chat")
	s.start(&a, "1ea5e1")
	s.eventually("a state waits", func() bool { return s.p.Held() == 1 })
	e[s.holder(a.Op)].Hang(true)
	s.stopped = true
	s.node.Shutdown(0)
	if n := s.p.Held(); n > 0 {
		t.Errorf("the node ended with %d states held", n)
	}
	for _, x := range e {
		x.Hang(false)
	}
	s.lawful()
}
