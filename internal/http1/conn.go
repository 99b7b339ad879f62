package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// conn is one client connection. Its goroutine owns the fields above mu, but for those that are atomic; whoever ends the present
// exchange writes to netConn.
type conn struct {
	server          *Server
	netConn         net.Conn
	ahead           *readAhead
	buffered        *bufio.Reader            // reads from ahead
	requestBegan    atomic.Bool              // the first byte of a request was read
	exchange        atomic.Pointer[Exchange] // the latest one, which Close must not wait for
	requestDeadline time.Time                // of the whole present request; zero = none
	closed          ConnClosed               // what OnClose is told

	// mu is held while another goroutine checks that the connection is idle and sets its deadline: a request that begins meanwhile
	// waits for that and then sets deadlines of its own.
	mu        sync.Mutex
	idle      bool  // between requests
	idleSince int64 // nanoseconds since the process start (sinceStart)
	evicted   bool  // it is closed so that another one can be served
}

// readBuffer is the size of a connection's read buffer in bytes. It is small, since thousands of connections may be idle.
const readBuffer = 1 << 10

// serve reads requests one after another; each is answered before the next is parsed, so that pipelined requests are answered in
// order (RFC 9112, section 9.3.2).
func (c *conn) serve() {
	server := c.server
	c.buffered = bufio.NewReaderSize(c.ahead, readBuffer)
	wait := orElse(server.Timeouts.First, server.Timeouts.Head) // the idle timeout begins with the first request
	for {
		c.becomeIdle(wait)
		if _, err := c.buffered.Peek(1); err != nil && !c.arrivedAtDeadline(err) {
			c.closeIdle(err)
			return
		}
		c.becomeBusy()
		arrived, begun := c.ahead.nextArrivedAt(c.buffered.Buffered()), time.Now()
		c.requestDeadline = time.Time{}
		if server.Timeouts.Whole > 0 {
			c.requestDeadline = begun.Add(server.Timeouts.Whole)
		}
		c.readBy(begun.Add(server.Timeouts.Head))
		request, err := ReadRequest(c.buffered, server.Limits)
		if err == nil {
			err = c.readBody(request)
		}
		if err != nil {
			c.rejectRequest(err)
			return
		}
		c.closed.Requests++
		exchange := &Exchange{Request: request, Arrived: arrived, conn: c, done: make(chan struct{})}
		c.exchange.Store(exchange)
		c.netConn.SetReadDeadline(time.Time{})
		size := int64(len(request.Body)) // the handler may set Body to nil
		server.Handler.Serve(exchange)
		disconnected := c.watchDisconnect(exchange)
		server.heldBytes.Add(-size)
		if disconnected || exchange.closesConnection() {
			c.closed.Reason = FinalResponse
			if disconnected || exchange.disconnectSeen() {
				c.closed.Reason = ClientDisconnected
			}
			c.closed.Unanswered = exchange.unanswered && c.closed.Reason != ClientDisconnected
			c.linger(disconnected)
			return
		}
		wait = server.Timeouts.Idle
	}
}

// readBy sets the read deadline of a request: the time given, or the deadline of the whole request if that is earlier.
func (c *conn) readBy(at time.Time) {
	if !c.requestDeadline.IsZero() && c.requestDeadline.Before(at) {
		at = c.requestDeadline
	}
	c.netConn.SetReadDeadline(at)
}

// readBody reads the request's body, within the bytes that all connections together may hold (Server.MaxBytes).
func (c *conn) readBody(request *Request) error {
	server := c.server
	if request.expectsContinue {
		c.netConn.SetWriteDeadline(time.Now().Add(server.Timeouts.Write))
		if _, err := io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if !request.frame.chunked && request.frame.length <= 0 {
		return nil
	}
	reserve := request.frame.length
	if request.frame.chunked {
		reserve = server.Limits.Body // the largest size that it may have
	}
	if total := server.heldBytes.Add(reserve); server.MaxBytes > 0 && total > server.MaxBytes {
		server.heldBytes.Add(-reserve)
		return &Error{503, "too many bytes of requests are held"}
	}
	c.readBy(time.Now().Add(server.Timeouts.Body))
	err := request.ReadBody(c.buffered, server.Limits)
	if err != nil {
		server.heldBytes.Add(-reserve)
		return err
	}
	server.heldBytes.Add(int64(len(request.Body)) - reserve)
	return nil
}

// rejectRequest answers a request that could not be read.
func (c *conn) rejectRequest(err error) {
	var e *Error
	switch {
	case errors.As(err, &e):
		c.setCloseReason(MalformedRequest)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.setCloseReason(IncompleteRequest)
		e = &Error{408, "the request did not arrive in time"}
	default:
		c.setCloseReason(IncompleteRequest)
		return
	}
	c.netConn.SetWriteDeadline(time.Now().Add(c.server.Timeouts.Write))
	c.writeError(e)
	c.linger(false)
}

// setCloseReason records why the connection ends; the first reason stands.
func (c *conn) setCloseReason(reason CloseReason) {
	if c.closed.Reason == "" {
		c.closed.Reason = reason
	}
}

// writeError writes the response to a request that could not be read; the connection closes after it.
func (c *conn) writeError(e *Error) {
	fields, body := []Field{{"Content-Type", "text/plain; charset=utf-8"}}, []byte(e.Reason+"\n")
	if c.server.ErrorBody != nil {
		fields, body = c.server.ErrorBody(e.Status, e.Reason)
	}
	c.netConn.Write(appendReply(nil, e.Status, fields, body, true, false))
}

// lingerBytes bounds what is read of a closing connection, in bytes.
const lingerBytes = 256 << 10

// linger closes the sending side and reads on for a moment, so that the response is not lost to a reset, which unread bytes would
// cause (RFC 9112, section 9.6).
func (c *conn) linger(disconnected bool) {
	if tc, ok := c.netConn.(interface{ CloseWrite() error }); ok && !disconnected {
		tc.CloseWrite()
		c.netConn.SetReadDeadline(time.Now().Add(orElse(c.server.Timeouts.Linger, defaultLinger)))
		io.CopyN(io.Discard, c.netConn, lingerBytes)
	}
}
