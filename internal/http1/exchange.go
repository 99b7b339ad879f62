package http1

import (
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Exchange is one request and its response. A complete response is written by Reply, a streamed one by Begin, Write and End; AbortBody
// and Abort end the exchange early. Only one goroutine at a time may call these methods. The client may disconnect at any time.
type Exchange struct {
	*Request
	Arrived   time.Time // when its first byte was read, possibly before the responses to earlier requests
	conn      *conn
	done      chan struct{}
	phase     atomic.Int32 // phaseNotBegun, phaseBegun or phaseEnded
	close     bool         // the connection closes after the response; set by the writer of the response, read after done closes
	finishing atomic.Bool  // the response has ended; done is about to close
	// unanswered means that the exchange was aborted before its response began. It is read after done closes.
	unanswered bool

	mu           sync.Mutex
	onDisconnect func(half bool)
	disconnected bool
	halfClosed   bool
}

const (
	phaseNotBegun int32 = iota
	phaseBegun
	phaseEnded
)

// errAborted makes finish close the connection of an aborted exchange.
var errAborted = errors.New("http1: exchange aborted")

// ErrExchangeEnded is returned for a write that the state of the response does not allow, usually because the response has ended.
var ErrExchangeEnded = errors.New("http1: the exchange has ended")

// OnDisconnect sets the function that is called once if the client disconnects before the response has ended. If the client has already
// disconnected, it is called immediately. half means that the client closed only its sending side and may still be reading.
func (x *Exchange) OnDisconnect(f func(half bool)) {
	x.mu.Lock()
	x.onDisconnect = f
	disconnected, half := x.disconnected, x.halfClosed
	x.mu.Unlock()
	if disconnected {
		f(half)
	}
}

// disconnectSeen reports whether a disconnect of the client was detected.
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
	if !x.phase.CompareAndSwap(phaseNotBegun, phaseEnded) {
		return ErrExchangeEnded
	}
	x.close = x.mustClose()
	err := x.write(appendReply(make([]byte, 0, 256+len(body)), status, fields, body, x.close, x.Method == "HEAD"))
	x.finish(err)
	return err
}

// Begin starts a streamed response, whose length is not known in advance.
func (x *Exchange) Begin(status int, fields []Field) error {
	if !x.phase.CompareAndSwap(phaseNotBegun, phaseBegun) {
		return ErrExchangeEnded
	}
	x.close = x.mustClose() || x.Minor == 0 // HTTP/1.0 has no chunked coding: the close of the connection delimits the body
	b := appendStatus(make([]byte, 0, 256), status)
	b = appendHeader(b, fields)
	if x.Minor == 1 {
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
	}
	return x.write(append(appendClose(b, x.close), "\r\n"...))
}

// chunkBuffers holds buffers in which a chunk and its framing are assembled, so that one write sends both.
var chunkBuffers = sync.Pool{New: func() any { b := make([]byte, 0, 1<<10); return &b }}

// Write sends a part of a streamed response immediately, as one chunk.
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
	buf := chunkBuffers.Get().(*[]byte)
	b := strconv.AppendInt((*buf)[:0], int64(len(p)), 16)
	b = append(b, "\r\n"...)
	b = append(b, p...)
	b = append(b, "\r\n"...)
	err := x.write(b)
	if cap(b) <= 64<<10 {
		*buf = b
		chunkBuffers.Put(buf)
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

// AbortBody ends an incomplete streamed response: its connection closes without the last chunk. Bytes that were written still reach the
// client, because only the sending side is closed at first and the connection is read for a short time after that (see linger).
func (x *Exchange) AbortBody() {
	if !x.phase.CompareAndSwap(phaseBegun, phaseEnded) {
		return
	}
	x.close = true
	x.finish(nil)
}

// Abort ends the exchange by closing the connection, whether or not a part of the response was sent.
func (x *Exchange) Abort() {
	if previous := x.phase.Swap(phaseEnded); previous != phaseEnded {
		x.unanswered = previous == phaseNotBegun
		x.finish(errAborted)
	}
}

// ClientDisconnected reports whether the client has closed its connection or its sending side, even if bytes that it sent are unread.
func (x *Exchange) ClientDisconnected() bool {
	closed, _ := peerClosed(x.conn.netConn)
	return closed
}

// Begun reports whether a byte of the response may have been sent.
func (x *Exchange) Begun() bool { return x.phase.Load() != phaseNotBegun }

func (x *Exchange) mustClose() bool {
	return x.Request.closesConnection || x.conn.server.closesConnections()
}

func (x *Exchange) write(b []byte) error {
	x.conn.netConn.SetWriteDeadline(time.Now().Add(x.conn.server.Timeouts.Write))
	_, err := x.conn.netConn.Write(b)
	return err
}

// finish closes done, and closes the connection if err is not nil. To unblock a read of the connection's goroutine, it sets a read deadline
// in the past. The deadline is set before done closes, so that it cannot affect the next request. watchDisconnect
// recognizes this deadline by the flag finishing.
func (x *Exchange) finish(err error) {
	if err != nil {
		x.close = true
		x.conn.netConn.Close()
	}
	x.finishing.Store(true)
	x.conn.netConn.SetReadDeadline(time.Unix(1, 0))
	close(x.done)
}

// closesConnection reports whether the connection closes after this response. It must be called after done has closed.
func (x *Exchange) closesConnection() bool { return x.close }
