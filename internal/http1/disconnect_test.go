package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

func TestDisconnectIsDetectedWhileAResponseIsPending(t *testing.T) {
	for _, how := range []string{"close", "half", "reset"} {
		t.Run(how, func(t *testing.T) {
			notified := make(chan bool, 1)
			s := &Server{Handler: HandlerFunc(func(x *Exchange) {
				x.OnDisconnect(func(half bool) { notified <- half; x.Abort() })
			})}
			c := dialServer(t, startServer(t, s))
			io.WriteString(c, getHead+"\r\n")
			switch how {
			case "half":
				c.(*net.TCPConn).CloseWrite()
			case "reset":
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
			default:
				c.Close()
			}
			select {
			case <-notified:
			case <-time.After(10 * time.Second):
				t.Fatal("the disconnect was not detected")
			}
		})
	}
}

// The disconnect of a client is detected within 0.1 s even if the client has pipelined many requests behind the current one, and the
// server holds only a limited part of them. While the client stays connected, these requests wait and do not count as a disconnect.
func TestDisconnectIsDetectedBehindPipelinedRequests(t *testing.T) {
	for name, pipelined := range map[string]int{"one more": 1, "full buffer": 100, "many": 1500, "more than the kernel buffers": 25_000} {
		for _, how := range []string{"close", "reset"} {
			t.Run(name+" "+how, func(t *testing.T) {
				notified, received := make(chan time.Time, 1), make(chan struct{}, 1)
				s := &Server{Handler: HandlerFunc(func(x *Exchange) {
					received <- struct{}{}
					x.OnDisconnect(func(bool) { notified <- time.Now(); x.Abort() })
				})}
				c := dialServer(t, startServer(t, s))
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					io.WriteString(c, getHead+"\r\n"+strings.Repeat(getHead+"\r\n", pipelined))
				}()
				<-received
				<-sent // all bytes are in the kernel's buffers, so that a close follows them
				time.Sleep(50 * time.Millisecond)
				select {
				case <-notified:
					t.Fatal("a disconnect was reported while the client was connected")
				default:
				}
				closedAt := time.Now()
				if how == "reset" {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				select {
				case at := <-notified:
					if d := at.Sub(closedAt); d > 100*time.Millisecond {
						t.Fatalf("disconnect detected after %v, want at most 100ms", d)
					}
				case <-time.After(5 * time.Second):
					t.Fatal("the disconnect was not detected")
				}
				if len(received) > 0 {
					t.Fatal("a pipelined request was handled after its client disconnected")
				}
			})
		}
	}
}

// Pipelined requests that were read ahead are answered in order, and afterwards none of their bytes count as held.
func TestPipelinedRequestsReadAheadAreAnsweredInOrder(t *testing.T) {
	const requests = 3000
	respond, n := make(chan struct{}), 0
	s := &Server{MaxBytes: 1 << 20, Handler: HandlerFunc(func(x *Exchange) {
		if n++; n == 1 {
			go func() { <-respond; x.Reply(200, []Field{{"X-N", x.Query}}, nil) }()
			return
		}
		x.Reply(200, []Field{{"X-N", x.Query}}, nil)
	})}
	c := dialServer(t, startServer(t, s))
	go func() {
		for i := range requests {
			fmt.Fprintf(c, "GET /?%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
	}()
	for s.HeldBytes() < 40<<10 {
		time.Sleep(time.Millisecond) // until more has been read ahead than the reader's own buffer holds
	}
	close(respond)
	br := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.Header.Get("X-N") != fmt.Sprint(i) {
			t.Fatalf("response %d: got %v, %v", i, resp, err)
		}
	}
	c.Close()
	for s.Conns() > 0 {
		time.Sleep(time.Millisecond)
	}
	if heldBytes := s.HeldBytes(); heldBytes != 0 {
		t.Errorf("got %d bytes held after the connection ended, want 0", heldBytes)
	}
}
