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

// watch waits for the end of an exchange and meanwhile looks for the client's hang-up. It tells whether the connection is gone.
// What a client sends behind its request is read ahead and kept for its turn, so that a close behind it shows. Beyond the bound
// on what is kept it waits in the kernel, where a close shows in the state of the connection alone, and behind more than the
// kernel takes not at all.
func (c *conn) watch(x *Exchange) (gone bool) {
	for {
		select {
		case <-x.done:
			return false
		default:
		}
		_, err := c.br.Peek(c.br.Buffered() + 1)
		if errors.Is(err, bufio.ErrBufferFull) {
			if err = c.ahead.more(c.mayKeep); err == errAheadFull {
				return c.watchState(x)
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, os.ErrDeadlineExceeded):
			if x.waking.Load() {
				<-x.done
				return false
			}
			c.nc.SetReadDeadline(time.Time{}) // of a drain that took us for idle
			continue
		}
		x.hangup(errors.Is(err, io.EOF))
		<-x.done
		return true
	}
}

// lookEvery is how often the state of a connection is looked at whose buffer is full: a client that has gone is to be noticed
// well within 0.1 s.
const lookEvery = 40 * time.Millisecond

// watchState is watch where nothing more can be read ahead.
func (c *conn) watchState(x *Exchange) (gone bool) {
	look := time.NewTicker(lookEvery)
	defer look.Stop()
	for {
		select {
		case <-x.done:
			return false
		case <-look.C:
		}
		if left, half := hasLeft(c.nc); left {
			x.hangup(half)
			<-x.done
			return true
		}
	}
}

// States of a TCP connection, as the kernel numbers them.
const (
	tcpClose     = 7 // reset, or closed on both sides
	tcpCloseWait = 8 // the peer has closed its sending side
	tcpLastAck   = 9
)

// hasLeft tells whether the peer has closed the connection, or at least its sending side (half), whatever is still unread. A
// connection that cannot say so has not.
func hasLeft(nc net.Conn) (left, half bool) {
	if teller, ok := nc.(interface{ Gone() (left, half bool) }); ok {
		return teller.Gone()
	}
	sc, ok := nc.(syscall.Conn)
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
			half = info.State == tcpCloseWait
			left = half || info.State == tcpClose || info.State == tcpLastAck
		}
	})
	return left, half
}
