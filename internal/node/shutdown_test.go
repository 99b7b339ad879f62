package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// openConnection is a client connection for several requests, one after another.
type openConnection struct {
	harness *relayHarness
	conn    net.Conn
	reader  *bufio.Reader
}

func (h *relayHarness) openConnection() *openConnection {
	h.t.Helper()
	c, err := net.Dial("tcp", h.node.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	return &openConnection{h, c, bufio.NewReader(c)}
}

// send sends a request for a response of the given number of tokens and reads the response to its end; status is 0 if there is none.
func (k *openConnection) send(id string, tokens int) (status int, complete bool) {
	k.harness.t.Helper()
	request := k.harness.newRequest("chat")
	request.ID, request.ResponseTokens = id, tokens
	k.harness.platform.RegisterCall(id, platform.Operation{Name: request.Operation, Class: request.Class, ResponseTokens: tokens})
	io.WriteString(k.conn, request.Encode())
	k.conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// Where clients cannot resume streams, a node that shuts down must not cut a running stream, and must not accept a request that SIGKILL
// could cut off: a request that arrives on an open connection more than 0.7 s after the shutdown began is rejected.
func TestRelayShutdownWithoutResume(t *testing.T) {
	settings := strings.Replace(platform.SettingsJSON, `"resume":true`, `"resume":false`, 1)
	harness, engines := newRelayHarnessWith(t, settings, 64, 256, "r0 read", "w0 write")
	engines["w0"].TokenInterval = 40 * time.Millisecond
	earlyConn, lateConn := harness.openConnection(), harness.openConnection()
	for i, k := range []*openConnection{earlyConn, lateConn} {
		if status, complete := k.send("a"+string(rune('0'+i)), 1); status != 200 || !complete {
			t.Fatalf("before the shutdown: got status %d, complete %v", status, complete)
		}
	}
	harness.stopped = true
	start, done := time.Now(), make(chan struct{})
	go func() { defer close(done); harness.node.ShutdownBy(relay.ShutdownTimeout(4), 10*time.Second) }()
	streamed := make(chan bool, 1)
	go func() {
		status, complete := earlyConn.send("b0", 100) // beyond the time at which requests without a response are ended
		streamed <- status == 200 && complete
	}()
	harness.eventually("the early stream is running", func() bool { return harness.countRecords(record.EffectStarted, "op3") == 1 })
	time.Sleep(time.Until(start.Add(750 * time.Millisecond)))
	if status, _ := lateConn.send("b1", 100); status != 503 && status != 0 {
		t.Errorf("0.75 s after the shutdown began: got status %d, want a rejection or a closed connection", status)
	}
	if n := harness.countRecords(record.AttemptArrived, "op4"); n > 0 {
		t.Errorf("a request 0.75 s after the shutdown began was forwarded %d times, want 0", n)
	}
	if !<-streamed {
		t.Error("the running stream was cut")
	}
	<-done
	harness.requireNoViolations()
}

// A node that shuts down must end every request before the process could be killed. It must cut off its streams one by one, so that their
// clients resume them at another node.
func TestRelayShutdownCutsStreamsInTime(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["w0"].TokenInterval = 200 * time.Millisecond
	var wg sync.WaitGroup
	results := make(chan platform.Response, 20)
	for range 10 {
		request := harness.newRequest("chat")
		request.ResponseTokens = 100 // 20 s
		wg.Add(1)
		go func() { defer wg.Done(); results <- harness.send(request) }()
	}
	harness.eventually("the streams are running", func() bool {
		n := 0
		for _, x := range harness.log.All() {
			if x.Kind == record.FirstToken {
				n++
			}
		}
		return n == 10
	})
	start := time.Now()
	harness.stopped = true
	harness.node.ShutdownBy(relay.ShutdownTimeout(4), time.Second)
	if took := time.Since(start); took > 3700*time.Millisecond {
		t.Errorf("the shutdown took %v, want at most 3.7s", took)
	}
	wg.Wait()
	close(results)
	tenths := map[int64]bool{}
	for result := range results {
		if result.Outcome != record.Failed || result.Complete {
			t.Errorf("got %+v, want a stream that was cut", result)
		}
		tenths[result.Duration.Milliseconds()/100] = true
	}
	if len(tenths) < 5 {
		t.Errorf("got cutoffs in the tenths of a second %v, want them spread over at least 5", tenths)
	}
	harness.requireNoViolations()
}

// A node that shuts down must still serve requests on open connections, and every request that it accepts then must end before the process
// could be killed.
func TestRelayShutdownServesOpenConnections(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["w0"].TokenInterval = 30 * time.Millisecond
	c, err := net.Dial("tcp", harness.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	br := bufio.NewReader(c)
	send := func(id string, tokens int) (status int, complete bool) {
		request := harness.newRequest("chat")
		request.ID, request.ResponseTokens = id, tokens
		harness.platform.RegisterCall(id, platform.Operation{Name: request.Operation, Class: "chat", ResponseTokens: tokens})
		io.WriteString(c, request.Encode())
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return 0, false
		}
		body, err := io.ReadAll(resp.Body)
		if resp.StatusCode != 200 {
			t.Logf("%s: %s", id, body)
		}
		return resp.StatusCode, err == nil
	}
	if status, complete := send("c1", 2); status != 200 || !complete {
		t.Fatalf("before the shutdown: got status %d, complete %v", status, complete)
	}
	start := time.Now()
	harness.stopped = true
	done := make(chan struct{})
	go func() { defer close(done); harness.node.ShutdownBy(relay.ShutdownTimeout(4), time.Second) }()
	time.Sleep(time.Second)
	if status, complete := send("c2", 2); status != 200 || !complete {
		t.Errorf("on an open connection, 1 s after the shutdown began: got status %d, complete %v, want it served", status, complete)
	}
	if status, complete := send("c3", 300); status != 200 || complete { // 9 s: its client resumes it at another node
		t.Errorf("long stream: got status %d, complete %v, want it cut", status, complete)
	}
	if took := time.Since(start); took > 3500*time.Millisecond {
		t.Errorf("the long stream ended %v after the shutdown began, want at most 3.5s", took)
	}
	<-done
	harness.requireNoViolations()
}
