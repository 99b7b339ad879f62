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

// A client closes its connection while its request is in some phase, with and without further bytes sent after the request. From 0.1 s
// after that, no attempt may start for the request, and the states held for it must be released.
func TestRelayNoAttemptStartsAfterClientDisconnect(t *testing.T) {
	for name, setUp := range map[string]func(harness *relayHarness, engines map[string]*platform.Engine){
		"prefill in flight": func(harness *relayHarness, engines map[string]*platform.Engine) {
			engines["r0"].SetStartDelay(150 * time.Millisecond)
		},
		"between attempts": func(harness *relayHarness, engines map[string]*platform.Engine) { rejectAttempts(engines, "r0") },
		"state held":       func(harness *relayHarness, engines map[string]*platform.Engine) { rejectAttempts(engines, "w0") },
		"no engine ready": func(harness *relayHarness, engines map[string]*platform.Engine) {
			harness.discovery.SetState("w0", "draining")
			harness.discovery.SetState("r0", "draining")
		},
	} {
		for suffix, trailing := range map[string]string{"": "",
			", pipelined bytes": strings.Repeat("GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n", 500)} {
			t.Run(name+suffix, func(t *testing.T) {
				harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
				setUp(harness, engines)
				time.Sleep(30 * time.Millisecond) // until the node has polled the endpoint list
				harness.requireNoAttemptAfterDisconnect(trailing)
			})
		}
	}
}

// requireNoAttemptAfterDisconnect sends a request followed by trailing bytes, closes the connection, and requires that no attempt starts
// from 0.1 s after that.
func (h *relayHarness) requireNoAttemptAfterDisconnect(trailing string) {
	h.t.Helper()
	request := h.newRequest("chat")
	request.ID = "1eff"
	h.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class, Attempt: 1,
		ResponseTokens: request.ResponseTokens})
	c, err := net.Dial("tcp", h.node.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	io.WriteString(c, request.Encode()+trailing)
	time.Sleep(60 * time.Millisecond)
	c.Close()
	disconnectedAt := unixNow()
	time.Sleep(500 * time.Millisecond)
	for _, x := range h.log.All() {
		if x.Kind == record.AttemptArrived && x.Op == request.Operation && x.T > disconnectedAt+0.1 {
			h.t.Errorf("got an attempt at %s %.3f s after the client disconnected, want none from 0.1 s on", x.Engine,
				x.T-disconnectedAt)
		}
	}
	h.eventually("the node has forgotten the request", func() bool { return h.node.UnfinishedRequests() == 0 })
	h.requireNoViolations()
}

// rejectAttempts makes an engine reject its next 60 attempts.
func rejectAttempts(engines map[string]*platform.Engine, id string) {
	for range 60 {
		engines[id].QueueFaults(platform.Rejection)
	}
}

// A client that closes its sending side and waits must receive a final response, even if an attempt is the first to notice the close.
// That happens here because the client has sent so many bytes after its request that its connection is only polled.
func TestRelayHalfClosedClientReceivesFinalResponse(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	trailing := strings.Repeat("x", 1<<20+16<<10)
	for i := range 5 {
		rejectAttempts(engines, "r0")
		request := harness.newRequest([]string{"chat", "commit"}[i%2])
		request.Timeout = time.Second
		request.ID = fmt.Sprintf("%016x", 0x4a1f00+i)
		harness.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class,
			ResponseTokens: request.ResponseTokens})
		c, err := net.Dial("tcp", harness.node.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, request.Encode()+trailing)
		c.(*net.TCPConn).CloseWrite()
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Errorf("request %d: got no final response: %v", i, err)
		}
		c.Close()
	}
}

// All engines hang, and no release call for a state is acknowledged within the limit on its hold time. The state must be released once the
// engines respond again.
func TestRelayStateIsReleasedAfterEngineOutage(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	rejectAttempts(engines, "w0")
	request := harness.newRequest("chat")
	request.ID = "1eff"
	harness.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class, Attempt: 1,
		ResponseTokens: request.ResponseTokens})
	c, err := net.Dial("tcp", harness.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(c, request.Encode())
	harness.eventually("an engine holds the state", func() bool { return harness.platform.CallsWithState() == 1 })
	for _, x := range engines {
		x.SetHung(true)
	}
	c.Close()
	time.Sleep(2500 * time.Millisecond)
	for _, x := range engines {
		x.SetHung(false)
	}
	harness.eventually("the state is released", func() bool { return harness.platform.CallsWithState() == 0 })
}
