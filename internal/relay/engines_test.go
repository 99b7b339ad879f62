package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A call that releases and is not answered in its short time tells nothing of how long kept connections last: it was silence that
// ended it, not the connection. One that breaks does.
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
				nc, err := l.Accept()
				if err != nil {
					return
				}
				defer nc.Close()
				br := bufio.NewReader(nc)
				for i := range 2 {
					if _, err := http.ReadRequest(br); err != nil {
						return
					}
					if i == 0 {
						io.WriteString(nc, "HTTP/1.1 204 x\r\n\r\n")
					}
				}
				if !c.breaks {
					br.Peek(1) // until the node gives up
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
				t.Fatal("the second call was answered")
			}
			if shorter := e.maxIdle() < before; shorter != c.breaks {
				t.Errorf("connections may rest for %v, %v before", e.maxIdle(), before)
			}
		})
	}
}
