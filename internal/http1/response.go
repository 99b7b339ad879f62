package http1

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http/httputil"
	"net/textproto"
	"os"
	"strings"
	"time"
)

// Response is the head of a response; its body is read from Body.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   io.Reader
	// Chunked reports whether the body has the chunked transfer coding.
	Chunked  bool
	reusable bool // the connection may be reused once the body has ended
}

// ReadResponse reads the head of a response; interim responses (1xx) are skipped.
func (c *ClientConn) ReadResponse() (*Response, error) {
	if err := c.awaitStatusLine(); err != nil {
		return nil, err
	}
	for range maxInterimResponses {
		line, err := readLine(c.buffered, c.limits.Line)
		if err == errLineTooLong {
			return nil, newError(502, "status line too long")
		}
		if err != nil {
			return nil, headTimeout(err)
		}
		status, minor, err := parseStatus(string(line))
		if err != nil {
			return nil, err
		}
		h, err := readHeader(c.buffered, c.limits)
		if err != nil {
			return nil, headTimeout(err)
		}
		if status >= 200 {
			if c.pool.Head > 0 {
				c.netConn.SetReadDeadline(c.deadline)
			}
			return c.newResponse(status, minor, h)
		}
	}
	return nil, newError(502, "too many interim responses")
}

// AwaitResponse waits for the first byte of a response, which stays buffered.
func (c *ClientConn) AwaitResponse() error {
	_, err := c.buffered.Peek(1)
	return err
}

// maxInterimResponses is the number of 1xx responses at which ReadResponse stops waiting for the final one.
const maxInterimResponses = 16

// awaitStatusLine waits for the first bytes of a response and limits the time to the end of its head from then on (Pool.Head). It fails
// as soon as a byte cannot be part of a status line, without waiting for the rest of the line.
func (c *ClientConn) awaitStatusLine() error {
	if _, err := c.buffered.Peek(1); err != nil {
		return err
	}
	if c.pool.Head > 0 {
		if headDeadline := time.Now().Add(c.pool.Head); c.deadline.IsZero() || headDeadline.Before(c.deadline) {
			c.netConn.SetReadDeadline(headDeadline)
		}
	}
	const prefix = "HTTP/1."
	for n := 1; n <= len(prefix); n++ {
		b, err := c.buffered.Peek(n)
		if err != nil {
			return headTimeout(err)
		}
		if b[n-1] != prefix[n-1] {
			return newError(502, "response does not begin with a status line: %q", truncate(string(b)))
		}
	}
	return nil
}

// headTimeout turns a timeout within a head into an *Error. The first bytes of the response have arrived by then, so the response counts as
// malformed and not as missing.
func headTimeout(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return newError(502, "timeout within the response head")
	}
	return err
}

// parseStatus parses a status line.
func parseStatus(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := decimal(code)
	if (version != "HTTP/1.1" && version != "HTTP/1.0") || !ok || len(code) != 3 || n < 100 || n > 599 {
		return 0, 0, newError(502, "status line %q is malformed", truncate(line))
	}
	return int(n), int(version[len(version)-1] - '0'), nil
}

func (c *ClientConn) newResponse(status, minor int, h textproto.MIMEHeader) (*Response, error) {
	frame, err := readFraming(h, minor)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Header: h}
	r.reusable = minor == 1 && !hasListToken(h["Connection"], "close")
	switch {
	case status == 204 || status == 304:
		r.Body = bytes.NewReader(nil)
	case frame.chunked:
		r.Chunked = true
		r.Body = &chunkedBody{buffered: c.buffered, chunks: c.chunkReader(), limits: c.limits}
	case frame.length >= 0:
		r.Body = &sizedBody{source: c.buffered, left: frame.length}
	default:
		r.Body, r.reusable = c.buffered, false // delimited by the close of the connection
	}
	return r, nil
}

// chunkReader returns a reader of a chunked body, which limits the chunk size if Pool.Chunk is set.
func (c *ClientConn) chunkReader() io.Reader {
	if c.pool.Chunk > 0 {
		return &boundedChunks{buffered: c.buffered, max: c.pool.Chunk}
	}
	return httputil.NewChunkedReader(c.buffered)
}

// ReadAll reads the whole body. If it exceeds limit bytes, ReadAll returns the first limit bytes and an error.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b[:limit], fmt.Errorf("http1: body exceeds %d bytes", limit)
	}
	return b, err
}
