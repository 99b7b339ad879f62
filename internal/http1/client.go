package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"net/textproto"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Pool keeps idle connections to servers, by address. It is safe for concurrent use.
type Pool struct {
	MaxIdle     int           // kept for each address
	MaxOpen     int           // open at once, idle ones included, which make room; 0 = no bound
	IdleTimeout time.Duration // after which an idle connection closes
	Limits      Limits
	// MaxIdleTime is asked how long a connection may have rested that Get returns; nil = Idle.
	MaxIdleTime func() time.Duration
	// MinIdleTime is how long a connection rests at least before it carries another request; 0 = no such time. A server may send a
	// second answer to a request some moments after the first. It shows as unread bytes, which end the use of a connection, but
	// only once it has come: read later, it would be taken for the answer to the next request.
	MinIdleTime time.Duration
	// Chunk bounds the size of one chunk of an answer; 0 = no bound. Head bounds the time from the first byte of an answer
	// to the end of its head; 0 = no bound but the connection's.
	Chunk int64
	Head  time.Duration
	// Connect makes connections; nil = a net.Dialer does.
	Connect DialFunc

	mu     sync.Mutex
	idle   map[string][]*ClientConn
	open   int
	closed bool
}

// DialFunc makes a connection, as net.Dialer.DialContext does; ctx bounds its time.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrPoolFull tells that the pool has as many connections open as it may.
var ErrPoolFull = errors.New("http1: no room for another connection")

// ClientConn is a connection to a server. It belongs to one goroutine, but for Close.
type ClientConn struct {
	addr  string
	pool  *Pool
	once  sync.Once // of Close
	nc    net.Conn
	br    *bufio.Reader
	lim   Limits
	used  time.Time
	until time.Time // the bound on reads and writes; zero = none

	bounds sync.Mutex // of last, and of the order in which deadlines are set
	last   time.Time  // beyond which no deadline is set any more; zero = Finish was not called

	drained int // bytes that were read when the time of Finish was over
	// Reused tells that the connection has carried an exchange before.
	Reused bool
	// IdleFor is for how long it had rested then.
	IdleFor time.Duration
}

// Get returns an idle connection that is still open, or makes one within the time given, unless ctx ends before.
func (p *Pool) Get(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.IdleFor = time.Since(c.used); c.IdleFor < limit && c.alive() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	return p.Dial(ctx, addr, timeout)
}

// Dial makes a connection within the time given, unless ctx ends before.
func (p *Pool) Dial(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	if !p.enter() {
		return nil, ErrPoolFull
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	nc, err := connect(ctx, "tcp", addr)
	if err != nil {
		p.leave()
		return nil, err
	}
	c := &ClientConn{addr: addr, pool: p, nc: nc, lim: p.Limits}
	c.br = bufio.NewReaderSize(arrived{c}, 1<<10)
	return c, nil
}

// enter counts one more connection, closing one that rests if there is no room.
func (p *Pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpen > 0 && p.open >= p.MaxOpen {
		var oldest *ClientConn
		for _, xs := range p.idle {
			for _, c := range xs {
				if oldest == nil || c.used.Before(oldest.used) {
					oldest = c
				}
			}
		}
		if oldest == nil {
			return false
		}
		xs := p.idle[oldest.addr]
		p.idle[oldest.addr] = slices.DeleteFunc(xs, func(c *ClientConn) bool { return c == oldest })
		oldest.nc.Close()
		oldest.once.Do(func() { p.open-- })
	}
	p.open++
	return true
}

func (p *Pool) leave() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// pop takes out the connection that has rested the shortest of those that have settled; nil = there is none. Connections stand
// in the order in which they were put back.
func (p *Pool) pop(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	xs := p.idle[addr]
	for i := len(xs) - 1; i >= 0; i-- {
		if c := xs[i]; time.Since(c.used) >= p.MinIdleTime {
			p.idle[addr] = slices.Delete(xs, i, i+1)
			return c
		}
	}
	return nil
}

// Put gives a connection back after a whole exchange.
func (p *Pool) Put(c *ClientConn) {
	c.SetDeadline(time.Time{})
	c.used = time.Now()
	p.mu.Lock()
	keep := !p.closed && !c.finishing() && len(p.idle[c.addr]) < p.MaxIdle && c.br.Buffered() == 0
	if keep {
		if p.idle == nil {
			p.idle = map[string][]*ClientConn{}
		}
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// CloseExpired closes connections that have been idle for too long; call it now and then.
func (p *Pool) CloseExpired() {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	var old []*ClientConn
	defer func() { closeAll(old) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, xs := range p.idle {
		keep := xs[:0]
		for _, c := range xs {
			if time.Since(c.used) < limit {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		clear(xs[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = keep
		}
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() { p.drop(false) }

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() { p.drop(true) }

func (p *Pool) drop(last bool) {
	p.mu.Lock()
	var all []*ClientConn
	for _, xs := range p.idle {
		all = append(all, xs...)
	}
	p.idle, p.closed = nil, p.closed || last
	p.mu.Unlock()
	closeAll(all)
}

func closeAll(cs []*ClientConn) {
	for _, c := range cs {
		c.Close()
	}
}

// alive looks, without waiting, for a close or for bytes that nobody asked for. Without it a request would be
// written to a connection that the server has closed, and nobody could tell whether it ran.
func (c *ClientConn) alive() bool {
	if teller, ok := c.nc.(interface{ Unread() bool }); ok {
		return !teller.Unread()
	}
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
func (c *ClientConn) Close() error {
	c.once.Do(c.pool.leave)
	return c.nc.Close()
}

// Delivered tells whether the peer's machine has taken all that was written. A connection that cannot tell counts as one that has.
func (c *ClientConn) Delivered() bool {
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	arrived := true
	raw.Control(func(fd uintptr) {
		waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		arrived = err != nil || waiting == 0
	})
	return arrived
}

// Discard closes the connection. What has not arrived yet is dropped, so that it does not arrive once its sender has given it up.
func (c *ClientConn) Discard() {
	if tc, ok := c.nc.(interface{ SetLinger(int) error }); ok && !c.Delivered() {
		tc.SetLinger(0)
	}
	c.Close()
}

// SetDeadline bounds all reads and writes to come; the zero time lifts the bound.
func (c *ClientConn) SetDeadline(t time.Time) {
	c.until = t
	c.bounds.Lock()
	defer c.bounds.Unlock()
	if !c.last.IsZero() && (t.IsZero() || t.After(c.last)) {
		t = c.last
	}
	c.nc.SetDeadline(t)
}

// Within bounds all reads and writes to come by a time from now, unless they are bounded to end before.
func (c *ClientConn) Within(d time.Duration) {
	if by := time.Now().Add(d); c.until.IsZero() || by.Before(c.until) {
		c.SetDeadline(by)
	}
}

// ReadOnFor ends the use of the connection: what has come, and what comes within the time given, is still read. Unlike the other
// methods but Close it may be called from any goroutine.
func (c *ClientConn) ReadOnFor(within time.Duration) {
	c.bounds.Lock()
	defer c.bounds.Unlock()
	if c.last.IsZero() {
		c.last = time.Now().Add(within)
		c.nc.SetDeadline(c.last)
	}
}

// afterFinish bounds what is read of a connection once the time of Finish is over, in bytes: what the kernel held by then.
const afterFinish = 256 << 10

// arrived reads a connection. Once the time of Finish is over it gives what has come, which a read whose deadline has passed
// does not. It belongs to the connection's goroutine.
type arrived struct{ c *ClientConn }

func (a arrived) Read(p []byte) (int, error) {
	n, err := a.c.nc.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !a.c.finishing() || a.c.drained >= afterFinish {
		return n, err
	}
	if n = readNow(a.c.nc, p); n > 0 {
		a.c.drained += n
		return n, nil
	}
	return 0, err
}

// readNow reads what a connection holds, without waiting; 0 = nothing, or it cannot tell.
func readNow(nc net.Conn, p []byte) (n int) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	raw.Control(func(fd uintptr) {
		for {
			if n, err = syscall.Read(int(fd), p); err != syscall.EINTR {
				return
			}
		}
	})
	return max(0, n)
}

// finishing tells whether Finish was called.
func (c *ClientConn) finishing() bool {
	c.bounds.Lock()
	defer c.bounds.Unlock()
	return !c.last.IsZero()
}

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

// boundedChunks reads chunks of a bounded size, up to the last one. A size that cannot be read, or is beyond the bound, is
// an error before a byte of its chunk is passed on.
type boundedChunks struct {
	br   *bufio.Reader
	max  int64
	left int64
	tail bool // the line end behind a chunk is still to be read
}

func (b *boundedChunks) Read(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads up to the first byte of a chunk; io.EOF = it was the last one.
func (b *boundedChunks) next() error {
	if b.tail {
		line, err := readLine(b.br, 0)
		if err != nil || len(line) > 0 {
			return chunkError(err, "a chunk does not fit its size")
		}
	}
	b.tail = true
	line, err := readLine(b.br, 256)
	if err != nil {
		return chunkError(err, "a chunk's size has no end")
	}
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 63)
	if err != nil {
		return bad(502, "chunk size %q cannot be read", clip(text))
	}
	if int64(size) > b.max {
		return bad(502, "chunk of %d bytes exceeds %d", size, b.max)
	}
	if b.left = int64(size); size == 0 {
		return io.EOF
	}
	return nil
}

// chunkError names what is wrong between chunks, where the peer and the time are not.
func chunkError(err error, reason string) error {
	var e *Error
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err == nil || err == errLineTooLong || errors.As(err, &e):
		return bad(502, "%s", reason)
	}
	return err
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
