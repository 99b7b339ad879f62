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

// watchDisconnect waits for the end of an exchange and reports whether the client disconnected first. To detect a close behind bytes that
// the client has sent after its request, it reads these bytes ahead and buffers them for the next request. Beyond the read-ahead limit
// they stay in the kernel. A close behind them is then visible only in the TCP state. It is not visible at all if the client has sent
// more than the kernel can buffer.
func (c *conn) watchDisconnect(x *Exchange) (disconnected bool) {
	for {
		select {
		case <-x.done:
			return false
		default:
		}
		_, err := c.buffered.Peek(c.buffered.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			if err = c.ahead.readMore(c.mayReadAhead); err == errReadAheadFull {
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
			c.netConn.SetReadDeadline(time.Time{}) // a drain set this deadline when it found the connection idle
			continue
		}
		x.clientDisconnected(errors.Is(err, io.EOF))
		<-x.done
		return true
	}
}

// disconnectPollInterval is the interval at which the TCP state of a connection is polled once the read-ahead limit is reached. A
// disconnect must be detected well within 0.1 s (rule 1 of the platform).
const disconnectPollInterval = 40 * time.Millisecond

// pollDisconnect continues watchDisconnect after the read-ahead limit is reached.
func (c *conn) pollDisconnect(x *Exchange) (disconnected bool) {
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

// peerClosed reports whether the peer has closed the connection or its sending side (closed). If halfClosed is set too, only the close of
// the sending side is known. A close is reported even if bytes before it are still unread. A connection with neither a file descriptor
// nor a PeerClosed method counts as open.
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
