package protocol

import (
	"errors"
	"net"
	"sync"
	"time"

	"dillroute/internal/decide/ending"
	"dillroute/internal/http1"
)

// Hold is the part of an attempt by which it can be ended from outside, whatever it waits for: the connection that it has,
// and why it was ended. Its methods may be called from any goroutine.
type Hold struct {
	mu      sync.Mutex
	conn    *http1.ClientConn
	aborted bool
	written bool // the request is being written, or was
	cause   ending.Cause
}

// Abort ends the attempt, for the cause given, by closing its connection; one without a connection ends as soon as it has
// one.
func (h *Hold) Abort(cause ending.Cause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.aborted {
		h.aborted, h.cause = true, cause
		if h.conn != nil {
			h.conn.Close()
		}
	}
}

// Withdraw ends the attempt if no byte of it has been written.
func (h *Hold) Withdraw() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.written && !h.aborted {
		h.aborted, h.cause = true, ending.Overtaken
	}
}

// Attach gives the connection to Abort, and says that the request is about to be written; false = too late.
func (h *Hold) Attach(c *http1.ClientConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn, h.written = c, !h.aborted
	return !h.aborted
}

// Detach takes the connection back, so that a late Abort cannot close one that others use.
func (h *Hold) Detach() {
	h.mu.Lock()
	h.conn = nil
	h.mu.Unlock()
}

// Stopped tells whether the attempt was ended, and why.
func (h *Hold) Stopped() (ending.Cause, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cause, h.aborted
}

// Failed names the cause of an error: the abort that made it, the time (as timeout says), what could not be read, or the
// peer.
func (h *Hold) Failed(err error, timeout ending.Cause) ending.Cause {
	if cause, ok := h.Stopped(); ok {
		return cause
	}
	var t net.Error
	var malformed *http1.Error
	switch {
	case errors.As(err, &t) && t.Timeout():
		return timeout
	case errors.As(err, &malformed), errors.Is(err, http1.ErrEventTooLong):
		return ending.Unreadable
	}
	return ending.Broken
}

// Exchange writes a request on a connection and reads the head of its answer, all by the time given. nil = it ended before
// that: r says how far it came and why, and the connection is closed.
func (h *Hold) Exchange(c *http1.ClientConn, until time.Time, method, target string, fields []http1.Field, body []byte, r *Result) *http1.Response {
	r.Facts.Progress = ending.Connected
	if !h.Attach(c) {
		c.Close()
		r.Facts.Cause, _ = h.Stopped()
		return nil
	}
	c.SetDeadline(until)
	sent, all, err := c.Send(method, target, fields, body)
	if sent == all {
		r.Facts.Progress = ending.Written
	}
	var resp *http1.Response
	if err == nil {
		resp, err = c.ReadResponse()
	}
	if err != nil {
		r.Err, r.Facts.Cause = err, h.Failed(err, ending.Expired)
		h.Detach()
		c.Close()
		return nil
	}
	r.Facts.Progress = ending.Headed
	return resp
}
