package node_test

import (
	"testing"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Header fields that the node does not interpret must be sent unchanged with every attempt: an engine recognizes a repeated request only by
// its idempotency key.
func TestRelayForwardsClientHeaderFields(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write", "w1 write")
	engines["w0"].QueueFaults(platform.Rejection)
	engines["w1"].QueueFaults(platform.Rejection)
	request := harness.newRequest("chat")
	request.ExtraHeader = "Idempotency-Key: 5f3a 77\r\nX-Route-Hint: a\r\nX-Route-Hint: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
	if result := harness.send(request); result.Outcome != record.Served {
		t.Fatalf("got %+v, want it served", result)
	}
	headers := harness.platform.Headers(request.Operation)
	if len(headers) < 3 {
		t.Fatalf("got %d attempts, want at least a prefill and two decodes", len(headers))
	}
	for i, h := range headers {
		if h.Get("Idempotency-Key") != "5f3a 77" || len(h["X-Route-Hint"]) != 2 ||
			h.Get("X-Hop") != "" || len(h["X-Budget"]) != 1 || len(h["X-Call-Id"]) != 1 {
			t.Errorf("attempt %d: got the fields %v, want those of the client without the hop-by-hop ones", i, h)
		}
	}
	harness.requireNoViolations()
}
