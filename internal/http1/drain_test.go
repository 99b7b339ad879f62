package http1

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// A draining server closes the sending side of an idle connection first and continues to read. A request that the client sends at that
// moment must not cause a reset.
func TestDrainClosesIdleConnectionsWithoutReset(t *testing.T) {
	s := &Server{Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: 10 * time.Second, Write: time.Second,
		DrainIdle: 30 * time.Millisecond, Linger: time.Second}}
	c := dialServer(t, startServer(t, s))
	io.WriteString(c, getHead+"\r\n")
	br := bufio.NewReader(c)
	if _, err := http.ReadResponse(br, nil); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("got %v, want io.EOF", err)
	}
	for range 5 {
		if _, err := io.WriteString(c, getHead+"\r\n"); err != nil {
			t.Fatalf("write of a request that crossed the close: got %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
