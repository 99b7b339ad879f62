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

// FuzzBoundedChunks: what is read of chunks is what the plain reader reads, or less and an error; never more.
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
			t.Fatalf("%q: %q, the plain reader %q, %v", text, got, want, werr)
		}
		if len(got) > len(text) {
			t.Fatalf("%q: more than came", text)
		}
	})
}

// dialedConn returns a connection of a pool and its far end.
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

// What cannot be the opening of an answer is told at once, though the connection stays open and says no more; a head that
// has begun and does not end, soon.
func TestMalformedStatusLinesFailAtOnce(t *testing.T) {
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
			t.Errorf("%.40q: %v after %v", text, err, time.Since(start))
		}
	}
}

// A head in time leaves the rest of the answer the connection's own bound.
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
		t.Errorf("%q, %v", b, err)
	}
}

// A handler may take the body away: its bytes are given back all the same.
func TestHeldBytesAreReleasedWhenTheBodyIsTaken(t *testing.T) {
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
		t.Errorf("%d bytes are held", n)
	}
}
