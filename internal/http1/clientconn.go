package http1

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ClientConn is a connection to a server. Only one goroutine may use it, except for Close and FinishWithin, which any goroutine may call.
type ClientConn struct {
	address   string
	pool      *Pool
	closeOnce sync.Once // subtracts the connection from pool.open when it is closed for the first time
	netConn   net.Conn
	buffered  *bufio.Reader
	limits    Limits
	idleSince time.Time
	deadline  time.Time // of reads and writes, as set by SetDeadline; zero = none

	deadlineMu    sync.Mutex // guards finalDeadline and the order in which deadlines are set
	finalDeadline time.Time  // set by FinishWithin; SetDeadline sets no later deadline; zero = FinishWithin was not called

	readPastDeadline int // bytes read after finalDeadline
	// Reused reports whether the connection carried an exchange before.
	Reused bool
	// CompletedPrefill reports whether an earlier exchange on the connection was a completed prefill. The user of the connection sets it
	// before it puts the connection back into the pool.
	CompletedPrefill bool
	// IdleFor is how long the connection was idle before this use.
	IdleFor time.Duration
}

// isReusable reports whether the server has neither closed the connection nor sent unexpected bytes. It does not block. Without this check
// a request could be written to a connection that the server has closed, and whether the request ran would be unknown.
func (c *ClientConn) isReusable() bool {
	if prober, ok := c.netConn.(interface{ Unread() bool }); ok {
		return !prober.Unread()
	}
	sc, ok := c.netConn.(syscall.Conn)
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

// Close closes the connection and unblocks a pending read or write. Any goroutine may call it.
func (c *ClientConn) Close() error {
	c.closeOnce.Do(c.pool.release)
	return c.netConn.Close()
}

// Delivered reports whether the peer's kernel has acknowledged all bytes that were written. If this cannot be determined, it returns
// true.
func (c *ClientConn) Delivered() bool {
	sc, ok := c.netConn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	delivered := true
	raw.Control(func(fd uintptr) {
		unacknowledged, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		delivered = err != nil || unacknowledged == 0
	})
	return delivered
}

// Discard closes the connection and drops bytes that were not delivered, so that an abandoned request does not reach the server later.
func (c *ClientConn) Discard() {
	if tc, ok := c.netConn.(interface{ SetLinger(int) error }); ok && !c.Delivered() {
		tc.SetLinger(0)
	}
	c.Close()
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it. It cannot extend the limit set by FinishWithin.
func (c *ClientConn) SetDeadline(t time.Time) {
	c.deadline = t
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.finalDeadline.IsZero() && (t.IsZero() || t.After(c.finalDeadline)) {
		t = c.finalDeadline
	}
	c.netConn.SetDeadline(t)
}

// LimitDeadline sets the deadline of reads and writes to d from now, unless an earlier deadline is set.
func (c *ClientConn) LimitDeadline(d time.Duration) {
	if deadline := time.Now().Add(d); c.deadline.IsZero() || deadline.Before(c.deadline) {
		c.SetDeadline(deadline)
	}
}

// FinishWithin limits the remaining use of the connection to d; the connection is not reused afterwards. Bytes that have arrived, or that
// arrive within d, can still be read. Later calls have no effect. Any goroutine may call it.
func (c *ClientConn) FinishWithin(d time.Duration) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.finalDeadline.IsZero() {
		c.finalDeadline = time.Now().Add(d)
		c.netConn.SetDeadline(c.finalDeadline)
	}
}

// isFinishing reports whether FinishWithin was called.
func (c *ClientConn) isFinishing() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.finalDeadline.IsZero()
}

// maxReadPastDeadline limits the bytes read from the kernel's buffer after finalDeadline. The last read may exceed it.
const maxReadPastDeadline = 256 << 10

// deadlineReader reads a connection. After finalDeadline it still returns bytes that have arrived, whereas a read of a net.Conn fails
// once its deadline has passed. Only the connection's goroutine may use it.
type deadlineReader struct{ c *ClientConn }

func (r deadlineReader) Read(p []byte) (int, error) {
	n, err := r.c.netConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !r.c.isFinishing() || r.c.readPastDeadline >= maxReadPastDeadline {
		return n, err
	}
	if n = readNonBlocking(r.c.netConn, p); n > 0 {
		r.c.readPastDeadline += n
		return n, nil
	}
	return 0, err
}

// readNonBlocking reads buffered bytes without blocking. It returns 0 if there are none or the connection has no file descriptor.
func readNonBlocking(nc net.Conn, p []byte) (n int) {
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

// Send writes a request with a body. It returns the number of bytes written and the size of the whole request, in bytes.
func (c *ClientConn) Send(method, path string, fields []Field, body []byte) (sent, total int, err error) {
	b := make([]byte, 0, 256+len(body))
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, path...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, c.address...)
	b = append(b, "\r\n"...)
	b = appendHeader(b, fields)
	if len(body) > 0 || method == "POST" {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(append(b, "\r\n"...), body...)
	sent, err = c.netConn.Write(b)
	return sent, len(b), err
}
