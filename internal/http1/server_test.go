package http1

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// echoHandler responds with the request's body; another goroutine responds to /later and, as a stream, to /stream.
func echoHandler(x *Exchange) {
	switch x.Path {
	case "/later":
		go func() { x.Reply(200, nil, []byte("later "+x.Query)) }()
	case "/stream":
		go func() {
			x.Begin(200, []Field{{"Content-Type", "text/event-stream"}})
			for i := range 3 {
				x.Write(AppendEvent(nil, []byte(strconv.Itoa(i))))
			}
			x.End()
		}()
	default:
		x.Reply(200, nil, x.Body)
	}
}

func startServer(t testing.TB, s *Server) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if s.Handler == nil {
		s.Handler = HandlerFunc(echoHandler)
	}
	if s.Limits.Line == 0 {
		s.Limits = DefaultLimits
		s.Limits.Body = 1000
	}
	if s.Timeouts.Head == 0 {
		s.Timeouts = Timeouts{Head: 300 * time.Millisecond, Body: 300 * time.Millisecond, Idle: time.Second, Write: 5 * time.Second}
	}
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	t.Cleanup(func() { s.Close(); <-done })
	return l.Addr().String()
}

func dialServer(t testing.TB, addr string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	c := dialServer(t, startServer(t, &Server{}))
	var b strings.Builder
	for i := range 20 {
		path := []string{"/later", "/now"}[i%2]
		fmt.Fprintf(&b, "POST %s?%d HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n%02d", path, i, i)
	}
	io.WriteString(c, b.String())
	br := bufio.NewReader(c)
	for i := range 20 {
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := io.ReadAll(resp.Body)
		want := fmt.Sprintf("%02d", i)
		if i%2 == 0 {
			want = fmt.Sprint("later ", i)
		}
		if string(got) != want {
			t.Fatalf("response %d: got %q, want %q", i, got, want)
		}
	}
}

func TestExpectContinueIsAnswered(t *testing.T) {
	c := dialServer(t, startServer(t, &Server{}))
	io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	br := bufio.NewReader(c)
	line, err := br.ReadString('\n')
	if err != nil || line != "HTTP/1.1 100 Continue\r\n" {
		t.Fatalf("got %q, %v, want a 100 Continue", line, err)
	}
	br.ReadString('\n')
	io.WriteString(c, "ab")
	resp, err := http.ReadResponse(br, nil)
	if err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
}

func TestHeadResponseHasNoBodyAndHTTP10StreamEndsWithClose(t *testing.T) {
	addr := startServer(t, &Server{})
	c := dialServer(t, addr)
	io.WriteString(c, "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab")
	text, _ := io.ReadAll(c)
	if !bytes.HasSuffix(text, []byte("\r\n\r\n")) || !bytes.Contains(text, []byte("Content-Length: 2\r\n")) {
		t.Fatalf("got %q, want a head with Content-Length and no body", text)
	}
	c = dialServer(t, addr)
	io.WriteString(c, "GET /stream HTTP/1.0\r\n\r\n")
	text, _ = io.ReadAll(c)
	if !bytes.HasSuffix(text, []byte("\r\n\r\ndata: 0\n\ndata: 1\n\ndata: 2\n\n")) {
		t.Fatalf("got %q, want an unframed stream that ends with the connection", text)
	}
}

// The client of an aborted stream receives all bytes written before the abort, although the server has unread bytes from the client. A
// close with unread bytes would cause a reset, which discards bytes that the kernel has not yet sent.
func TestAbortedStreamDeliversWhatWasWritten(t *testing.T) {
	event := strings.Repeat("x", 1<<10)
	for range 20 {
		s := &Server{Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: time.Second, Write: time.Second, Linger: time.Second},
			Handler: HandlerFunc(func(x *Exchange) {
				x.Begin(200, nil)
				for range 60 {
					x.Write([]byte(event))
				}
				x.AbortBody()
			})}
		c := dialServer(t, startServer(t, s))
		io.WriteString(c, getHead+"\r\n"+strings.Repeat(getHead+"\r\n", 200))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if len(body) != 60*len(event) || err != io.ErrUnexpectedEOF {
			t.Fatalf("got %d bytes of %d, %v, want all of them without the last chunk", len(body), 60*len(event), err)
		}
		c.Close()
	}
}

func TestSecondResponseIsRejected(t *testing.T) {
	errs := make(chan error, 4)
	s := &Server{Handler: HandlerFunc(func(x *Exchange) {
		errs <- x.Reply(200, nil, nil)
		errs <- x.Reply(200, nil, nil)
		errs <- x.Begin(200, nil)
		_, err := x.Write([]byte("a"))
		errs <- err
	})}
	c := dialServer(t, startServer(t, s))
	io.WriteString(c, getHead+"Connection: close\r\n\r\n")
	text, _ := io.ReadAll(c)
	if strings.Count(string(text), "HTTP/1.1") != 1 || <-errs != nil ||
		<-errs != ErrExchangeEnded || <-errs != ErrExchangeEnded || <-errs != ErrExchangeEnded {
		t.Fatalf("got %q, want one response, and ErrExchangeEnded for each further write", text)
	}
}

func TestBodyBytesAndConnectionsAreBounded(t *testing.T) {
	release := make(chan struct{})
	s := &Server{MaxBytes: 1000, MaxConns: func() int { return 3 }, Handler: HandlerFunc(func(x *Exchange) {
		go func() { <-release; x.Reply(200, nil, nil) }()
	})}
	addr := startServer(t, s)
	body := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("a", 900)
	first := dialServer(t, addr)
	io.WriteString(first, body)
	for s.heldBytes.Load() < 900 {
		time.Sleep(time.Millisecond)
	}
	for range 2 {
		c := dialServer(t, addr)
		io.WriteString(c, body)
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil || resp.StatusCode != 503 {
			t.Fatal(resp, err)
		}
		c.Close()
	}
	close(release)
	if resp, err := http.ReadResponse(bufio.NewReader(first), nil); err != nil || resp.StatusCode != 200 {
		t.Fatal(resp, err)
	}
	for s.heldBytes.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
}

func TestHeaderValuesCannotSplitAResponse(t *testing.T) {
	s := &Server{Handler: HandlerFunc(func(x *Exchange) { x.Reply(200, []Field{{"A", "b\r\nEvil: yes"}}, nil) })}
	c := dialServer(t, startServer(t, s))
	io.WriteString(c, getHead+"\r\n")
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || resp.Header.Get("Evil") != "" || resp.Header.Get("A") != "bEvil: yes" {
		t.Fatal(resp, err)
	}
}

// A connection that arrives during Wait or Close is either served or closed, and Close waits for it. Many rounds cover different orders
// of the goroutines.
func TestConnectionsAcceptedDuringCloseAreServedOrClosed(t *testing.T) {
	for i := range 300 {
		s := &Server{Handler: HandlerFunc(echoHandler), Limits: DefaultLimits,
			Timeouts: Timeouts{Head: time.Second, Body: time.Second, Idle: time.Second,
				Write: time.Second, DrainAccept: time.Second, DrainIdle: time.Millisecond}}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		served, dialled := make(chan struct{}), make(chan struct{})
		go func() { defer close(served); s.Serve(l) }()
		go func() {
			defer close(dialled)
			for range 3 {
				if c, err := net.Dial("tcp", l.Addr().String()); err == nil {
					if i%2 == 0 {
						io.WriteString(c, getHead+"\r\n")
					}
					c.Close()
				}
			}
		}()
		s.Drain()
		s.Wait(time.Duration(i%3) * time.Millisecond)
		s.Close()
		<-dialled
		<-served
		if n := s.Conns(); n > 0 {
			t.Fatalf("round %d: %d connections are open after Close", i, n)
		}
	}
}

// When a node is killed, it drops exchanges that its handler has queued and that were not processed yet. They never get a response. A Close
// that waited for them never returned (seen with 60 nodes under load).
func TestCloseDoesNotWaitForAbandonedExchanges(t *testing.T) {
	received := make(chan struct{})
	s := &Server{Handler: HandlerFunc(func(*Exchange) { close(received) }), Limits: DefaultLimits, Timeouts: DefaultTimeouts}
	addr := startServer(t, s)
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	io.WriteString(c, getHead+"\r\n")
	<-received
	closed := make(chan struct{})
	go func() { s.Close(); close(closed) }()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("Close did not return: it waits for an exchange that never ends")
	}
}

// Clients over the connection limit receive a 503. A rejection that was written before the request was read was lost to a reset, so that
// thousands of clients of a full node saw a broken connection instead.
func TestClientsOverTheLimitReadTheirRejection(t *testing.T) {
	release := make(chan struct{})
	s := &Server{MaxConns: func() int { return 1 }, Handler: HandlerFunc(func(x *Exchange) {
		go func() { <-release; x.Reply(200, nil, nil) }()
	})}
	addr := startServer(t, s)
	first := dialServer(t, addr)
	io.WriteString(first, getHead+"\r\n")
	for s.Conns() == 0 {
		time.Sleep(time.Millisecond)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 20 * time.Second}
	defer client.CloseIdleConnections()
	errs := make(chan error, 200)
	for range cap(errs) {
		go func() {
			resp, err := client.Post("http://"+addr+"/", "application/json", strings.NewReader(strings.Repeat("x", 900)))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode != 503 {
					err = fmt.Errorf("status %d", resp.StatusCode)
				}
			}
			errs <- err
		}()
	}
	for range cap(errs) {
		if err := <-errs; err != nil {
			t.Error(err)
		}
	}
	close(release)
}
