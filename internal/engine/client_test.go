package engine

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

// sink counts events, buffering them as the node does while more are available.
type sink struct{ pending, sent int }

func (s *sink) LoadReported(*scheduler.LoadReport) {}
func (s *sink) RequestGrant() bool                 { return true }
func (s *sink) Finish() error                      { return s.Flush() }
func (s *sink) Flush() error                       { s.sent, s.pending = s.sent+s.pending, 0; return nil }
func (s *sink) Event(_, _ []byte, more bool) error {
	if s.pending++; !more {
		s.Flush()
	}
	return nil
}

// Events that arrive in the same read as an error event or a malformed one must still reach the client. They are buffered when the
// stream breaks.
func TestEventsBeforeABrokenEventAreForwarded(t *testing.T) {
	token := "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
	for _, end := range []string{"data: {\"error\":{\"message\":\"no\"}}\n\n", "data: nonsense\n\n"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer c.Close()
			http.ReadRequest(bufio.NewReader(c))
			text := token + token + token + end
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			io.Copy(io.Discard, c)
		}()
		cl := &Client{Pool: &http1.Pool{Limits: http1.DefaultLimits}, ConnectTimeout: time.Second, MaxEvent: 1 << 20,
			StallTimeout: func() time.Duration { return 5 * time.Second }}
		a := &Attempt{Client: cl, Address: l.Addr().String(), Body: []byte("{}"), Timeout: 5 * time.Second}
		s := &sink{}
		if r := a.Decode(s); s.sent != 3 || r.Evidence.Cause == outcome.ResponseComplete || r.Evidence.Progress != outcome.Streaming {
			t.Errorf("%q: got %d of 3 events, %+v", end, s.sent, r.Evidence)
		}
		l.Close()
		<-done
	}
}
