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

// Response is an answer whose body is read from Body.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   io.Reader
	// Chunked tells that the body comes in chunks.
	Chunked bool
	keep    bool // the connection may be used again once the body has ended
}

// ReadResponse reads the head of an answer; interim answers (1xx) are passed over.
func (c *ClientConn) ReadResponse() (*Response, error) {
	if err := c.opening(); err != nil {
		return nil, err
	}
	for range interim {
		line, err := readLine(c.br, c.lim.Line)
		if err == errLineTooLong {
			return nil, bad(502, "status line too long")
		}
		if err != nil {
			return nil, late(err)
		}
		status, minor, err := parseStatus(string(line))
		if err != nil {
			return nil, err
		}
		h, err := readHeader(c.br, c.lim)
		if err != nil {
			return nil, late(err)
		}
		if status >= 200 {
			if c.pool.Head > 0 {
				c.nc.SetReadDeadline(c.until)
			}
			return c.response(status, minor, h)
		}
	}
	return nil, bad(502, "interim answers without end")
}

// Await waits for the first byte of an answer.
func (c *ClientConn) Await() error {
	_, err := c.br.Peek(1)
	return err
}

// interim is how many answers of status 1xx may stand before the one that counts.
const interim = 16

// opening waits for the first bytes of an answer, and bounds the time of its head from there. What cannot become a status
// line is told at once: nobody need wait for the rest of it.
func (c *ClientConn) opening() error {
	if _, err := c.br.Peek(1); err != nil {
		return err
	}
	if c.pool.Head > 0 {
		if by := time.Now().Add(c.pool.Head); c.until.IsZero() || by.Before(c.until) {
			c.nc.SetReadDeadline(by)
		}
	}
	const start = "HTTP/1."
	for n := 1; n <= len(start); n++ {
		b, err := c.br.Peek(n)
		if err != nil {
			return late(err)
		}
		if b[n-1] != start[n-1] {
			return bad(502, "what came is no answer: %q", clip(string(b)))
		}
	}
	return nil
}

// late turns the end of the time within a head into an error of the message: its first bytes had come.
func late(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return bad(502, "the head of the answer does not end")
	}
	return err
}

// parseStatus reads a status line.
func parseStatus(line string) (status, minor int, err error) {
	version, rest, _ := strings.Cut(line, " ")
	code, _, _ := strings.Cut(rest, " ")
	n, ok := decimal(code)
	if (version != "HTTP/1.1" && version != "HTTP/1.0") || !ok || len(code) != 3 || n < 100 || n > 599 {
		return 0, 0, bad(502, "status line %q is malformed", clip(line))
	}
	return int(n), int(version[len(version)-1] - '0'), nil
}

func (c *ClientConn) response(status, minor int, h textproto.MIMEHeader) (*Response, error) {
	frame, err := readFraming(h, minor)
	if err != nil {
		return nil, err
	}
	r := &Response{Status: status, Header: h}
	r.keep = minor == 1 && !hasWord(h["Connection"], "close")
	switch {
	case status == 204 || status == 304:
		r.Body = bytes.NewReader(nil)
	case frame.chunked:
		r.Chunked = true
		r.Body = &chunkedBody{br: c.br, r: c.chunks(), lim: c.lim}
	case frame.length >= 0:
		r.Body = &sizedBody{r: c.br, left: frame.length}
	default:
		r.Body, r.keep = c.br, false // up to the end of the connection
	}
	return r, nil
}

// chunks reads the chunks of an answer.
func (c *ClientConn) chunks() io.Reader {
	if c.pool.Chunk > 0 {
		return &boundedChunks{br: c.br, max: c.pool.Chunk}
	}
	return httputil.NewChunkedReader(c.br)
}

// ReadAll reads the whole body, at most limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b[:limit], fmt.Errorf("http1: body exceeds %d bytes", limit)
	}
	return b, err
}
