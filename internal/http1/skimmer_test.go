package http1

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// largeRequest is a request of which five exceed the read-ahead limit.
func largeRequest(number int) string {
	const bodyBytes = 250 << 10
	return fmt.Sprintf("POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", number, bodyBytes) + strings.Repeat("x", bodyBytes)
}

// Guards against requests that are sent on for a client that has gone, because its close is behind more bytes than the server reads ahead
// and the kernel holds.
func TestDisconnectIsDetectedBehindMoreThanTheServerKeeps(t *testing.T) {
	const requests = 80
	notified, received := make(chan time.Time, 1), make(chan struct{}, requests)
	s := &Server{Limits: DefaultLimits, Handler: HandlerFunc(func(x *Exchange) {
		received <- struct{}{}
		x.OnDisconnect(func(bool) { notified <- time.Now(); x.Abort() })
	})}
	c := dialServer(t, startServer(t, s))
	for i := range requests {
		if _, err := io.WriteString(c, largeRequest(i)); err != nil {
			t.Fatal(err)
		}
	}
	closedAt := time.Now()
	c.Close()
	select {
	case at := <-notified:
		if d := at.Sub(closedAt); d > 100*time.Millisecond {
			t.Errorf("disconnect detected after %v, want at most 100ms", d)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the disconnect was not detected")
	}
	if len(received) != 1 {
		t.Errorf("got %d requests handled, want 1", len(received))
	}
}

// Guards against requests that wait unread behind others until their time is over, and against memory that grows with them: each request
// gets its response in order, those that the server does not keep a rejection, and the connection goes on.
func TestRequestsBeyondTheReadAheadLimitAreRejectedInOrder(t *testing.T) {
	const requests = 80
	respond, handled := make(chan struct{}), 0
	s := &Server{Limits: DefaultLimits, Handler: HandlerFunc(func(x *Exchange) {
		if handled++; handled == 1 {
			go func() { <-respond; x.Reply(200, []Field{{"X-N", x.Path}}, nil) }()
			return
		}
		x.Reply(200, []Field{{"X-N", x.Path}}, nil)
	})}
	c := dialServer(t, startServer(t, s))
	for i := range requests {
		if _, err := io.WriteString(c, largeRequest(i)); err != nil {
			t.Fatal(err)
		}
	}
	if heldBytes := s.HeldBytes(); heldBytes > maxReadAhead+300<<10 {
		t.Errorf("got %d bytes held, want at most the read-ahead limit and one request", heldBytes)
	}
	close(respond)
	responses := bufio.NewReader(c)
	rejected := 0
	for i := range requests {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatalf("response %d: %v", i, err)
		}
		io.Copy(io.Discard, response.Body)
		switch {
		case response.StatusCode == 503:
			rejected++
		case response.StatusCode != 200 || response.Header.Get("X-N") != fmt.Sprint("/", i) || rejected > 0:
			t.Fatalf("response %d: got status %d to %s after %d rejections", i, response.StatusCode, response.Header.Get("X-N"), rejected)
		}
	}
	if rejected == 0 || rejected > requests-4 {
		t.Errorf("got %d rejections, want some, and none for the first requests", rejected)
	}
	io.WriteString(c, largeRequest(requests))
	if response, err := http.ReadResponse(responses, nil); err != nil || response.StatusCode != 200 {
		t.Errorf("got %v, %v to a later request, want status 200", response, err)
	}
	c.Close()
	for end := time.Now().Add(5 * time.Second); s.Conns() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if heldBytes := s.HeldBytes(); heldBytes != 0 {
		t.Errorf("got %d bytes held after the connection ended, want 0", heldBytes)
	}
}

// The skimmer finds the same requests however their bytes are split, and the bytes that a request lacks.
func TestSkimmerFindsTheEndsOfRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text, ends := "", []int{0}
		for range rapid.IntRange(1, 8).Draw(t, "requests") {
			body := strings.Repeat("\r\n", rapid.IntRange(0, 40).Draw(t, "body"))
			switch rapid.IntRange(0, 2).Draw(t, "form") {
			case 0:
				text += "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
			case 1:
				text += "\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n"
			default:
				text += fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			ends = append(ends, len(text))
		}
		sent := rapid.IntRange(0, len(text)).Draw(t, "sent")
		s := &skimmer{limits: DefaultLimits}
		for rest := text[:sent]; len(rest) > 0; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			s.add([]byte(rest[:n]))
			rest = rest[n:]
		}
		complete := 0
		for ends[min(complete+1, len(ends)-1)] <= sent && complete+1 < len(ends) {
			complete++
		}
		if s.err != nil || s.complete != complete || s.boundary != ends[complete] {
			t.Fatalf("got %d requests up to %d, %v; want %d up to %d", s.complete, s.boundary, s.err, complete, ends[complete])
		}
	})
}

func TestSkimmerReportsMalformedAndUnboundedRequests(t *testing.T) {
	for name, text := range map[string]string{
		"malformed":    "GET / HTTP/1.1\r\n\r\n",
		"endless head": "GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", 1<<14),
		"chunked":      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
	} {
		s := &skimmer{limits: DefaultLimits}
		s.add([]byte(getHead + "\r\n" + text))
		if s.complete != 1 || s.err == nil {
			t.Errorf("%s: got %d requests and error %v, want one request and an error", name, s.complete, s.err)
		}
		if s.add([]byte(text)); len(s.head) > DefaultLimits.Line+DefaultLimits.Header+len(text) {
			t.Errorf("%s: the skimmer keeps %d bytes", name, len(s.head))
		}
	}
}
