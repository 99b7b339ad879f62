package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http/httputil"
	"strings"
	"testing"
	"time"
)

// FuzzBoundedChunks checks that boundedChunks returns the same data as httputil.NewChunkedReader or fails, and never returns more data than
// it was given.
func FuzzBoundedChunks(f *testing.F) {
	for _, s := range []string{"3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\nabc\r\n0\r\n\r\n", "zz\r\n", "4\r\nabcdef\r\n",
		"c0000000\r\nabc", "0\r\n\r\n",
		"-1\r\n", "3\nabc\n0\n\n", "10000000000000000\r\n", ""} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		got, err := io.ReadAll(&boundedChunks{buffered: bufio.NewReader(bytes.NewReader(text)), max: 1 << 10})
		want, werr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(text)))
		if err == nil && (werr != nil || !bytes.Equal(got, want)) {
			t.Fatalf("%q: got %q, want %q as httputil.NewChunkedReader, %v", text, got, want, werr)
		}
		if len(got) > len(text) {
			t.Fatalf("%q: returned more bytes than the input has", text)
		}
	})
}

// dialedConn returns a connection of a pool and its server side.
func dialedConn(t *testing.T, p *Pool) (*ClientConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := p.Get(context.Background(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); peer.Close() })
	return c, peer
}

// A response that cannot be valid fails immediately, although the connection stays open without further bytes. A head that is valid so
// far but incomplete fails after Pool.Head.
func TestMalformedResponseHeadsFailWithoutWaiting(t *testing.T) {
	for text, limit := range map[string]time.Duration{
		"\x16\x03\x01": 100 * time.Millisecond, "HTTP/2 200": 100 * time.Millisecond, "HTTP/1.1 999 x\r\n": 100 * time.Millisecond,
		"HTTP/1.1 200 OK\r\nno colon\r\n": 100 * time.Millisecond, "HT": 400 * time.Millisecond,
		"HTTP/1.1 200 OK\r\nX-More: ":                               400 * time.Millisecond,
		"HTTP/1.1 200 OK\r\nX-More: " + strings.Repeat("x", 40<<10): 100 * time.Millisecond,
	} {
		c, peer := dialedConn(t, &Pool{Limits: DefaultLimits, Head: 150 * time.Millisecond})
		c.SetDeadline(time.Now().Add(5 * time.Second))
		io.WriteString(peer, text)
		start := time.Now()
		_, err := c.ReadResponse()
		var e *Error
		if !errors.As(err, &e) || time.Since(start) > limit+time.Second {
			t.Errorf("%.40q: got %v after %v, want an *Error", text, err, time.Since(start))
		}
	}
}

// Pool.Head limits only the head. Once the head has arrived within that time, only the connection's own deadline limits the body.
func TestHeadTimeoutEndsWithTheHead(t *testing.T) {
	c, peer := dialedConn(t, &Pool{Limits: DefaultLimits, Head: 50 * time.Millisecond, Chunk: 1 << 10})
	c.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		time.Sleep(150 * time.Millisecond)
		io.WriteString(peer, "2\r\nok\r\n0\r\n\r\n")
	}()
	if b, err := resp.ReadAll(10); string(b) != "ok" || err != nil {
		t.Errorf("got %q, %v, want the whole body", b, err)
	}
}

// A handler may set Body to nil. The server must still subtract the size of the body from the held bytes.
func TestHeldBytesAreReleasedWhenTheHandlerClearsTheBody(t *testing.T) {
	s := &Server{Limits: DefaultLimits, Timeouts: DefaultTimeouts, MaxBytes: 1 << 20, Handler: HandlerFunc(func(x *Exchange) {
		x.Body = nil
		x.Reply(200, nil, nil)
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() { defer close(done); s.Serve(l) }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	for range 3 {
		io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello")
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if line == "\r\n" {
				break
			}
		}
	}
	c.Close()
	s.Close()
	<-done
	if n := s.HeldBytes(); n != 0 {
		t.Errorf("got %d bytes held after all exchanges, want 0", n)
	}
}
