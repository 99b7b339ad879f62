package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// The client reads valid responses of an engine, rejects malformed or incomplete ones, and reuses the connection only where that is safe.
func TestClientReadsResponses(t *testing.T) {
	for _, m := range []struct {
		name, text, body string
		good, reused     bool
	}{
		{"sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", "ab", true, true},
		{"chunked with trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n", "ab", true, true},
		{"delimited by the close", "HTTP/1.1 200 OK\r\n\r\nab", "ab", true, false},
		{"interim first", "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", "a", true, true},
		{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\na", "a", true, false},
		{"incomplete body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", "", false, false},
		{"chunk shorter than its size", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nab", "", false, false},
		{"no trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", "", false, false},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", "", false, false},
		{"both framings", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", false, false},
	} {
		t.Run(m.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			served := make(chan struct{})
			go func() {
				defer close(served)
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				http.ReadRequest(bufio.NewReader(c))
				io.WriteString(c, m.text)
				if m.reused {
					io.Copy(io.Discard, c) // keep the connection open until the client closes it
				}
			}()
			p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
			c, err := p.Get(context.Background(), l.Addr().String(), time.Second)
			if err != nil {
				t.Fatal(err)
			}
			c.SetDeadline(time.Now().Add(5 * time.Second))
			if sent, all, err := c.Send("POST", "/", nil, []byte("x")); sent != all || err != nil {
				t.Fatal(sent, all, err)
			}
			var body []byte
			resp, err := c.ReadResponse()
			if err == nil {
				body, err = resp.ReadAll(100)
			}
			if (err == nil) != m.good || m.good && string(body) != m.body {
				t.Fatalf("got %q, %v", body, err)
			}
			if m.good {
				p.PutAfter(c, resp)
				if got := len(p.idle[l.Addr().String()]) == 1; got != m.reused {
					t.Fatalf("connection returned to the pool: got %v, want %v", got, m.reused)
				}
			} else {
				c.Close()
			}
			p.Close()
			<-served
		})
	}
}
