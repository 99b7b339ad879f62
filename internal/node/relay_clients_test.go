package node_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// A request with the id of an open request must be rejected and must not affect the open one.
func TestRelayDuplicateIDIsRejected(t *testing.T) {
	harness, engines := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	engines["r0"].SetStartDelay(300 * time.Millisecond)
	request := harness.newRequest("chat")
	request.ID = "00ff"
	got := make(chan platform.Response, 1)
	go func() { got <- harness.send(request) }()
	harness.eventually("the first attempt is in flight", func() bool {
		return harness.countRecords(record.AttemptArrived, request.Operation) == 1
	})
	if status := harness.sendRaw(request.Encode()); status != 409 {
		t.Errorf("second request: got status %d, want 409", status)
	}
	if result := <-got; result.Outcome != record.Served || result.Text != platform.ResponseText(request.Operation, request.ResponseTokens) {
		t.Errorf("got %+v, want it served", result)
	}
	if status := harness.sendRaw(request.Encode()); status != 409 {
		t.Errorf("after the first has ended: got status %d, want 409", status)
	}
	if n := harness.countRecords(record.AttemptArrived, request.Operation); n != 2 {
		t.Errorf("got %d attempts, want 2", n)
	}
	harness.requireNoViolations()
}

// Invalid requests must receive an error and reach no engine.
func TestRelayInvalidRequestsAreRejected(t *testing.T) {
	harness, _ := newRelayHarness(t, 64, 256, "r0 read", "w0 write")
	valid := func() platform.Request {
		request := harness.newRequest("chat")
		request.ID = fmt.Sprintf("ab%d", harness.requests)
		return request
	}
	edit := func(old, new string) string { return strings.Replace(valid().Encode(), old, new, 1) }
	for name, text := range map[string]string{
		"no id":               edit("X-Call-Id:", "X-Other:"),
		"two ids":             edit("X-Caller", "X-Call-Id: 77\r\nX-Caller"),
		"id with a slash":     edit("X-Call-Id: ab", "X-Call-Id: ../ab"),
		"unknown class":       edit("X-Call-Class: chat", "X-Call-Class: gossip"),
		"no class":            edit("X-Call-Class:", "X-Other:"),
		"unknown tenant":      edit("X-Caller: branch", "X-Caller: nobody"),
		"no budget":           edit("X-Budget:", "X-Other:"),
		"budget in words":     edit("X-Budget: 4.000", "X-Budget: soon"),
		"budget not a number": edit("X-Budget: 4.000", "X-Budget: NaN"),
		"budget infinite":     edit("X-Budget: 4.000", "X-Budget: Inf"),
		"budget negative":     edit("X-Budget: 4.000", "X-Budget: -1"),
		"budget zero":         edit("X-Budget: 4.000", "X-Budget: 0"),
		"length negative":     edit("prompt_len=20", "prompt_len=-20"),
		"length huge":         edit("prompt_len=20", "prompt_len=1e300"),
		"length in words":     edit("max_out=8", "max_out=many"),
		"prefix beyond":       edit("prefix_len=0", "prefix_len=21"),
		"info malformed":      edit("prompt_len=20", "prompt_len"),
		"unknown retry mark":  edit("X-Budget", "X-Again: perhaps\r\nX-Budget"),
		"no JSON":             edit(`{"model"`, `<"model"`),
		"a list": "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Call-Id: l1\r\n" +
			"X-Call-Class: chat\r\nX-Caller: branch\r\nX-Budget: 1\r\nContent-Length: 2\r\n\r\n[]",
		"two lengths":       edit("Content-Length:", "Content-Length: 1\r\nContent-Length:"),
		"length and chunks": edit("Content-Length:", "Transfer-Encoding: chunked\r\nContent-Length:"),
		"negative length":   edit("Content-Length: ", "Content-Length: -"),
		"huge length":       edit("Content-Length: ", "Content-Length: 99999999999999999999"),
		"60 MB":             "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 62914560\r\n\r\n",
		"bare LF":           strings.ReplaceAll(valid().Encode(), "\r\n", "\n"),
		"other path":        "GET /v1/servers HTTP/1.1\r\nHost: h\r\n\r\n",
		"other method":      edit("POST", "PUT"),
		"noise":             "\x16\x03\x01\x02\x00\x01\x00\r\n\r\n",
	} {
		if status := harness.sendRaw(text); status < 400 {
			t.Errorf("%s: got status %d, want an error", name, status)
		}
	}
	for _, x := range harness.log.All() {
		if x.Kind == record.AttemptArrived || x.Kind == record.ExtraResponse {
			t.Errorf("an invalid request reached an engine: %+v", x)
		}
	}
	if result := harness.send(harness.newRequest("chat")); result.Outcome != record.Served {
		t.Errorf("valid request afterwards: got %+v, want it served", result)
	}
}

// Connections that send nothing, or a header or body that does not end, must be closed within 3 s. Meanwhile the node must serve other
// clients, even with the smallest limits on memory and sockets.
func TestRelaySilentConnectionsAreClosed(t *testing.T) {
	harness, _ := newRelayHarness(t, 32, 256, "r0 read", "w0 write")
	var conns []net.Conn
	open := func(text string) {
		c, err := net.Dial("tcp", harness.node.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(c, text)
		conns = append(conns, c)
	}
	start := time.Now()
	for range 300 {
		open("")
	}
	for range 10 {
		open("POST /v1/chat/completions HTTP/1.1\r\nX-Endless: ")
		open("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{")
	}
	for range 5 {
		if result := harness.send(harness.newRequest("chat")); result.Outcome != record.Served || result.Duration > time.Second {
			t.Errorf("got %+v, want it served", result)
		}
	}
	for _, c := range conns {
		c.SetReadDeadline(start.Add(3500 * time.Millisecond))
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Error("a connection is still open after 3.5 s")
		}
		c.Close()
	}
	harness.requireNoViolations()
}
