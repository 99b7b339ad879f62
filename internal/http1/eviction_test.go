package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// hookListener accepts connections that call beforeReadDeadline once, before the next read deadline is set.
type hookListener struct {
	net.Listener
	beforeReadDeadline atomic.Pointer[func()]
}

func (l *hookListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &hookConn{c.(*net.TCPConn), l}, nil
}

type hookConn struct {
	*net.TCPConn
	l *hookListener
}

func (c *hookConn) SetReadDeadline(t time.Time) error {
	if hook := c.l.beforeReadDeadline.Swap(nil); hook != nil {
		(*hook)()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// An eviction or a drain has chosen an idle connection for closing. Before it sets the connection's deadline, a request begins to arrive
// on that connection. The request must be answered, although its body arrives later.
func TestRequestArrivingWhileItsIdleConnectionIsClosedIsAnswered(t *testing.T) {
	for name, closeIdle := range map[string]func(s *Server){
		"eviction": func(s *Server) { s.CloseIdle(1) },
		"drain":    func(s *Server) { s.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &hookListener{Listener: inner}
			times := DefaultTimeouts
			times.EvictableAfter, times.DrainIdle = time.Millisecond, 5*time.Millisecond
			s := &Server{Handler: okHandler, Limits: DefaultLimits, Timeouts: times}
			go s.Serve(l)
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			fmt.Fprint(c, getHead+"\r\n")
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // longer than EvictableAfter
			sendHead := func() {
				fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
				time.Sleep(50 * time.Millisecond) // the server reads the head in this time
			}
			l.beforeReadDeadline.Store(&sendHead)
			closeIdle(s)
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(c, "{}")
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != 200 {
				t.Errorf("got status %d, want 200", resp.StatusCode)
			}
		})
	}
}
