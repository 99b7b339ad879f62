package node_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dillroute/lab/platform"
)

// The time budget that an attempt sends to its engine must be at most the time that the client has left, both at the first attempt and at
// retries.
func TestRelayBudgetSentToEnginesIsAtMostTheTimeLeft(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write", "w1 write")
	for _, class := range []string{"chat", "commit"} {
		engines["w0"].QueueFaults(platform.Rejection)
		engines["w1"].QueueFaults(platform.Rejection)
		request := harness.newRequest(class)
		request.Timeout = 2 * time.Second
		deadline := float64(time.Now().Add(request.Timeout).UnixNano()) / 1e9
		harness.send(request)
		budgets := harness.platform.Budgets(request.Operation)
		if len(budgets) < 2 {
			t.Fatalf("%s: got %d attempts, want at least 2", class, len(budgets))
		}
		for i, b := range budgets {
			// The client sends its budget in ms, counted from when the request is sent, slightly after deadline was computed.
			if limit := deadline - b.ReceivedAt + 0.02; b.RemainingSeconds > limit || b.RemainingSeconds <= 0 {
				t.Errorf("%s, attempt %d: got a budget of %.3f s, want at most %.3f", class, i, b.RemainingSeconds, limit)
			}
		}
	}
	harness.requireNoViolations()
}

// The time budget of a pipelined request must run from its arrival, and not only from when the requests before it have ended. Engines must
// receive the time that is left, and a request whose time has passed meanwhile must not be forwarded.
func TestRelayPipelinedRequestBudgetRunsFromArrival(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["w0"].TokenInterval = 100 * time.Millisecond
	requests, text := make([]platform.Request, 3), ""
	for i, timeout := range []time.Duration{3 * time.Second, 2 * time.Second, 500 * time.Millisecond} {
		request := harness.newRequest("chat")
		request.ID, request.Timeout = fmt.Sprintf("a1ea%d", i), timeout
		harness.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class,
			ResponseTokens: request.ResponseTokens})
		requests[i] = request
		text += request.Encode()
	}
	c, err := net.Dial("tcp", harness.node.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	sent := float64(time.Now().UnixNano()) / 1e9
	io.WriteString(c, text)
	br := bufio.NewReader(c)
	for i, request := range requests {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		budgets := harness.platform.Budgets(request.Operation)
		if expired := i == 2; expired == (resp.StatusCode == 200) || expired != (len(budgets) == 0) {
			t.Errorf("request %d: got status %d and %d attempts, want only the last request to expire", i, resp.StatusCode, len(budgets))
		}
		for _, b := range budgets {
			if limit := sent + request.Timeout.Seconds() - b.ReceivedAt + 0.15; b.RemainingSeconds > limit {
				t.Errorf("request %d: got a budget of %.3f s, want at most %.3f", i, b.RemainingSeconds, limit)
			}
		}
	}
	harness.eventually("no engine holds a state", func() bool { return harness.platform.CallsWithState() == 0 })
}
