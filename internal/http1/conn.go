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

// conn is one client connection. Its goroutine owns the non-atomic fields above mu; the goroutine that ends the current exchange writes
// to netConn.
type conn struct {
	server          *Server
	netConn         net.Conn
	ahead           *readAhead
	buffered        *bufio.Reader            // reads from ahead
	requestBegan    atomic.Bool              // the first byte of a request was read
	exchange        atomic.Pointer[Exchange] // the latest one; Server.Close aborts it instead of waiting for it
	requestDeadline time.Time                // for head and body of the current request; zero = none
	closed          ConnClosed               // passed to OnClose

	// mu is held while another goroutine checks that the connection is idle and sets its deadline. A request that begins at the same
	// time waits for mu and then overwrites that deadline with its own.
	mu        sync.Mutex
	idle      bool  // between requests
	idleSince int64 // nanoseconds since the process start (sinceStart)
	evicted   bool  // closed to make a connection available to another client
}

// readBufferSize is the size of a connection's read buffer in bytes. It is small, since thousands of connections may be idle.
const readBufferSize = 1 << 10

// serve reads and handles requests in sequence. The response to each is complete before the next request is parsed, so that pipelined
// requests are answered in order (RFC 9112, section 9.3.2).
func (c *conn) serve() {
	server := c.server
	c.buffered = bufio.NewReaderSize(c.ahead, readBufferSize)
	wait := orElse(server.Timeouts.First, server.Timeouts.Head) // the idle timeout applies after the first request
	for {
		if !c.rejectSkimmed() {
			return
		}
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
		c.setReadDeadline(begun.Add(server.Timeouts.Head))
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

// setReadDeadline sets the read deadline to the earlier of deadline and requestDeadline.
func (c *conn) setReadDeadline(deadline time.Time) {
	if !c.requestDeadline.IsZero() && c.requestDeadline.Before(deadline) {
		deadline = c.requestDeadline
	}
	c.netConn.SetReadDeadline(deadline)
}

// readBody reads the request's body. It rejects the request if the bodies of all connections together would exceed Server.MaxBytes.
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
		reserve = server.Limits.Body // a chunked body may have any size up to this limit
	}
	if total := server.heldBytes.Add(reserve); server.MaxBytes > 0 && total > server.MaxBytes {
		server.heldBytes.Add(-reserve)
		return &Error{503, "too many bytes of requests are held"}
	}
	c.setReadDeadline(time.Now().Add(server.Timeouts.Body))
	err := request.ReadBody(c.buffered, server.Limits)
	if err != nil {
		server.heldBytes.Add(-reserve)
		return err
	}
	server.heldBytes.Add(int64(len(request.Body)) - reserve)
	return nil
}

// rejectRequest responds to a request that could not be read. It sends nothing if the connection has failed.
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

// setCloseReason records why the connection ends, unless a reason is already set.
func (c *conn) setCloseReason(reason CloseReason) {
	if c.closed.Reason == "" {
		c.closed.Reason = reason
	}
}

// writeError writes the response to a request that could not be read; the connection closes after it.
func (c *conn) writeError(e *Error) { c.netConn.Write(c.errorResponse(e, true)) }

// errorResponse returns the response to a request that is rejected before it reaches the handler.
func (c *conn) errorResponse(e *Error, closes bool) []byte {
	fields, body := []Field{{"Content-Type", "text/plain; charset=utf-8"}}, []byte(e.Reason+"\n")
	if c.server.ErrorBody != nil {
		fields, body = c.server.ErrorBody(e.Status, e.Reason)
	}
	return appendReply(nil, e.Status, fields, body, closes, false)
}

// maxLingerBytes is the maximum number of bytes read from a closing connection.
const maxLingerBytes = 256 << 10

// linger closes the sending side and continues to read for Timeouts.Linger. Without it, bytes that are unread when the connection closes
// would cause a reset, and the client could lose the response (RFC 9112, section 9.6). It does nothing if the client has disconnected.
func (c *conn) linger(disconnected bool) {
	if tc, ok := c.netConn.(interface{ CloseWrite() error }); ok && !disconnected {
		tc.CloseWrite()
		c.netConn.SetReadDeadline(time.Now().Add(orElse(c.server.Timeouts.Linger, defaultLinger)))
		io.CopyN(io.Discard, c.netConn, maxLingerBytes)
	}
}
