//go:build soak

package soak

import (
	"fmt"
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

const (
	slowClientsOfKind = 100 // clients of each kind at once
	slowClientsTime   = 8 * time.Second
	slowClientPause   = 50 * time.Millisecond // between two pieces that a client writes, and before it connects again
	longAnswerTokens  = 20_000
	largeBodyBytes    = 250 << 10
)

// slowClient connects to a node, sends something and stays until the node closes the connection or stop is closed.
type slowClient func(s *fixture, conn net.Conn, stop <-chan struct{})

// slowClientKinds are the ways in which clients use memory of a node for long.
var slowClientKinds = map[string]slowClient{
	"writes slowly": func(_ *fixture, conn net.Conn, stop <-chan struct{}) {
		writeSlowly(conn, largeRequestText(), stop)
	},
	"stops half way through a large request": func(_ *fixture, conn net.Conn, stop <-chan struct{}) {
		io.WriteString(conn, largeRequestText()[:largeBodyBytes/2])
		awaitClose(conn, stop)
	},
	"sends very many short fields": func(_ *fixture, conn net.Conn, stop <-chan struct{}) {
		io.WriteString(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("A: b\r\n", 60))
		awaitClose(conn, stop)
	},
	"never ends its head": func(_ *fixture, conn net.Conn, stop <-chan struct{}) {
		writeSlowly(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Long: "+strings.Repeat("x", 1<<20), stop)
	},
	"reads nothing of a long answer": func(s *fixture, conn net.Conn, stop <-chan struct{}) {
		request := platform.Request{ID: newCallID(), Operation: "long", Class: "chat", Tenant: "branch", Session: newCallID(),
			ResponseTokens: longAnswerTokens, Timeout: 4 * time.Second}
		s.fleet.platform.RegisterCall(request.ID, platform.Operation{Name: request.Operation, Class: request.Class,
			ResponseTokens: request.ResponseTokens})
		io.WriteString(conn, request.Encode())
		<-stop
	},
}

func largeRequestText() string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", largeBodyBytes,
		strings.Repeat(" ", largeBodyBytes))
}

// writeSlowly writes a text in pieces until that fails or stop is closed.
func writeSlowly(conn net.Conn, text string, stop <-chan struct{}) {
	const piece = 4 << 10
	for len(text) > 0 {
		n := min(piece, len(text))
		if _, err := io.WriteString(conn, text[:n]); err != nil {
			return
		}
		text = text[n:]
		select {
		case <-stop:
			return
		case <-time.After(slowClientPause):
		}
	}
}

// awaitClose waits until the peer closes the connection or stop is closed.
func awaitClose(conn net.Conn, stop <-chan struct{}) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		io.Copy(io.Discard, conn)
	}()
	select {
	case <-closed:
	case <-stop:
	}
}

// runSlowClients runs slowClientsOfKind clients of each kind for slowClientsTime. They connect again when the node has closed a connection.
func (s *fixture) runSlowClients() {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, use := range slowClientKinds {
		for range slowClientsOfKind {
			clients.Add(1)
			go func() {
				defer clients.Done()
				for !closedNow(stop) {
					if conn, err := net.DialTimeout("tcp", s.node.address, connectTimeout); err == nil {
						use(s, conn, stop)
						conn.Close()
					}
					time.Sleep(slowClientPause)
				}
			}()
		}
	}
	time.Sleep(slowClientsTime)
	close(stop)
	clients.Wait()
}

func closedNow(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// peakMemoryMB returns the largest resident set of the node's process so far, in MB.
func (s *fixture) peakMemoryMB() int {
	s.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.node.process.cmd.Process.Pid))
	if err != nil {
		s.Fatal(err)
	}
	peak := regexp.MustCompile(`VmHWM:\s+(\d+) kB`).FindSubmatch(status)
	if peak == nil {
		s.Fatalf("the process has no VmHWM:\n%s", status)
	}
	kilobytes, _ := strconv.Atoi(string(peak[1]))
	return kilobytes >> 10
}

// Guards against a process that passes its memory limit, and is killed, while hundreds of clients write slowly, stop half way through a
// large request, send heads of many fields or without end, and read nothing of long answers.
func TestMemoryLimitHoldsWithHundredsOfSlowClients(t *testing.T) {
	s := newFixture(t)
	s.startNode()
	s.runSlowClients()
	if peak := s.peakMemoryMB(); peak > nodeMemoryMB {
		t.Errorf("the process had %d MB at its peak, its limit is %d MB", peak, nodeMemoryMB)
	} else {
		t.Logf("the process had %d MB at its peak", peak)
	}
	time.Sleep(2 * time.Second)
	s.startClients(8)
	time.Sleep(2 * time.Second)
	s.stopClients()
	if served, total := servedOf(s.fleet.outcomes); served < minServedShare*total || s.fleet.outcomes[record.Served] == 0 {
		t.Errorf("got %v after the slow clients have left, want nearly all served", s.fleet.outcomes)
	}
	s.node.checkLogs(map[string]string{})
	for _, finding := range s.fleet.findings {
		t.Error(finding)
	}
}
