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
// it skims them: their requests are rejected after those that are buffered (rejectSkimmed).
func (c *conn) watchDisconnect(x *Exchange) (disconnected bool) {
	for {
		select {
		case <-x.done:
			return false
		default:
		}
		err := c.readBehindRequest()
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

// readBehindRequest reads bytes that the client has sent after its request.
func (c *conn) readBehindRequest() error {
	if c.ahead.skimmed != nil {
		return c.ahead.skimMore()
	}
	_, err := c.buffered.Peek(c.buffered.Buffered() + 1)
	if !errors.Is(err, bufio.ErrBufferFull) {
		return err
	}
	if err = c.ahead.readMore(c.mayReadAhead); err != errReadAheadFull {
		return err
	}
	buffered, _ := c.buffered.Peek(c.buffered.Buffered())
	c.ahead.startSkimming(buffered, c.server.Limits)
	c.buffered.Reset(c.ahead)
	return nil
}

// rejectSkimmed rejects the requests that were skimmed, if there are any and those before them have their responses. It reads the rest of
// the request that is being skimmed, if its body has begun. It returns false if the connection has to close.
func (c *conn) rejectSkimmed() bool {
	if c.ahead.skimmed == nil || c.buffered.Buffered() > 0 || len(c.ahead.pending) > 0 {
		return true
	}
	deadline := time.Now().Add(c.server.Timeouts.Body)
	for !c.ahead.stopSkimming() {
		if skimmed := c.ahead.skimmed; skimmed.complete > 0 {
			skimmed.complete--
			if !c.rejectOneSkimmed() {
				return false
			}
			continue
		}
		if err := c.ahead.skimmed.err; err != nil {
			c.rejectRequest(err)
			return false
		}
		c.netConn.SetReadDeadline(deadline)
		if err := c.ahead.skimMore(); err != nil {
			c.rejectRequest(err)
			return false
		}
	}
	return true
}

// rejectOneSkimmed writes the rejection of one request, and reports whether that succeeded.
func (c *conn) rejectOneSkimmed() bool {
	c.closed.Requests++
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.Timeouts.Write))
	_, err := c.netConn.Write(c.errorResponse(&Error{503, "too many requests were sent at once"}, false))
	return err == nil
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
