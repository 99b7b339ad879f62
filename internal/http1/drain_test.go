package http1

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"
)

// A draining server ends an idle connection so that what its client sends just then meets no reset.
func TestDrainClosesIdleConnectionsWithoutReset(t *testing.T) {
	s := &Server{Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: 10 * time.Second, Write: time.Second,
		DrainIdle: 30 * time.Millisecond, Linger: time.Second}}
	c := dialServer(t, startServer(t, s))
	io.WriteString(c, ok+"\r\n")
	br := bufio.NewReader(c)
	if _, err := http.ReadResponse(br, nil); err != nil {
		t.Fatal(err)
	}
	s.Drain()
	if _, err := br.ReadByte(); err != io.EOF {
		t.Fatalf("%v, wanted the end", err)
	}
	for range 5 {
		if _, err := io.WriteString(c, ok+"\r\n"); err != nil {
			t.Fatalf("a request that crossed the end met %v", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
