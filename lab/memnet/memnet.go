// Package memnet is a network in memory, for tests on virtual time (testing/synctest): listeners and connections that behave
// as TCP does where a proxy can tell, with hosts that refuse, reset or say nothing. It opens no descriptor.
package memnet

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// bufferSize is what one direction of a connection holds before a write waits, in bytes.
const bufferSize = 64 << 10

// Network is a set of listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	silent    map[string]bool // hosts that do not answer: connections never come up
}

// New returns a network without hosts.
func New() *Network {
	return &Network{listeners: map[string]*Listener{}, silent: map[string]bool{}}
}

// Listen opens an address.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{network: n, address: memAddr(address), wake: make(chan struct{}, 1), conns: map[*Conn]bool{}}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l
}

// Silence sets whether connections to an address never come up.
func (n *Network) Silence(address string, on bool) {
	n.mu.Lock()
	n.silent[address] = on
	n.mu.Unlock()
}

// Dialer returns a dialer whose connections carry the name of their host.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l, silent := n.listeners[address], n.silent[address]
		n.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: timeoutError{}}
		}
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
		}
		return l.connect(memAddr(host))
	}
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

// timeoutError is the error of an attempt to connect whose time is over.
type timeoutError struct{}

func (timeoutError) Error() string   { return "memnet: no connection came up in time" }
func (timeoutError) Timeout() bool   { return true }
func (timeoutError) Temporary() bool { return true }

// Listener accepts the connections of an address.
type Listener struct {
	network *Network
	address memAddr
	wake    chan struct{}

	mu       sync.Mutex
	waiting  []*Conn
	conns    map[*Conn]bool // accepted ends that are open
	made     int            // connections
	closed   bool
	deadline *time.Timer
}

func (l *Listener) connect(from memAddr) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	broken := resets[l.made%len(resets)]
	l.made++
	up, down := newHalf(broken), newHalf(broken)
	client := &Conn{in: down, out: up, local: from, remote: l.address}
	server := &Conn{in: up, out: down, local: l.address, remote: from, listener: l}
	l.waiting = append(l.waiting, server)
	l.conns[server] = true
	l.signal()
	return client, nil
}

func (l *Listener) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Accept waits for a connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		if len(l.waiting) > 0 {
			c := l.waiting[0]
			l.waiting = l.waiting[1:]
			l.mu.Unlock()
			return c, nil
		}
		closed := l.closed
		l.mu.Unlock()
		if closed {
			l.signal()
			return nil, net.ErrClosed
		}
		<-l.wake
	}
}

// Close ends the listener; connections that are open go on.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	l.network.mu.Unlock()
	l.mu.Lock()
	l.closed = true
	waiting := l.waiting
	l.waiting = nil
	if l.deadline != nil {
		l.deadline.Stop()
	}
	l.mu.Unlock()
	for _, c := range waiting {
		c.Reset()
	}
	l.signal()
	return nil
}

// SetDeadline has the listener end at a time, as an accept that times out would.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deadline != nil {
		l.deadline.Stop()
	}
	l.deadline = time.AfterFunc(time.Until(t), func() { l.Close() })
	return nil
}

// ResetAll resets the connections that were accepted and are open.
func (l *Listener) ResetAll() {
	l.mu.Lock()
	var all []*Conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.Reset()
	}
}

// Addr is the address that was opened.
func (l *Listener) Addr() net.Addr { return l.address }

// half is one direction of a connection.
type half struct {
	mu     sync.Mutex
	cond   *sync.Cond
	bytes  []byte
	ended  bool // no more is written
	closed bool // nobody reads any more
	reset  bool
	broken syscall.Errno // as which a reset shows
}

// resets are the errors as which a broken connection may show, in turn.
var resets = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

func newHalf(broken syscall.Errno) *half {
	h := &half{broken: broken}
	h.cond = sync.NewCond(&h.mu)
	return h
}

func (h *half) set(change func()) {
	h.mu.Lock()
	change()
	h.cond.Broadcast()
	h.mu.Unlock()
}

// limit is a deadline for waits on a half.
type limit struct {
	at    time.Time
	timer *time.Timer
}

func (x *limit) over() bool { return !x.at.IsZero() && !time.Now().Before(x.at) }

// Conn is one end of a connection.
type Conn struct {
	in, out       *half
	local, remote memAddr
	listener      *Listener // of an accepted end
	once          sync.Once
	read          limit // guarded by in.mu
	write         limit // guarded by out.mu
	shut          bool  // this end is closed; guarded by in.mu
}

// Read reads what the other end has written.
func (c *Conn) Read(p []byte) (int, error) {
	h := c.in
	h.mu.Lock()
	defer h.mu.Unlock()
	for {
		switch {
		case c.shut:
			return 0, net.ErrClosed
		case h.reset:
			return 0, h.broken
		case c.read.over():
			return 0, os.ErrDeadlineExceeded
		case len(h.bytes) > 0:
			n := copy(p, h.bytes)
			h.bytes = h.bytes[n:]
			h.cond.Broadcast()
			return n, nil
		case h.ended:
			return 0, io.EOF
		}
		h.cond.Wait()
	}
}

// Write hands bytes to the other end; it waits while too many are unread.
func (c *Conn) Write(p []byte) (n int, err error) {
	h := c.out
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(p) > 0 {
		switch {
		case h.ended:
			return n, net.ErrClosed
		case h.reset:
			return n, h.broken
		case h.closed:
			return n, syscall.EPIPE
		case c.write.over():
			return n, os.ErrDeadlineExceeded
		}
		if free := bufferSize - len(h.bytes); free > 0 {
			k := min(free, len(p))
			h.bytes = append(h.bytes, p[:k]...)
			p, n = p[k:], n+k
			h.cond.Broadcast()
			continue
		}
		h.cond.Wait()
	}
	return n, nil
}

// CloseWrite ends the sending side.
func (c *Conn) CloseWrite() error {
	c.out.set(func() { c.out.ended = true })
	return nil
}

// Close closes the connection. Bytes that were not read reset it, as TCP does.
func (c *Conn) Close() error {
	c.once.Do(func() {
		unread := false
		c.in.set(func() {
			unread = len(c.in.bytes) > 0
			c.shut, c.in.closed, c.in.bytes = true, true, nil
			stopTimer(c.read.timer)
		})
		c.out.set(func() {
			c.out.ended = true
			c.out.reset = c.out.reset || unread
			stopTimer(c.write.timer)
		})
		if l := c.listener; l != nil {
			l.mu.Lock()
			delete(l.conns, c)
			l.mu.Unlock()
		}
	})
	return nil
}

// Reset ends the connection at once for both ends.
func (c *Conn) Reset() {
	c.out.set(func() { c.out.reset, c.out.bytes = true, nil })
	c.in.set(func() { c.in.reset, c.in.bytes = true, nil })
	c.Close()
}

// PeerClosed tells whether the other end has closed the connection, or its sending side, whatever is unread.
func (c *Conn) PeerClosed() (closed, halfClosed bool) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.ended || c.in.reset, c.in.ended && !c.in.reset
}

// Unread tells whether something waits to be read: bytes, or the end.
func (c *Conn) Unread() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.bytes) > 0 || c.in.ended || c.in.reset
}

func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}

func setLimit(h *half, x *limit, t time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stopTimer(x.timer)
	x.at, x.timer = t, nil
	if t.IsZero() {
		return
	}
	if left := time.Until(t); left > 0 {
		x.timer = time.AfterFunc(left, func() { h.set(func() {}) })
	}
	h.cond.Broadcast()
}

// SetDeadline bounds reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline bounds reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	setLimit(c.in, &c.read, t)
	return nil
}

// SetWriteDeadline bounds writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	setLimit(c.out, &c.write, t)
	return nil
}

// LocalAddr is this end's address.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr is the other end's address: for an accepted end, the name of the host that connected.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }
