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

// conn is one client connection. br belongs to its goroutine; out to whoever ends the present exchange.
type conn struct {
	srv   *Server
	nc    net.Conn
	ahead *aheadReader
	br    *bufio.Reader            // of ahead
	said  atomic.Bool              // a request has begun to come
	x     atomic.Pointer[Exchange] // the latest, which Close must not wait for
	by    time.Time                // when the present request must have come whole; zero = not bounded
	end   ConnClosed               // of its goroutine

	// The lock is held while another goroutine looks whether the connection rests and has it end: a request that begins meanwhile waits
	// for that, and then sets the deadlines that are its own.
	mu        sync.Mutex
	idle      bool  // between requests
	rest      int64 // since when it is idle, as sinceStart has it
	makesRoom bool  // it is to end so that another one can be served
}

const readBuffer = 1 << 10 // small: thousands of connections wait with one each

// serve reads requests one after another; each is answered before the next is parsed, so that pipelined
// answers leave in order.
func (c *conn) serve() {
	s := c.srv
	c.br = bufio.NewReaderSize(c.ahead, readBuffer)
	wait := orElse(s.Timeouts.First, s.Timeouts.Head) // before the first request a connection gets no idle time
	for {
		c.rests(wait)
		if _, err := c.br.Peek(1); err != nil && !c.cameLate(err) {
			c.endIdle(err)
			return
		}
		c.busy()
		arrived, begun := c.ahead.cameAt(c.br.Buffered()), time.Now()
		c.by = time.Time{}
		if s.Timeouts.Whole > 0 {
			c.by = begun.Add(s.Timeouts.Whole)
		}
		c.readBy(begun.Add(s.Timeouts.Head))
		q, err := ReadRequest(c.br, s.Limits)
		if err == nil {
			err = c.body(q)
		}
		if err != nil {
			c.reject(err)
			return
		}
		c.end.Requests++
		x := &Exchange{Request: q, Arrived: arrived, c: c, done: make(chan struct{})}
		c.x.Store(x)
		c.nc.SetReadDeadline(time.Time{})
		size := int64(len(q.Body)) // the handler may take the body away
		s.Handler.Serve(x)
		gone := c.watch(x)
		s.held.Add(-size)
		if gone || x.last() {
			c.end.Reason = FinalResponse
			if gone || x.gone() {
				c.end.Reason = ClientDisconnected
			}
			c.end.Unanswered = x.unanswered && c.end.Reason != ClientDisconnected
			c.linger(gone)
			return
		}
		wait = s.Timeouts.Idle
	}
}

// readBy bounds the reads of a request: by the time given and, if it is bounded, by that of the whole request.
func (c *conn) readBy(at time.Time) {
	if !c.by.IsZero() && c.by.Before(at) {
		at = c.by
	}
	c.nc.SetReadDeadline(at)
}

// body reads the request's body, within the bytes that all connections together may hold.
func (c *conn) body(q *Request) error {
	s := c.srv
	if q.expects {
		c.nc.SetWriteDeadline(time.Now().Add(s.Timeouts.Write))
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if !q.frame.chunked && q.frame.length <= 0 {
		return nil
	}
	reserve := q.frame.length
	if q.frame.chunked {
		reserve = s.Limits.Body // what it may come to
	}
	if held := s.held.Add(reserve); s.MaxBytes > 0 && held > s.MaxBytes {
		s.held.Add(-reserve)
		return &Error{503, "too many bytes of requests are held"}
	}
	c.readBy(time.Now().Add(s.Timeouts.Body))
	err := q.ReadBody(c.br, s.Limits)
	if err != nil {
		s.held.Add(-reserve)
		return err
	}
	s.held.Add(int64(len(q.Body)) - reserve)
	return nil
}

// reject answers a request that could not be read.
func (c *conn) reject(err error) {
	var e *Error
	switch {
	case errors.As(err, &e):
		c.endedBy(MalformedRequest)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.endedBy(IncompleteRequest)
		e = &Error{408, "the request did not arrive in time"}
	default:
		c.endedBy(IncompleteRequest)
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.srv.Timeouts.Write))
	c.fault(e)
	c.linger(false)
}

// endedBy notes why the connection ends, unless that is known already.
func (c *conn) endedBy(why CloseReason) {
	if c.end.Reason == "" {
		c.end.Reason = why
	}
}

func (c *conn) fault(e *Error) {
	fields, body := []Field{{"Content-Type", "text/plain; charset=utf-8"}}, []byte(e.Reason+"\n")
	if c.srv.ErrorBody != nil {
		fields, body = c.srv.ErrorBody(e.Status, e.Reason)
	}
	c.nc.Write(appendReply(nil, e.Status, fields, body, true, false))
}

// linger closes the sending side and reads on for a moment, so that the answer is not lost to a reset that
// unread bytes would cause (RFC 9112, section 9.6).
func (c *conn) linger(gone bool) {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && !gone {
		tc.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(orElse(c.srv.Timeouts.Linger, lingerFor)))
		io.CopyN(io.Discard, c.nc, 256<<10)
	}
}
