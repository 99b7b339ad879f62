package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
)

const getHead = "GET / HTTP/1.1\r\nHost: h\r\n"

// malformedRequests is the table of docs/design/node.md: the bytes sent, and the exact status of the response.
var malformedRequests = []struct {
	name, text string
	status     int
}{
	{"good", getHead + "\r\n", 200},
	{"one empty line before", "\r\n" + getHead + "\r\n", 200},
	{"absolute form", "GET http://h/x?y HTTP/1.1\r\nHost: h\r\n\r\n", 200},
	{"HTTP/1.0 without Host", "GET / HTTP/1.0\r\n\r\n", 200},
	{"equal lengths twice", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", 200},
	{"length and coding", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"differing lengths", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab", 400},
	{"lengths in a list", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2, 3\r\n\r\nab", 400},
	{"signed length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: +2\r\n\r\nab", 400},
	{"negative length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -2\r\n\r\nab", 400},
	{"empty length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length:\r\n\r\n", 400},
	{"overflowing length", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999999999999999999\r\n\r\n", 400},
	{"chunked not last", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, gzip\r\n\r\n", 400},
	{"chunked twice", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, chunked\r\n\r\n", 400},
	{"two codings", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
	{"unknown coding", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n", 501},
	{"coding in 1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
	{"coding with vertical tab", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: \vchunked\r\n\r\n0\r\n\r\n", 400},
	{"bare LF", "GET / HTTP/1.1\nHost: h\n\n", 400},
	{"bare CR", "GET / HTTP/1.1\r\nHost: h\r\nA: b\rc\r\n\r\n", 400},
	{"NUL", "GET / HTTP/1.1\r\nHost: h\r\nA: b\x00c\r\n\r\n", 400},
	{"control byte in a value", "GET / HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n", 400},
	{"control byte in a name", "GET / HTTP/1.1\r\nHost: h\r\nA\x01: b\r\n\r\n", 400},
	{"space before the colon", "GET / HTTP/1.1\r\nHost: h\r\nA : b\r\n\r\n", 400},
	{"folded line", "GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n c\r\n\r\n", 400},
	{"no colon", "GET / HTTP/1.1\r\nHost: h\r\nA\r\n\r\n", 400},
	{"empty name", "GET / HTTP/1.1\r\nHost: h\r\n: b\r\n\r\n", 400},
	{"no Host", "GET / HTTP/1.1\r\n\r\n", 400},
	{"two Hosts", "GET / HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n", 400},
	{"Host with a path", "GET / HTTP/1.1\r\nHost: h/x\r\n\r\n", 400},
	{"no version", "GET /\r\n\r\n", 400},
	{"HTTP/2", "GET / HTTP/2.0\r\nHost: h\r\n\r\n", 505},
	{"unknown protocol name", "GET / HTTQ/1.1\r\nHost: h\r\n\r\n", 400},
	{"two spaces", "GET  / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"method with a bracket", "G(T / HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"relative target", "GET x HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"star with GET", "GET * HTTP/1.1\r\nHost: h\r\n\r\n", 400},
	{"long request line", "GET /" + strings.Repeat("a", 9<<10) + " HTTP/1.1\r\nHost: h\r\n\r\n", 414},
	{"large header", getHead + "A: " + strings.Repeat("a", 33<<10) + "\r\n\r\n", 431},
	{"many headers", getHead + strings.Repeat("A: b\r\n", 101) + "\r\n", 431},
	{"large body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n", 413},
	{"large chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" +
		strings.Repeat("a", 2000) + "\r\n0\r\n\r\n", 413},
	{"signed chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", 400},
	{"0x chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\na\r\n0\r\n\r\n", 400},
	{"long chunk size", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n00000000000000001\r\na\r\n0\r\n\r\n", 400},
	{"chunk without its end", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n0\r\n\r\n", 400},
	{"malformed trailer", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA : b\r\n\r\n", 400},
	{"good chunked body", "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nA: b\r\n\r\n", 200},
	{"unknown expectation", "POST / HTTP/1.1\r\nHost: h\r\nExpect: more\r\nContent-Length: 1\r\n\r\na", 417},
	{"slow head", "GET / HT", 408},
	{"slow body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na", 408},
}

func TestMalformedRequestsGetTheirExactStatus(t *testing.T) {
	addr := startServer(t, &Server{})
	for _, m := range malformedRequests {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			c := dialServer(t, addr)
			io.WriteString(c, m.text)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != m.status {
				t.Fatalf("got status %d, want %d", resp.StatusCode, m.status)
			}
			if m.status != 200 && !resp.Close {
				t.Fatal("the connection stays open after a request that could not be read")
			}
		})
	}
}

// FuzzReadRequest checks that for any input the parser terminates and respects its limits, and that the framing of each accepted request
// is unambiguous.
func FuzzReadRequest(f *testing.F) {
	for _, m := range malformedRequests {
		f.Add([]byte(m.text))
	}
	lim := Limits{Line: 200, Header: 1000, Headers: 10, Body: 500}
	f.Fuzz(func(t *testing.T, text []byte) {
		br := bufio.NewReaderSize(bytes.NewReader(text), 64)
		q, err := ReadRequest(br, lim)
		if err != nil {
			return
		}
		total := 0
		for name, values := range q.Header {
			if !isToken(name) {
				t.Fatalf("accepted the header name %q", name)
			}
			for _, v := range values {
				if total += len(name) + len(v); strings.ContainsAny(v, "\r\n\x00") {
					t.Fatalf("accepted the header value %q", v)
				}
			}
		}
		if total > lim.Header || len(q.Header) > lim.Headers {
			t.Fatalf("accepted %d bytes in %d header fields", total, len(q.Header))
		}
		if q.frame.chunked && q.Header["Content-Length"] != nil {
			t.Fatal("accepted a request with both Transfer-Encoding and Content-Length")
		}
		if err := q.ReadBody(br, lim); err == nil && int64(len(q.Body)) > lim.Body {
			t.Fatalf("accepted a body of %d bytes", len(q.Body))
		}
	})
}

func BenchmarkReadRequest(b *testing.B) {
	text := []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nUser-Agent: client/1.0\r\nAccept: text/event-stream\r\n" +
		"Authorization: Bearer key\r\nContent-Type: application/json\r\nX-Stainless-Retry-Count: 0\r\nContent-Length: 2\r\n\r\n{}")
	r := bytes.NewReader(text)
	br := bufio.NewReaderSize(r, readBufferSize)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(text)
		br.Reset(r)
		q, err := ReadRequest(br, DefaultLimits)
		if err != nil || q.ReadBody(br, DefaultLimits) != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkNetHTTPReadRequest(b *testing.B) {
	text := []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1:8080\r\nUser-Agent: client/1.0\r\nAccept: text/event-stream\r\n" +
		"Authorization: Bearer key\r\nContent-Type: application/json\r\nX-Stainless-Retry-Count: 0\r\nContent-Length: 2\r\n\r\n{}")
	r := bytes.NewReader(text)
	br := bufio.NewReader(r)
	b.SetBytes(int64(len(text)))
	b.ReportAllocs()
	for b.Loop() {
		r.Reset(text)
		br.Reset(r)
		q, err := http.ReadRequest(br)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, q.Body)
	}
}
