package http1

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Exchange is one request and its answer. Reply, or Begin, Write and End, or Break or Cut are called by one goroutine at
// a time; Hangup may come at any moment.
type Exchange struct {
	*Request
	Arrived time.Time // when its first byte came, though others were answered first
	c       *conn
	done    chan struct{}
	state   atomic.Int32 // one of the phases below
	close   bool         // set by the answer, read after done
	waking  atomic.Bool  // the answer has ended; done is about to close
	// unanswered tells that the exchange was cut before its answer had begun; it is read after done.
	unanswered bool

	mu       sync.Mutex
	onHangup func(half bool)
	hung     bool
	half     bool
}

const (
	fresh int32 = iota
	begun
	ended
)

// ErrExchangeEnded tells that an exchange had its answer already.
var ErrExchangeEnded = errors.New("http1: the exchange has ended")

// OnDisconnect sets what is called, once, when the client has gone before the answer ended; at once if it has.
// half tells that its sending side ended in good order, so that it may still be reading.
func (x *Exchange) OnDisconnect(f func(half bool)) {
	x.mu.Lock()
	x.onHangup = f
	hung, half := x.hung, x.half
	x.mu.Unlock()
	if hung {
		f(half)
	}
}

// gone tells whether the client's leaving has been seen.
func (x *Exchange) gone() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.hung
}

func (x *Exchange) hangup(half bool) {
	x.mu.Lock()
	x.hung, x.half = true, half
	f := x.onHangup
	x.mu.Unlock()
	if f != nil && x.state.Load() != ended {
		f(half)
	}
}

// Reply gives a whole answer.
func (x *Exchange) Reply(status int, fields []Field, body []byte) error {
	if !x.state.CompareAndSwap(fresh, ended) {
		return ErrExchangeEnded
	}
	x.close = x.closes()
	err := x.write(appendReply(make([]byte, 0, 256+len(body)), status, fields, body, x.close, x.Method == "HEAD"))
	x.finish(err)
	return err
}

// Begin starts a streamed answer; its length is not known.
func (x *Exchange) Begin(status int, fields []Field) error {
	if !x.state.CompareAndSwap(fresh, begun) {
		return ErrExchangeEnded
	}
	x.close = x.closes() || x.Minor == 0 // HTTP/1.0 has no chunks: the end is the end of the connection
	b := appendStatus(make([]byte, 0, 256), status)
	b = appendHeader(b, fields)
	if x.Minor == 1 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return x.write(append(appendClose(b, x.close), "\r\n"...))
}

// scratch holds buffers for chunks; an event is framed and written in one go.
var scratch = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// Write sends a part of a streamed answer at once, as one chunk.
func (x *Exchange) Write(p []byte) (int, error) {
	if x.state.Load() != begun {
		return 0, ErrExchangeEnded
	}
	if len(p) == 0 {
		return 0, nil
	}
	if x.Minor == 0 {
		return len(p), x.write(p)
	}
	buf := scratch.Get().(*[]byte)
	b := strconv.AppendInt((*buf)[:0], int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	b = append(b, "\r\n"...)
	err := x.write(b)
	if cap(b) <= 64<<10 {
		*buf = b
		scratch.Put(buf)
	}
	return len(p), err
}

// End closes a streamed answer in good order.
func (x *Exchange) End() error {
	if !x.state.CompareAndSwap(begun, ended) {
		return ErrExchangeEnded
	}
	var err error
	if x.Minor == 1 {
		err = x.write([]byte("0\r\n\r\n"))
	}
	x.finish(err)
	return err
}

// AbortBody ends a streamed answer that is not whole: its connection ends without the last chunk. What has been written still
// arrives, for the connection is shut down and read on for a moment before it closes.
func (x *Exchange) AbortBody() {
	if !x.state.CompareAndSwap(begun, ended) {
		return
	}
	x.close = true
	x.finish(nil)
}

// Abort ends the exchange by closing the connection, whatever had been sent.
func (x *Exchange) Abort() {
	if was := x.state.Swap(ended); was != ended {
		x.unanswered = was == fresh
		x.finish(errors.New("cut"))
	}
}

// ClientDisconnected looks whether the client has closed its connection, or its side of it, behind whatever it has sent.
func (x *Exchange) ClientDisconnected() bool {
	left, _ := hasLeft(x.c.nc)
	return left
}

// Begun tells whether a byte of the answer may have left.
func (x *Exchange) Begun() bool { return x.state.Load() != fresh }

func (x *Exchange) closes() bool { return x.Request.close || x.c.srv.closing() }

func (x *Exchange) write(b []byte) error {
	x.c.nc.SetWriteDeadline(time.Now().Add(x.c.srv.Timeouts.Write))
	_, err := x.c.nc.Write(b)
	return err
}

// finish wakes the connection's goroutine out of its read. The deadline is set before done closes, so that it
// cannot strike the next request, and waking tells watch what the deadline means.
func (x *Exchange) finish(err error) {
	if err != nil {
		x.close = true
		x.c.nc.Close()
	}
	x.waking.Store(true)
	x.c.nc.SetReadDeadline(time.Unix(1, 0))
	close(x.done)
}

// last tells whether the connection ends with this answer. Call it after done.
func (x *Exchange) last() bool { return x.close }
