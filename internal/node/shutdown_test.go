package node_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"dillroute/internal/relay"
	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// kept is a client's connection on which requests follow one another.
type kept struct {
	s  *stage
	c  net.Conn
	br *bufio.Reader
}

func (s *stage) connect() *kept {
	s.t.Helper()
	c, err := net.Dial("tcp", s.node.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	return &kept{s, c, bufio.NewReader(c)}
}

// ask makes a request of so many tokens and reads its answer to the end; status is 0 where none came.
func (k *kept) ask(id string, tokens int) (status int, whole bool) {
	k.s.t.Helper()
	a := k.s.ask("chat")
	a.ID, a.ResponseTokens = id, tokens
	k.s.p.RegisterCall(id, platform.Operation{Name: a.Operation, Class: a.Class, ResponseTokens: tokens})
	io.WriteString(k.c, a.Encode())
	k.c.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return 0, false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err == nil
}

// Where clients do not come again for the rest of a stream, a node that is told to stop ends none that runs, and takes none
// that SIGKILL could cut: what comes on a kept connection later than 0.7 s is refused.
func TestRelayStopWithoutResume(t *testing.T) {
	settings := strings.Replace(platform.SettingsJSON, `"resume":true`, `"resume":false`, 1)
	s, e := newStageWith(t, settings, 64, 256, "r0 read", "w0 write")
	e["w0"].TokenInterval = 40 * time.Millisecond
	early, late := s.connect(), s.connect()
	for i, k := range []*kept{early, late} {
		if status, whole := k.ask("a"+string(rune('0'+i)), 1); status != 200 || !whole {
			t.Fatalf("before: got %d, whole %v", status, whole)
		}
	}
	s.stopped = true
	start, done := time.Now(), make(chan struct{})
	go func() { defer close(done); s.node.ShutdownBy(relay.StopBy(4), 10*time.Second) }()
	streamed := make(chan bool, 1)
	go func() {
		status, whole := early.ask("b0", 100) // beyond the time at which what has not begun is answered
		streamed <- status == 200 && whole
	}()
	s.eventually("the early stream runs", func() bool { return s.count(record.Run, "op3") == 1 })
	time.Sleep(time.Until(start.Add(750 * time.Millisecond)))
	if status, _ := late.ask("b1", 100); status != 503 && status != 0 {
		t.Errorf("taken 0.75 s after the stop: got status %d, want a refusal or a connection that has ended", status)
	}
	if n := s.count(record.Arrive, "op4"); n > 0 {
		t.Errorf("what came 0.75 s after the stop was sent on %d times", n)
	}
	if !<-streamed {
		t.Error("the stream that ran was ended")
	}
	<-done
	s.lawful()
}
