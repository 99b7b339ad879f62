package http1

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Exchange is one request and its response. Reply, or Begin, Write and End, or AbortBody or Abort are called by one goroutine at a
// time; the client may disconnect at any moment.
type Exchange struct {
	*Request
	Arrived   time.Time // when its first byte was read, although earlier requests were answered first
	conn      *conn
	done      chan struct{}
	phase     atomic.Int32 // one of the phases below
	close     bool         // the connection closes after the response; set by the response, read after done
	finishing atomic.Bool  // the response has ended; done is about to close
	// unanswered tells that the exchange was aborted before its response began; it is read after done.
	unanswered bool

	mu           sync.Mutex
	onDisconnect func(half bool)
	disconnected bool
	halfClosed   bool
}

const (
	phaseFresh int32 = iota
	phaseBegun
	phaseEnded
)

// errAborted closes the connection of an aborted exchange.
var errAborted = errors.New("http1: exchange aborted")

// ErrExchangeEnded is returned where the exchange has had its response already.
var ErrExchangeEnded = errors.New("http1: the exchange has ended")

// OnDisconnect sets the function that is called, once, when the client disconnects before the response has ended; at once if it has
// disconnected. half tells that the client closed only its sending side, so that it may still be reading.
func (x *Exchange) OnDisconnect(f func(half bool)) {
	x.mu.Lock()
	x.onDisconnect = f
	hung, half := x.disconnected, x.halfClosed
	x.mu.Unlock()
	if hung {
		f(half)
	}
}

// disconnectSeen tells whether the client was seen to disconnect.
func (x *Exchange) disconnectSeen() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.disconnected
}

func (x *Exchange) clientDisconnected(half bool) {
	x.mu.Lock()
	x.disconnected, x.halfClosed = true, half
	f := x.onDisconnect
	x.mu.Unlock()
	if f != nil && x.phase.Load() != phaseEnded {
		f(half)
	}
}

// Reply writes a complete response.
func (x *Exchange) Reply(status int, fields []Field, body []byte) error {
	if !x.phase.CompareAndSwap(phaseFresh, phaseEnded) {
		return ErrExchangeEnded
	}
	x.close = x.closes()
	err := x.write(appendReply(make([]byte, 0, 256+len(body)), status, fields, body, x.close, x.Method == "HEAD"))
	x.finish(err)
	return err
}

// Begin starts a streamed response, whose length is not known.
func (x *Exchange) Begin(status int, fields []Field) error {
	if !x.phase.CompareAndSwap(phaseFresh, phaseBegun) {
		return ErrExchangeEnded
	}
	x.close = x.closes() || x.Minor == 0 // HTTP/1.0 has no chunks: the end of the connection delimits the body
	b := appendStatus(make([]byte, 0, 256), status)
	b = appendHeader(b, fields)
	if x.Minor == 1 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return x.write(append(appendClose(b, x.close), "\r\n"...))
}

// scratch holds buffers for chunks: an event is framed and written in one write.
var scratch = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// Write sends a part of a streamed response at once, as one chunk.
func (x *Exchange) Write(p []byte) (int, error) {
	if x.phase.Load() != phaseBegun {
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

// End completes a streamed response.
func (x *Exchange) End() error {
	if !x.phase.CompareAndSwap(phaseBegun, phaseEnded) {
		return ErrExchangeEnded
	}
	var err error
	if x.Minor == 1 {
		err = x.write([]byte("0\r\n\r\n"))
	}
	x.finish(err)
	return err
}

// AbortBody ends a streamed response that is not complete: its connection closes without the last chunk. What was written still
// arrives, since the connection is shut down and read on for a moment before it closes.
func (x *Exchange) AbortBody() {
	if !x.phase.CompareAndSwap(phaseBegun, phaseEnded) {
		return
	}
	x.close = true
	x.finish(nil)
}

// Abort ends the exchange by closing the connection, whatever was sent.
func (x *Exchange) Abort() {
	if was := x.phase.Swap(phaseEnded); was != phaseEnded {
		x.unanswered = was == phaseFresh
		x.finish(errAborted)
	}
}

// ClientDisconnected tells whether the client has closed its connection, or its sending side, behind whatever it has sent.
func (x *Exchange) ClientDisconnected() bool {
	left, _ := peerClosed(x.conn.netConn)
	return left
}

// Begun tells whether a byte of the response may have been sent.
func (x *Exchange) Begun() bool { return x.phase.Load() != phaseFresh }

func (x *Exchange) closes() bool {
	return x.Request.closesConnection || x.conn.server.closesConnections()
}

func (x *Exchange) write(b []byte) error {
	x.conn.netConn.SetWriteDeadline(time.Now().Add(x.conn.server.Timeouts.Write))
	_, err := x.conn.netConn.Write(b)
	return err
}

// finish wakes the connection's goroutine from its read. The deadline is set before done closes, so that it cannot affect the next
// request; finishing tells watchDisconnect what the deadline means.
func (x *Exchange) finish(err error) {
	if err != nil {
		x.close = true
		x.conn.netConn.Close()
	}
	x.finishing.Store(true)
	x.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	close(x.done)
}

// closesConnection tells whether the connection closes after this response. Call it after done.
func (x *Exchange) closesConnection() bool { return x.close }
