package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchDisconnect waits for the end of an exchange and meanwhile watches for the client's disconnect. It tells whether the client has
// disconnected. What a client sends after its request is read ahead and kept for its turn, so that a close after it is seen. Beyond the
// bound on what is kept it stays in the kernel, where a close shows only in the state of the connection, and after more than the
// kernel buffers not at all.
func (c *conn) watchDisconnect(x *Exchange) (gone bool) {
	for {
		select {
		case <-x.done:
			return false
		default:
		}
		_, err := c.buffered.Peek(c.buffered.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			if err = c.ahead.more(c.mayReadAhead); err == errReadAheadFull {
				return c.pollDisconnect(x)
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			if x.finishing.Load() {
				<-x.done
				return false
			}
			c.netConn.SetReadDeadline(time.Time{}) // a drain had taken the connection for idle
			continue
		}
		x.clientDisconnected(errors.Is(err, io.EOF))
		<-x.done
		return true
	}
}

// disconnectPollInterval is how often the state of a connection whose buffer is full is polled: a disconnect is to be noticed well
// within 0.1 s (the platform's rule 1).
const disconnectPollInterval = 40 * time.Millisecond

// pollDisconnect is watchDisconnect where nothing more can be read ahead.
func (c *conn) pollDisconnect(x *Exchange) (gone bool) {
	ticker := time.NewTicker(disconnectPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-x.done:
			return false
		case <-ticker.C:
		}
		if closed, halfClosed := peerClosed(c.netConn); closed {
			x.clientDisconnected(halfClosed)
			<-x.done
			return true
		}
	}
}

// States of a TCP connection, as Linux numbers them (include/net/tcp_states.h).
const (
	tcpClose     = 7 // reset, or closed on both sides
	tcpCloseWait = 8 // the peer has closed its sending side
	tcpLastAck   = 9
)

// peerClosed tells whether the peer has closed the connection, or at least its sending side (halfClosed), whatever is still unread. A
// connection without a file descriptor, or a method of that name, counts as open.
func peerClosed(netConn net.Conn) (closed, halfClosed bool) {
	if prober, ok := netConn.(interface {
		PeerClosed() (closed, halfClosed bool)
	}); ok {
		return prober.PeerClosed()
	}
	sc, ok := netConn.(syscall.Conn)
	if !ok {
		return false, false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false, false
	}
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			halfClosed = info.State == tcpCloseWait
			closed = halfClosed || info.State == tcpClose || info.State == tcpLastAck
		}
	})
	return closed, halfClosed
}
