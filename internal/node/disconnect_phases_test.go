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

// disconnects are the ways in which a client can close its connection.
var disconnects = map[string]func(c *net.TCPConn){
	"close":      func(c *net.TCPConn) { c.Close() },
	"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	"half close": func(c *net.TCPConn) { c.CloseWrite() },
}

// unreachableAddress returns an address where no connection can be established: the listener accepts none and its backlog is full.
func unreachableAddress(t *testing.T) string {
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
	t.Fatal("connections are still established at a listener that accepts none")
	return ""
}

// startRequest sends a request on a connection of its own and does not read the response.
func (h *relayHarness) startRequest(request *platform.Request, id string) *net.TCPConn {
	h.t.Helper()
	request.ID = id
	h.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class,
		ResponseTokens: request.ResponseTokens})
	c, err := net.Dial("tcp", h.node.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	io.WriteString(c, request.Encode())
	return c.(*net.TCPConn)
}

// lastArrival returns when the latest attempt of an operation arrived at an engine (Unix time in s); 0 = none did.
func (h *relayHarness) lastArrival(op string) (at float64) {
	for _, x := range h.log.All() {
		if x.Kind == record.AttemptArrived && x.Op == op {
			at = max(at, x.T)
		}
	}
	return at
}

func unixNow() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// A client disconnects while the connection for its first attempt is being established. Nothing may be sent, and the node must not wait
// for the end of the connection attempt.
func TestRelayDisconnectWhileEngineConnects(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			settings := strings.Replace(platform.SettingsJSON, `"connect_timeout_s":0.25`, `"connect_timeout_s":30`, 1)
			harness, _ := newRelayHarnessWith(t, settings, 64, 256, "r0 read", "w0 write")
			unreachable := unreachableAddress(t)
			harness.discovery.Update("r0", func(x *platform.Endpoint) { x.Address = unreachable })
			time.Sleep(50 * time.Millisecond) // until the node has polled the endpoint list
			request := harness.newRequest("commit")
			c := harness.startRequest(&request, "de01")
			harness.eventually("the request is open", func() bool { return harness.node.OpenRequests() == 1 })
			time.Sleep(20 * time.Millisecond)
			disconnect(c)
			harness.eventually("the node has forgotten the request", func() bool { return harness.node.UnfinishedRequests() == 0 })
			if at := harness.lastArrival(request.Operation); at > 0 {
				t.Errorf("got an attempt at an unreachable engine, want none")
			}
			harness.requireNoViolations()
		})
	}
}

// A client disconnects when its response has been granted and the write of the first event to its socket is blocked. Whichever
// the node processes first, the disconnect or the write, no further attempt may start, and the engine's connection must be closed.
func TestRelayDisconnectAsResponseBegins(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			g := newWriteGate(t, "HTTP/1.1 200")
			harness, engines := newRelayHarnessOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
			engines["w0"].TokenInterval = 20 * time.Millisecond
			request := harness.newRequest("commit")
			request.ResponseTokens = 400 // 8 s
			c := harness.startRequest(&request, "de02")
			<-g.reached
			disconnect(c)
			disconnectedAt := unixNow()
			time.Sleep(20 * time.Millisecond)
			close(g.opened)
			harness.eventually("the node has forgotten the request", func() bool { return harness.node.UnfinishedRequests() == 0 })
			if at := harness.lastArrival(request.Operation); at > disconnectedAt+0.1 {
				t.Errorf("got an attempt %.3f s after the client disconnected, want none from 0.1 s on", at-disconnectedAt)
			}
			if n := harness.countRecords(record.EffectStarted, request.Operation); n != 1 {
				t.Errorf("ran %d times, want 1", n)
			}
			if took := unixNow() - disconnectedAt; took > 4 {
				t.Errorf("the stream continued for %.1f s, want at most 4", took)
			}
			harness.requireNoViolations()
		})
	}
}

// A client disconnects in mid-stream. The engine's connection must be closed.
func TestRelayDisconnectMidStream(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
			engines["w0"].TokenInterval = 20 * time.Millisecond
			request := harness.newRequest("chat")
			request.ResponseTokens = 400 // 8 s
			c := harness.startRequest(&request, "de03")
			harness.eventually("the stream runs", func() bool { return engines["w0"].StreamsStarted() == 1 })
			time.Sleep(50 * time.Millisecond)
			disconnectedAt := time.Now()
			disconnect(c)
			harness.eventually("the node has forgotten the request", func() bool { return harness.node.UnfinishedRequests() == 0 })
			if took := time.Since(disconnectedAt); took > 2*time.Second {
				t.Errorf("the stream continued for %v, want at most 2s", took)
			}
			harness.requireNoViolations()
		})
	}
}

// A client disconnects while it is sending its request. Nothing may be forwarded, and its connection must be released.
func TestRelayDisconnectWhileRequestIsRead(t *testing.T) {
	for how, disconnect := range disconnects {
		for _, part := range []float64{0.02, 0.5, 0.99} {
			t.Run(how, func(t *testing.T) {
				harness, _ := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
				request := harness.newRequest("commit")
				request.ID = "de04"
				text := request.Encode()
				harness.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class,
					ResponseTokens: request.ResponseTokens})
				c, err := net.Dial("tcp", harness.node.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				io.WriteString(c, text[:int(part*float64(len(text)))])
				disconnect(c.(*net.TCPConn))
				harness.eventually("the client connection is closed", func() bool { return harness.node.Connections() == 0 })
				c.Close()
				if harness.lastArrival(request.Operation) > 0 {
					t.Error("an incomplete request was forwarded to an engine")
				}
				harness.requireNoViolations()
			})
		}
	}
}
