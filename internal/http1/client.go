package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Pool keeps idle connections to servers, by address. It is safe for concurrent use.
type Pool struct {
	MaxIdle int           // kept for each address
	Idle    time.Duration // after which an idle connection closes
	Limits  Limits

	mu     sync.Mutex
	idle   map[string][]*ClientConn
	closed bool
}

// ClientConn is a connection to a server. It belongs to one goroutine, but for Close.
type ClientConn struct {
	addr string
	nc   net.Conn
	br   *bufio.Reader
	lim  Limits
	used time.Time
	// Reused tells that the connection has carried an exchange before.
	Reused bool
}

// Get returns an idle connection that is still open, or makes one within the time given.
func (p *Pool) Get(addr string, timeout time.Duration) (*ClientConn, error) {
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Since(c.used) < p.Idle && c.alive() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	nc, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &ClientConn{addr: addr, nc: nc, br: bufio.NewReaderSize(nc, 1<<10), lim: p.Limits}, nil
}

func (p *Pool) pop(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	xs := p.idle[addr]
	if len(xs) == 0 {
		return nil
	}
	c := xs[len(xs)-1]
	p.idle[addr] = xs[:len(xs)-1]
	return c
}

// Put gives a connection back after a whole exchange.
func (p *Pool) Put(c *ClientConn) {
	c.nc.SetDeadline(time.Time{})
	c.used = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.addr]) >= p.MaxIdle || c.br.Buffered() > 0 {
		c.Close()
		return
	}
	if p.idle == nil {
		p.idle = map[string][]*ClientConn{}
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep closes connections that have been idle for too long; call it now and then.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, xs := range p.idle {
		keep := xs[:0]
		for _, c := range xs {
			if time.Since(c.used) < p.Idle {
				keep = append(keep, c)
			} else {
				c.Close()
			}
		}
		if len(keep) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = keep
		}
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.drop()
}

func (p *Pool) drop() {
	for _, xs := range p.idle {
		for _, c := range xs {
			c.Close()
		}
	}
	p.idle = nil
}

// alive looks, without waiting, for a close or for bytes that nobody asked for. Without it a request would be
// written to a connection that the server has closed, and nobody could tell whether it ran.
func (c *ClientConn) alive() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EWOULDBLOCK)
		return true
	})
	return err == nil && open
}

// Close closes the connection; it may be called from any goroutine and ends a read or write that waits.
func (c *ClientConn) Close() error { return c.nc.Close() }

// SetDeadline bounds all reads and writes to come; the zero time lifts the bound.
func (c *ClientConn) SetDeadline(t time.Time) { c.nc.SetDeadline(t) }

// Send writes a request with a body and returns how many of all its bytes were handed to the connection, and
// how many there were.
func (c *ClientConn) Send(method, path string, fields []Field, body []byte) (sent, all int, err error) {
	b := make([]byte, 0, 256+len(body))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.addr...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, fields)
	if len(body) > 0 || method == "POST" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(append(b, "\r\n"...), body...)
	sent, err = c.nc.Write(b)
	return sent, len(b), err
}

// Response is an answer whose body is read from Body.
type Response struct {
	Status int
	Header textproto.MIMEHeader
	Body   io.Reader
	keep   bool // the connection may be used again once the body has ended
}

// ReadResponse reads the head of an answer; interim answers (1xx) are passed over.
func (c *ClientConn) ReadResponse() (*Response, error) {
	for range 8 {
		line, err := readLine(c.br, c.lim.Line)
		if err != nil {
			return nil, err
		}
		status, minor, err := parseStatus(string(line))
		if err != nil {
			return nil, err
		}
		h, err := readHeader(c.br, c.lim)
		if err != nil {
			return nil, err
		}
		if status >= 200 {
			return c.response(status, minor, h)
		}
	}
	return nil, bad(502, "interim answers without end")
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
		r.Body = &chunkedBody{br: c.br, r: httputil.NewChunkedReader(c.br), lim: c.lim}
	case frame.length >= 0:
		r.Body = &sizedBody{r: c.br, left: frame.length}
	default:
		r.Body, r.keep = c.br, false // up to the end of the connection
	}
	return r, nil
}

// chunkedBody reads a chunked body and then its trailer, so that the connection can be used again.
type chunkedBody struct {
	br   *bufio.Reader
	r    io.Reader
	lim  Limits
	done bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	if err == io.EOF {
		if err = readTrailer(b.br, b.lim); err == nil {
			b.done, err = true, io.EOF
		} else if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// sizedBody reads so many bytes; an earlier end is an error.
type sizedBody struct {
	r    io.Reader
	left int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// ReadAll reads the whole body, at most limit bytes.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(len(b)) > limit {
		return b[:limit], fmt.Errorf("http1: body exceeds %d bytes", limit)
	}
	return b, err
}

// Done gives the connection back to the pool if the answer allows it and its body has been read to the end;
// else it closes it.
func (p *Pool) Done(c *ClientConn, r *Response) {
	if r.keep {
		var one [1]byte
		if n, err := r.Body.Read(one[:]); n == 0 && err == io.EOF {
			p.Put(c)
			return
		}
	}
	c.Close()
}
