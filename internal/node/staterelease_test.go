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

// The engine that holds a state and all engines of the other role hang, while the attempt that was to fetch the state is in flight. The
// state must be released by its limit, both when the client disconnects and when its deadline passes.
func TestRelayStateIsReleasedWhenOneRoleIsSilent(t *testing.T) {
	for _, disconnect := range []bool{true, false} {
		harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write", "w1 write", "w2 write")
		for _, id := range []string{"w0", "w1", "w2"} {
			engines[id].SetHung(true)
		}
		request := harness.newRequest("chat")
		request.Timeout = 1500 * time.Millisecond
		c := harness.startRequest(&request, "1ea5e0")
		harness.eventually("an engine holds the state", func() bool { return harness.platform.CallsWithState() == 1 })
		for _, id := range []string{"r0", "r1"} {
			if harness.countRecords(record.StateReserved, request.Operation) > 0 && harness.prefillEngineOf(request.Operation) == id {
				engines[id].SetHung(true)
			}
		}
		if disconnect {
			time.Sleep(20 * time.Millisecond) // the decode attempt is in flight
			c.Close()
		}
		harness.requireNoViolations()
		for _, x := range engines {
			x.SetHung(false)
		}
		harness.eventually("the node has forgotten the request", func() bool { return harness.node.UnfinishedRequests() == 0 })
	}
}

// prefillEngineOf returns the engine of the first prefill of an operation.
func (h *relayHarness) prefillEngineOf(op string) string {
	for _, x := range h.log.All() {
		if x.Kind == record.StateReserved && x.Op == op {
			return x.Engine
		}
	}
	return ""
}

// When a state is released at its limit, the log at info level must show whether the release call was acknowledged and by which engine, and
// how the attempt in flight ended. If it shows only that the state was released, a state that stays held cannot be explained.
func TestLogShowsOutcomeOfReleaseAtLimit(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["w0"].SetHung(true)
	request := harness.newRequest("commit")
	request.Timeout = 1500 * time.Millisecond
	harness.send(request)
	harness.eventually("the node has forgotten the request", func() bool { return harness.node.UnfinishedRequests() == 0 })
	for _, texts := range [][]string{
		{`"state released at its limit"`, "engine=r0", "reason=limit", "attempts_in_flight=1"},
		{`"state release call ended"`, "engine=r0", "result=acknowledged"},
		{`"attempt ended"`, "attempt=1", "engine=w0", "progress=request_written", "cause="},
	} {
		if len(harness.nodeLog.linesWith(append(texts, "request=", "attempt=")...)) == 0 {
			t.Errorf("no log line contains all of %v", texts)
		}
	}
	engines["w0"].SetHung(false)
}

// States that are held when a node shuts down must be released before it stops, even if the engine that is called first does not respond.
func TestRelayShutdownReleasesStates(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "r1 read", "w0 write")
	engines["w0"].SetHung(true)
	request := harness.newRequest("chat")
	harness.startRequest(&request, "1ea5e1")
	harness.eventually("an engine holds the state", func() bool { return harness.platform.CallsWithState() == 1 })
	engines[harness.prefillEngineOf(request.Operation)].SetHung(true)
	harness.stopped = true
	harness.node.Shutdown(0)
	if n := harness.platform.CallsWithState(); n > 0 {
		t.Errorf("the node stopped while %d states were held, want 0", n)
	}
	for _, x := range engines {
		x.SetHung(false)
	}
	harness.requireNoViolations()
}

// The attempt that was to fetch a state is in flight, but its request stays in the kernel's send buffer because the decode engine's machine
// accepts no more bytes. The state must still be released by its limit: an undelivered attempt does not extend the limit on the hold time.
func TestRelayStateIsReleasedWhenAttemptIsNotDelivered(t *testing.T) {
	harness, _ := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	full := unreadListener(t)
	harness.discovery.Update("w0", func(x *platform.Endpoint) { x.Address = full.Addr().String() })
	time.Sleep(100 * time.Millisecond) // until the node has polled the endpoint list
	request := harness.newRequest("commit")
	request.Operation = strings.Repeat("x", 60<<10)
	harness.send(request)
	harness.requireNoViolations()
}

// unreadListener returns a listener whose connections are accepted and never read. The kernel buffers only a few bytes for each.
func unreadListener(t *testing.T) net.Listener {
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
