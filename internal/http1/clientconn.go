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

// ClientConn is a connection to a server. It belongs to one goroutine, but for Close.
type ClientConn struct {
	address   string
	pool      *Pool
	once      sync.Once // of Close
	netConn   net.Conn
	buffered  *bufio.Reader
	limits    Limits
	idleSince time.Time
	deadline  time.Time // of reads and writes; zero = none

	deadlineMu  sync.Mutex // guards readOnUntil and the order in which deadlines are set
	readOnUntil time.Time  // the latest deadline that may be set; zero = ReadOnFor was not called

	readPastDeadline int // bytes read after readOnUntil
	// Reused tells that the connection has carried an exchange before.
	Reused bool
	// IdleFor is for how long it was idle before this use.
	IdleFor time.Duration
}

// isReusable looks, without waiting, for a close or for unexpected bytes. Without it a request would be written to a connection that
// the server has closed, and whether the request ran would be unknown.
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

// Close closes the connection; it may be called from any goroutine and ends a read or write that waits.
func (c *ClientConn) Close() error {
	c.once.Do(c.pool.release)
	return c.netConn.Close()
}

// Delivered tells whether the peer's machine has taken all that was written. A connection that cannot tell counts as one that has.
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
		waiting, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		delivered = err != nil || waiting == 0
	})
	return delivered
}

// Discard closes the connection and drops what has not been delivered, so that a request that was given up does not arrive later.
func (c *ClientConn) Discard() {
	if tc, ok := c.netConn.(interface{ SetLinger(int) error }); ok && !c.Delivered() {
		tc.SetLinger(0)
	}
	c.Close()
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (c *ClientConn) SetDeadline(t time.Time) {
	c.deadline = t
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if !c.readOnUntil.IsZero() && (t.IsZero() || t.After(c.readOnUntil)) {
		t = c.readOnUntil
	}
	c.netConn.SetDeadline(t)
}

// Within sets the deadline of reads and writes to a time from now, unless an earlier one is set.
func (c *ClientConn) Within(d time.Duration) {
	if by := time.Now().Add(d); c.deadline.IsZero() || by.Before(c.deadline) {
		c.SetDeadline(by)
	}
}

// ReadOnFor ends the use of the connection: what has arrived, and what arrives within the time given, is still read. Like Close it may
// be called from any goroutine.
func (c *ClientConn) ReadOnFor(within time.Duration) {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	if c.readOnUntil.IsZero() {
		c.readOnUntil = time.Now().Add(within)
		c.netConn.SetDeadline(c.readOnUntil)
	}
}

// readingOn tells whether ReadOnFor was called.
func (c *ClientConn) readingOn() bool {
	c.deadlineMu.Lock()
	defer c.deadlineMu.Unlock()
	return !c.readOnUntil.IsZero()
}

// maxReadPastDeadline bounds what is read of a connection after readOnUntil, in bytes: what the kernel held by then.
const maxReadPastDeadline = 256 << 10

// deadlineReader reads a connection. After readOnUntil it returns what has arrived, which a read whose deadline has passed does not.
// It belongs to the connection's goroutine.
type deadlineReader struct{ c *ClientConn }

func (a deadlineReader) Read(p []byte) (int, error) {
	n, err := a.c.netConn.Read(p)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !a.c.readingOn() || a.c.readPastDeadline >= maxReadPastDeadline {
		return n, err
	}
	if n = readNonBlocking(a.c.netConn, p); n > 0 {
		a.c.readPastDeadline += n
		return n, nil
	}
	return 0, err
}

// readNonBlocking reads what a connection holds, without waiting; 0 = nothing, or the connection has no file descriptor.
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

// Send writes a request with a body. It returns how many bytes were handed to the connection, and how many the request has.
func (c *ClientConn) Send(method, path string, fields []Field, body []byte) (sent, all int, err error) {
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
