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

// finishing tells whether Finish was called.
func (c *ClientConn) finishing() bool {
	c.bounds.Lock()
	defer c.bounds.Unlock()
	return !c.last.IsZero()
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
