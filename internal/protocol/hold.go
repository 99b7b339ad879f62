package protocol

import (
	"context"
	"errors"
	"os"
	"sync"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
)

// AttemptControl is the part of an attempt by which it can be ended from outside, whatever it waits for: the connection that it has,
// and why it was ended. Its methods may be called from any goroutine.
type AttemptControl struct {
	mu        sync.Mutex
	conn      *http1.ClientConn
	dialing   context.CancelFunc // ends the making of a connection; nil = none is being made
	aborted   bool
	written   bool // the request is being written, or was
	streaming bool // the client gets what comes
	cause     outcome.Cause
}

// finishWithin is for how long a stream that is called off for the node's own reasons passes on what its engine has sent
// already: a stream whose end has come is whole.
const finishWithin = 20 * time.Millisecond

// Dial has a connection made by the function given, whose context ends when the attempt is called off: nothing needs to wait
// for a connection that would carry nothing.
func (h *AttemptControl) Dial(get func(ctx context.Context) (*http1.ClientConn, error)) (*http1.ClientConn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h.mu.Lock()
	h.dialing = cancel
	if h.aborted {
		cancel()
	}
	h.mu.Unlock()
	c, err := get(ctx)
	h.mu.Lock()
	h.dialing = nil
	h.mu.Unlock()
	return c, err
}

// StreamingBegan notes that the client gets what comes from now on.
func (h *AttemptControl) StreamingBegan() {
	h.mu.Lock()
	h.streaming = true
	h.mu.Unlock()
}

// Cancel ends the attempt, for the cause given, by closing its connection; one without a connection ends at once. A stream
// that is ended by the node passes on what has come already.
func (h *AttemptControl) Cancel(cause outcome.Cause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.aborted {
		return
	}
	h.aborted, h.cause = true, cause
	if h.dialing != nil {
		h.dialing()
	}
	switch {
	case h.conn == nil:
	case h.streaming && cause == outcome.RequestEnded:
		h.conn.ReadOnFor(finishWithin)
	default:
		h.conn.Discard()
	}
}

// Delivered tells whether the request has reached its engine, as far as can be seen: what waits for a connection, or in the kernel for a
// peer that takes no more, has not.
func (h *AttemptControl) Delivered() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.written && (h.conn == nil || h.conn.Delivered())
}

// CancelIfUnsent ends the attempt if no byte of it has been written.
func (h *AttemptControl) CancelIfUnsent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.written || h.aborted {
		return
	}
	h.aborted, h.cause = true, outcome.RequestEnded
	if h.dialing != nil {
		h.dialing()
	}
}

// Attach gives the connection to Abort, and says that the request is about to be written; false = too late.
func (h *AttemptControl) Attach(c *http1.ClientConn) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn, h.written = c, !h.aborted
	return !h.aborted
}

// Detach takes the connection back, so that a late Abort cannot close one that others use.
func (h *AttemptControl) Detach() {
	h.mu.Lock()
	h.conn = nil
	h.mu.Unlock()
}

// Canceled tells whether the attempt was ended, and why.
func (h *AttemptControl) Canceled() (outcome.Cause, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cause, h.aborted
}

// CauseOf names the cause of an error: the abort that made it, the time (as timeout says), what could not be read, or the
// peer.
func (h *AttemptControl) CauseOf(err error, timeout outcome.Cause) outcome.Cause {
	if cause, ok := h.Canceled(); ok {
		return cause
	}
	var malformed *http1.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded): // not ETIMEDOUT, which is the peer's
		return timeout
	case errors.As(err, &malformed), errors.Is(err, http1.ErrEventTooLong):
		return outcome.MalformedResponse
	}
	return outcome.ConnectionBroken
}

// RefusesWrite asks, in the last moment before a byte of an attempt is written, whether it may be. Where it may not, the attempt ends as one
// that was never sent, r says why, and Objects is true.
func (h *AttemptControl) RefusesWrite(ask permit.Write, r *Result) bool {
	_, ask.AttemptCanceled = h.Canceled()
	why := ask.Reason()
	if why == permit.Allowed {
		return false
	}
	h.CancelIfUnsent()
	r.Evidence.Cause, _ = h.Canceled()
	if why == permit.ClientDisconnected {
		r.Evidence.Cause = outcome.ClientDisconnected
	}
	r.Err = errors.New(string(why))
	return true
}

// TimeUntil is what is left until a time (s), and whether there is such a time.
func TimeUntil(by time.Time) (left float64, bound bool) {
	if by.IsZero() {
		return 0, false
	}
	return time.Until(by).Seconds(), true
}

// Exchange writes a request on a connection and reads the head of its answer, all by the time given. nil = it ended before
// that: r says how far it came and why, and the connection is closed.
func (h *AttemptControl) Exchange(c *http1.ClientConn, until time.Time, method, target string, fields []http1.Field, body []byte, r *Result) *http1.Response {
	r.Evidence.Progress = outcome.Connected
	if !h.Attach(c) {
		c.Close()
		r.Evidence.Cause, _ = h.Canceled()
		return nil
	}
	c.SetDeadline(until)
	r.FirstByteAt = time.Now()
	sent, all, err := c.Send(method, target, fields, body)
	if sent == all {
		r.Evidence.Progress = outcome.RequestWritten
	}
	var resp *http1.Response
	if err == nil {
		resp, err = c.ReadResponse()
	}
	if err != nil {
		r.Err, r.Evidence.Cause = err, h.CauseOf(err, outcome.AttemptTimedOut)
		h.Detach()
		c.Discard()
		return nil
	}
	r.Evidence.Progress = outcome.HeaderReceived
	return resp
}
