package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a release call that times out being recorded as a lost idle connection: the engine was silent, but the connection
// was intact. A connection that breaks during the call must be recorded.
func TestReleaseTimeoutIsNoConnectionLoss(t *testing.T) {
	for name, c := range map[string]struct {
		breaks bool
	}{"silent": {false}, "broken": {true}} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				br := bufio.NewReader(conn)
				for i := range 2 {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if i == 0 {
						io.WriteString(conn, "HTTP/1.1 204 x\r\n\r\n")
					}
				}
				if !c.breaks {
					br.Peek(1) // returns when the node closes the connection
				}
			}()
			e := NewEngines(testSettings(t), 8, nil)
			defer e.Close()
			if err := e.Release(l.Addr().String(), "a", 0, time.Second); err != nil {
				t.Fatal(err)
			}
			time.Sleep(minIdleTime + 20*time.Millisecond)
			before := e.maxIdle()
			if err := e.Release(l.Addr().String(), "b", 0, 50*time.Millisecond); err == nil {
				t.Fatal("the second call got a response")
			}
			if shorter := e.maxIdle() < before; shorter != c.breaks {
				t.Errorf("maximum idle time is %v, was %v before the call", e.maxIdle(), before)
			}
		})
	}
}
