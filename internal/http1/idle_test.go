package http1

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// A request that has arrived when the idle deadline of its connection passes is answered. Here the deadline passes after 1 ns, and the
// server waits 1 ms more at most. Requests that arrive after that are not answered, so that only one response in 20 is required.
func TestRequestAtTheIdleDeadlineIsAnswered(t *testing.T) {
	s := &Server{Timeouts: Timeouts{First: time.Nanosecond, Head: time.Second, Body: time.Second, Idle: time.Nanosecond,
		Write: time.Second}}
	answered := 0
	addr := startServer(t, s)
	for range 20 {
		c := dialServer(t, addr)
		if _, err := io.WriteString(c, getHead+"\r\n"); err != nil {
			continue
		}
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
			answered++
		}
		c.Close()
	}
	if answered == 0 {
		t.Error("got no response to any of 20 requests")
	}
}

// A request that the client sends at the moment of the idle timeout must not cause a reset, which the client would take for a failed
// node. The server closes the sending side and continues to read before it closes the connection.
func TestIdleConnectionsCloseWithoutReset(t *testing.T) {
	s := &Server{Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: 20 * time.Millisecond, Write: time.Second,
		Linger: 5 * time.Second}}
	c := dialServer(t, startServer(t, s))
	br := bufio.NewReader(c)
	io.WriteString(c, getHead+"\r\n")
	if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want the end of the connection", err)
	}
	for i := range 3 {
		if _, err := io.WriteString(c, getHead+"\r\n"); err != nil {
			t.Fatalf("write %d after the end of the connection: %v", i, err)
		}
		time.Sleep(5 * time.Millisecond) // time for a reset to arrive
	}
}

// At the connection limit, an idle connection is evicted in favor of a new one.
func TestIdleConnectionIsEvicted(t *testing.T) {
	s := &Server{MaxConns: func() int { return 1 }}
	addr := startServer(t, s)
	first := dialServer(t, addr)
	io.WriteString(first, getHead+"\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	for {
		second := dialServer(t, addr)
		io.WriteString(second, getHead+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 200 {
			break // the first connection was idle for long enough
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the first connection is still open: %v", err)
	}
}
