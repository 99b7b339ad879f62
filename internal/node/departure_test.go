package node_test

import (
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// departures are the ways in which a client ends its connection.
var departures = map[string]func(c *net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
}

// deafAddress is an address at which connections never come up: nobody accepts, and the queue of its listener is full.
func deafAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	addr := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: name.(*syscall.SockaddrInet4).Port}
	for range 16 {
		c, err := net.DialTimeout("tcp", addr.String(), 100*time.Millisecond)
		if err != nil {
			return addr.String()
		}
		t.Cleanup(func() { c.Close() })
	}
	t.Fatal("connections still come up at a listener that accepts none")
	return ""
}

// start makes a request on a connection of its own, whose answer nobody reads.
func (s *stage) start(a *platform.Request, id string) *net.TCPConn {
	s.t.Helper()
	a.ID = id
	s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, ResponseTokens: a.ResponseTokens})
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	io.WriteString(c, a.Encode())
	return c.(*net.TCPConn)
}

// last is when an attempt for an op arrived last (Unix s); 0 = none did.
func (s *stage) last(op string) (at float64) {
	for _, x := range s.log.All() {
		if x.Kind == record.Arrive && x.Op == op {
			at = max(at, x.T)
		}
	}
	return at
}

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// A client leaves while the connection for its first attempt does not come up: nothing is sent when it would, and the attempt is
// not waited for.
func TestRelayClientLeavesWhileItsEngineConnects(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			settings := strings.Replace(platform.SettingsJSON, `"connect_timeout_s":0.25`, `"connect_timeout_s":30`, 1)
			s, _ := newStageWith(t, settings, 64, 256, "r0 read", "w0 write")
			deaf := deafAddress(t)
			s.d.Update("r0", func(x *platform.Endpoint) { x.Address = deaf })
			time.Sleep(50 * time.Millisecond) // the change is heard
			a := s.ask("commit")
			c := s.start(&a, "de01")
			s.eventually("the node holds it", func() bool { return s.node.Live() == 1 })
			time.Sleep(20 * time.Millisecond)
			leave(c)
			s.eventually("the node holds nothing", func() bool { return s.node.Held() == 0 })
			if at := s.last(a.Operation); at > 0 {
				t.Errorf("an attempt arrived at an engine that was never reached")
			}
			s.lawful()
		})
	}
}

// A client leaves in the moment in which its answer is granted: the first event is held before its socket. Whichever is heard
// of first, no further attempt begins and the engine's connection ends.
func TestRelayClientLeavesAsItsAnswerBegins(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			g := newGate(t, "HTTP/1.1 200")
			s, e := newStageOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
			e["w0"].TokenInterval = 20 * time.Millisecond
			a := s.ask("commit")
			a.ResponseTokens = 400 // 8 s
			c := s.start(&a, "de02")
			<-g.reached
			leave(c)
			left := unixNow()
			time.Sleep(20 * time.Millisecond)
			close(g.opened)
			s.eventually("the node holds nothing", func() bool { return s.node.Held() == 0 })
			if at := s.last(a.Operation); at > left+0.1 {
				t.Errorf("an attempt arrived %.3f s after the client had left", at-left)
			}
			if n := s.count(record.Run, a.Operation); n != 1 {
				t.Errorf("ran %d times, want once", n)
			}
			if took := unixNow() - left; took > 4 {
				t.Errorf("the stream ran on for %.1f s", took)
			}
			s.lawful()
		})
	}
}

// A client leaves in mid-stream: its engine is told by the end of its connection.
func TestRelayClientLeavesInMidStream(t *testing.T) {
	for how, leave := range departures {
		t.Run(how, func(t *testing.T) {
			s, e := newStage(t, 64, 256, "r0 read", "w0 write")
			e["w0"].TokenInterval = 20 * time.Millisecond
			a := s.ask("chat")
			a.ResponseTokens = 400 // 8 s
			c := s.start(&a, "de03")
			s.eventually("the stream runs", func() bool { return e["w0"].StreamsStarted() == 1 })
			time.Sleep(50 * time.Millisecond)
			left := time.Now()
			leave(c)
			s.eventually("the node holds nothing", func() bool { return s.node.Held() == 0 })
			if took := time.Since(left); took > 2*time.Second {
				t.Errorf("the stream ran on for %v", took)
			}
			s.lawful()
		})
	}
}

// A client leaves in the middle of what it sends: nothing is taken, and its connection is given back.
func TestRelayClientLeavesWhileItIsRead(t *testing.T) {
	for how, leave := range departures {
		for _, part := range []float64{0.02, 0.5, 0.99} {
			t.Run(how, func(t *testing.T) {
				s, _ := newStage(t, 64, 256, "r0 read", "w0 write")
				a := s.ask("commit")
				a.ID = "de04"
				text := a.Encode()
				s.p.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, ResponseTokens: a.ResponseTokens})
				c, err := net.Dial("tcp", s.node.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, text[:int(part*float64(len(text)))])
				leave(c.(*net.TCPConn))
				s.eventually("its connection is given back", func() bool { return s.node.Connections() == 0 })
				c.Close()
				if s.last(a.Operation) > 0 {
					t.Error("half a request was sent on")
				}
				s.lawful()
			})
		}
	}
}
