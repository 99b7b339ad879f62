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

func TestDisconnectIsSeenWhileAResponseIsPending(t *testing.T) {
	for _, how := range []string{"close", "half", "reset"} {
		t.Run(how, func(t *testing.T) {
			seen := make(chan bool, 1)
			s := &Server{Handler: HandlerFunc(func(x *Exchange) {
				x.OnDisconnect(func(half bool) { seen <- half; x.Abort() })
			})}
			c := dialServer(t, startServer(t, s))
			io.WriteString(c, ok+"\r\n")
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
			case <-seen:
			case <-time.After(10 * time.Second):
				t.Fatal("not seen")
			}
		})
	}
}

// A client that sends much behind its request and goes is seen to go, within 0.1 s, and little of it is held meanwhile; what is
// sent behind by a client that stays waits its turn.
func TestDisconnectIsSeenBehindPipelinedRequests(t *testing.T) {
	for name, behind := range map[string]int{"one more": 1, "a full buffer": 100, "many": 1500, "more than the kernel takes": 25_000} {
		for _, how := range []string{"close", "reset"} {
			t.Run(name+" "+how, func(t *testing.T) {
				seen, taken := make(chan time.Time, 1), make(chan struct{}, 1)
				s := &Server{Handler: HandlerFunc(func(x *Exchange) {
					taken <- struct{}{}
					x.OnDisconnect(func(bool) { seen <- time.Now(); x.Abort() })
				})}
				c := dialServer(t, startServer(t, s))
				sent := make(chan struct{})
				go func() {
					defer close(sent)
					io.WriteString(c, ok+"\r\n"+strings.Repeat(ok+"\r\n", behind))
				}()
				<-taken
				<-sent // into the kernel's buffers: a close follows behind
				time.Sleep(50 * time.Millisecond)
				select {
				case <-seen:
					t.Fatal("a client that stays was taken to have gone")
				default:
				}
				gone := time.Now()
				if how == "reset" {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				select {
				case at := <-seen:
					if d := at.Sub(gone); d > 100*time.Millisecond {
						t.Fatalf("seen after %v", d)
					}
				case <-time.After(5 * time.Second):
					t.Fatal("not seen")
				}
				if len(taken) > 0 {
					t.Fatal("a request behind it was taken after its client had gone")
				}
			})
		}
	}
}

// What was read ahead is answered in its turn, whatever of it was kept, and nothing of it is counted as held then.
func TestPipelinedRequestsReadAheadAreAnsweredInOrder(t *testing.T) {
	const behind = 3000
	first, n := make(chan struct{}), 0
	s := &Server{MaxBytes: 1 << 20, Handler: HandlerFunc(func(x *Exchange) {
		if n++; n == 1 {
			go func() { <-first; x.Reply(200, []Field{{"X-N", x.Query}}, nil) }()
			return
		}
		x.Reply(200, []Field{{"X-N", x.Query}}, nil)
	})}
	c := dialServer(t, startServer(t, s))
	go func() {
		for i := range behind {
			fmt.Fprintf(c, "GET /?%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		}
	}()
	for s.HeldBytes() < 40<<10 {
		time.Sleep(time.Millisecond) // until more has been read ahead than the reader's own buffer holds
	}
	close(first)
	br := bufio.NewReader(c)
	for i := range behind {
		resp, err := http.ReadResponse(br, nil)
		if err != nil || resp.Header.Get("X-N") != fmt.Sprint(i) {
			t.Fatalf("answer %d: got %v, %v", i, resp, err)
		}
	}
	c.Close()
	for s.Conns() > 0 {
		time.Sleep(time.Millisecond)
	}
	if heldBytes := s.HeldBytes(); heldBytes != 0 {
		t.Errorf("%d bytes are held when all is over", heldBytes)
	}
}
