package memnet

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is one end of a connection. It is safe for concurrent use.
type Conn struct {
	in, out       *direction
	local, remote hostAddr
	listener      *Listener // set at the accepted end; nil at the client's end
	closeOnce     sync.Once
	readDeadline  deadline // guarded by in.mu
	writeDeadline deadline // guarded by out.mu
	closed        bool     // this end is closed; guarded by in.mu
}

// Read reads what the other end has written.
func (c *Conn) Read(p []byte) (int, error) {
	d := c.in
	d.mu.Lock()
	defer d.mu.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case d.reset:
			return 0, d.resetError
		case c.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case len(d.unread) > 0:
			n := copy(p, d.unread)
			d.unread = d.unread[n:]
			d.cond.Broadcast()
			return n, nil
		case d.writerClosed:
			return 0, io.EOF
		}
		d.cond.Wait()
	}
}

// Write sends bytes to the other end. It blocks while bufferSize bytes are unread there.
func (c *Conn) Write(p []byte) (n int, err error) {
	d := c.out
	d.mu.Lock()
	defer d.mu.Unlock()
	for len(p) > 0 {
		switch {
		case d.writerClosed:
			return n, net.ErrClosed
		case d.reset:
			return n, d.resetError
		case d.readerClosed:
			return n, syscall.EPIPE
		case c.writeDeadline.passed():
			return n, os.ErrDeadlineExceeded
		}
		if free := bufferSize - len(d.unread); free > 0 {
			k := min(free, len(p))
			d.unread = append(d.unread, p[:k]...)
			p = p[k:]
			n += k
			d.cond.Broadcast()
			continue
		}
		d.cond.Wait()
	}
	return n, nil
}

// CloseWrite closes the sending side: the other end reads io.EOF after the bytes sent before.
func (c *Conn) CloseWrite() error {
	c.out.updateAndWake(func() { c.out.writerClosed = true })
	return nil
}

// Close closes the connection. If this end has not read all bytes that it received, the connection is reset, as in TCP.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		unread := false
		c.in.updateAndWake(func() {
			unread = len(c.in.unread) > 0
			c.closed = true
			c.in.readerClosed = true
			c.in.unread = nil
			stopTimer(c.readDeadline.timer)
		})
		c.out.updateAndWake(func() {
			c.out.writerClosed = true
			c.out.reset = c.out.reset || unread
			stopTimer(c.writeDeadline.timer)
		})
		if l := c.listener; l != nil {
			l.mu.Lock()
			delete(l.open, c)
			l.mu.Unlock()
		}
	})
	return nil
}

// Reset resets the connection. Bytes that are unread at either end are lost.
func (c *Conn) Reset() {
	for _, d := range []*direction{c.out, c.in} {
		d.updateAndWake(func() {
			d.reset = true
			d.unread = nil
		})
	}
	c.Close()
}

// PeerClosed reports whether the other end has closed or reset the connection, and whether it has closed its sending side without a
// reset. Bytes that are still unread do not matter.
func (c *Conn) PeerClosed() (closed, writerClosed bool) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return c.in.writerClosed || c.in.reset, c.in.writerClosed && !c.in.reset
}

// Unread reports whether a read would return immediately, with bytes, the end of the stream or a reset.
func (c *Conn) Unread() bool {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	return len(c.in.unread) > 0 || c.in.writerClosed || c.in.reset
}

// SetDeadline sets the deadline of reads and writes; the zero time means no deadline.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// SetReadDeadline sets the deadline of reads; the zero time means no deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	setDeadline(c.in, &c.readDeadline, t)
	return nil
}

// SetWriteDeadline sets the deadline of writes; the zero time means no deadline.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	setDeadline(c.out, &c.writeDeadline, t)
	return nil
}

// LocalAddr returns the address of this end.
func (c *Conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the address of the other end. At an accepted end, this is the name of the host that connected.
func (c *Conn) RemoteAddr() net.Addr { return c.remote }
