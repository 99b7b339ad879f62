package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// From 0.1 s after a client has closed its connection no attempt begins for it, wherever its request stood and whatever it has
// sent behind it; and what was held for it is released.
func TestRelayNothingBeginsForAClientThatLeft(t *testing.T) {
	for name, where := range map[string]func(s *stage, e map[string]*platform.Engine){
		"its read is out":      func(s *stage, e map[string]*platform.Engine) { e["r0"].SetStartDelay(150 * time.Millisecond) },
		"between its attempts": func(s *stage, e map[string]*platform.Engine) { rejectMany(e, "r0") },
		"its state waits":      func(s *stage, e map[string]*platform.Engine) { rejectMany(e, "w0") },
		"no engine is up for it": func(s *stage, e map[string]*platform.Engine) {
			s.d.SetState("w0", "draining")
			s.d.SetState("r0", "draining")
		},
	} {
		for behind, text := range map[string]string{"": "", " with much behind it": strings.Repeat("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", 500)} {
			t.Run(name+behind, func(t *testing.T) {
				s, e := newStage(t, 64, 256, "r0 read", "w0 write")
				where(s, e)
				time.Sleep(30 * time.Millisecond) // a change of the list is heard
				a := s.ask("chat")
				a.ID = "1eff"
				s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, Attempt: 1, ResponseTokens: a.ResponseTokens})
				c, err := net.Dial("tcp", s.node.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, a.Encode()+text)
				time.Sleep(60 * time.Millisecond)
				c.Close()
				gone := float64(time.Now().UnixNano()) / 1e9
				time.Sleep(500 * time.Millisecond)
				for _, x := range s.log.All() {
					if x.Kind == record.Arrive && x.Op == a.Operation && x.T > gone+0.1 {
						t.Errorf("an attempt reached %s %.3f s after its client had gone", x.Engine, x.T-gone)
					}
				}
				s.eventually("the node has forgotten it", func() bool { return s.node.Held() == 0 })
				s.lawful()
			})
		}
	}
}

// rejectMany has an engine reject whatever comes for a while.
func rejectMany(e map[string]*platform.Engine, id string) {
	for range 60 {
		e[id].QueueFaults(platform.Rejection)
	}
}

// A client that ends its sending and waits gets an answer, though an attempt is the first to see that it has ended it: the client has
// sent so much behind its request that its connection is but looked at now and then.
func TestRelayClientThatEndsItsSendingIsAnswered(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	behind := strings.Repeat("x", 1<<20+16<<10)
	for i := range 5 {
		rejectMany(e, "r0")
		a := s.ask([]string{"chat", "commit"}[i%2])
		a.Timeout = time.Second
		a.ID = fmt.Sprintf("%016x", 0x4a1f00+i)
		s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, ResponseTokens: a.ResponseTokens})
		c, err := net.Dial("tcp", s.node.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, a.Encode()+behind)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("request %d: got no answer: %v", i, err)
		}
		c.Close()
	}
}

// A state that no engine could be told to release in time is released when one can be reached again.
func TestRelayStateIsReleasedAfterAnOutage(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write")
	rejectMany(e, "w0")
	a := s.ask("chat")
	a.ID = "1eff"
	s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, Attempt: 1, ResponseTokens: a.ResponseTokens})
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, a.Encode())
	s.eventually("a state is held", func() bool { return s.p.CallsWithState() == 1 })
	for _, x := range e {
		x.SetHung(true)
	}
	c.Close()
	time.Sleep(2500 * time.Millisecond)
	for _, x := range e {
		x.SetHung(false)
	}
	s.eventually("the state is released", func() bool { return s.p.CallsWithState() == 0 })
}
