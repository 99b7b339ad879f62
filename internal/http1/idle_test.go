package http1

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// A request that is there when the time of its connection runs out is answered.
func TestRequestAtTheIdleDeadlineIsAnswered(t *testing.T) {
	s := &Server{Timeouts: Timeouts{First: time.Nanosecond, Head: time.Second, Body: time.Second, Idle: time.Nanosecond,
		Write: time.Second}}
	answered := 0
	addr := startServer(t, s)
	for range 20 {
		c := dialServer(t, addr)
		if _, err := io.WriteString(c, ok+"\r\n"); err != nil {
			continue
		}
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && resp.StatusCode == 200 {
			answered++
		}
		c.Close()
	}
	if answered == 0 {
		t.Error("none of 20 was answered")
	}
}

// What a client sends in the moment in which its connection has rested for too long meets no reset, which would make it look as
// though the node had failed: the connection is shut down, and read on before it closes.
func TestIdleConnectionsCloseWithoutReset(t *testing.T) {
	s := &Server{Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: 20 * time.Millisecond, Write: time.Second,
		Linger: 5 * time.Second}}
	c := dialServer(t, startServer(t, s))
	br := bufio.NewReader(c)
	io.WriteString(c, ok+"\r\n")
	if resp, err := http.ReadResponse(br, nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want the end of the connection", err)
	}
	for i := range 3 {
		if _, err := io.WriteString(c, ok+"\r\n"); err != nil {
			t.Fatalf("write %d behind the end: %v", i, err)
		}
		time.Sleep(5 * time.Millisecond) // for a reset to cross
	}
}

// One that rests makes room for one that asks.
func TestIdleConnectionIsEvicted(t *testing.T) {
	s := &Server{MaxConns: func() int { return 1 }}
	addr := startServer(t, s)
	first := dialServer(t, addr)
	io.WriteString(first, ok+"\r\n")
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	for {
		second := dialServer(t, addr)
		io.WriteString(second, ok+"\r\n")
		resp, err := http.ReadResponse(bufio.NewReader(second), nil)
		if err != nil {
			t.Fatal(err)
		}
		if resp.StatusCode == 200 {
			break // the first one had rested for long enough
		}
		time.Sleep(20 * time.Millisecond)
	}
	if _, err := first.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the first connection is still open: %v", err)
	}
}
