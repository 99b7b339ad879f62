package node_test

import (
	"testing"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// What a client says to engines beside what the node reads reaches every attempt as it was sent: an engine knows the repeats
// of a keyed request by its key alone.
func TestRelayPassesTheClientsFieldsOn(t *testing.T) {
	s, e := newStage(t, 64, 256, "r0 read", "w0 write", "w1 write")
	e["w0"].QueueFaults(platform.Rejection)
	e["w1"].QueueFaults(platform.Rejection)
	a := s.ask("chat")
	a.ExtraHeader = "Idempotency-Key: 5f3a 77\r\nX-Route-Hint: a\r\nX-Route-Hint: b\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
	if r := s.do(a); r.Outcome != record.Served {
		t.Fatalf("got %+v, want it served", r)
	}
	headers := s.p.Headers(a.Operation)
	if len(headers) < 3 {
		t.Fatalf("got %d attempts, want a read and two at writers at least", len(headers))
	}
	for i, h := range headers {
		if h.Get("Idempotency-Key") != "5f3a 77" || len(h["X-Route-Hint"]) != 2 || h.Get("X-Hop") != "" || len(h["X-Budget"]) != 1 || len(h["X-Call-Id"]) != 1 {
			t.Errorf("attempt %d: got %v", i, h)
		}
	}
	s.lawful()
}
