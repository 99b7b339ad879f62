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

// gatedListener gives connections whose next read deadline may be held up.
type gatedListener struct {
	net.Listener
	hold atomic.Pointer[func()]
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c.(*net.TCPConn), l}, nil
}

type gatedConn struct {
	*net.TCPConn
	l *gatedListener
}

func (c *gatedConn) SetReadDeadline(t time.Time) error {
	if hold := c.l.hold.Swap(nil); hold != nil {
		(*hold)()
	}
	return c.TCPConn.SetReadDeadline(t)
}

// A request that begins to come on a resting connection in the very moment in which that is chosen to be ended, to make room or by a
// drain, is answered, though its body comes a little later.
func TestRequestCrossesTheCloseOfAnIdleConnection(t *testing.T) {
	for name, end := range map[string]func(s *Server){
		"to make room": func(s *Server) { s.CloseIdle(1) },
		"drain":        func(s *Server) { s.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := &gatedListener{Listener: inner}
			times := DefaultTimeouts
			times.EvictableAfter, times.DrainIdle = time.Millisecond, 5*time.Millisecond
			s := &Server{Handler: answersOK, Limits: DefaultLimits, Timeouts: times}
			go s.Serve(l)
			defer s.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			br := bufio.NewReader(c)
			fmt.Fprint(c, ok+"\r\n")
			if _, err := http.ReadResponse(br, nil); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond) // it rests
			hold := func() {
				fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n")
				time.Sleep(50 * time.Millisecond) // its head is read meanwhile
			}
			l.hold.Store(&hold)
			end(s)
			time.Sleep(50 * time.Millisecond)
			fmt.Fprint(c, "{}")
			c.SetReadDeadline(time.Now().Add(5 * time.Second))
			resp, err := http.ReadResponse(br, nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != 200 {
				t.Errorf("got status %d", resp.StatusCode)
			}
		})
	}
}
