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

// AttemptControl cancels an attempt from outside, whatever the attempt waits for. It holds the attempt's connection, and the cause for
// which it was canceled. Its methods may be called from any goroutine.
type AttemptControl struct {
	mu             sync.Mutex
	conn           *http1.ClientConn
	cancelDial     context.CancelFunc // cancels the dial that runs; nil = none runs
	canceled       bool
	requestWritten bool // the first byte is about to be written, or was
	clientStreams  bool // the response streams to the client
	cause          outcome.Cause
}

// cutoffReadOn is for how long a stream that the node cuts off still forwards what its engine has sent: a stream whose end has arrived
// is complete.
const cutoffReadOn = 20 * time.Millisecond

// Dial makes a connection with the function given. Its context ends when the attempt is canceled.
func (control *AttemptControl) Dial(get func(ctx context.Context) (*http1.ClientConn, error)) (*http1.ClientConn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control.mu.Lock()
	control.cancelDial = cancel
	if control.canceled {
		cancel()
	}
	control.mu.Unlock()
	c, err := get(ctx)
	control.mu.Lock()
	control.cancelDial = nil
	control.mu.Unlock()
	return c, err
}

// StreamingBegan records that the response streams to the client from now on.
func (control *AttemptControl) StreamingBegan() {
	control.mu.Lock()
	control.clientStreams = true
	control.mu.Unlock()
}

// Cancel ends the attempt for the cause given by closing its connection; an attempt without a connection ends at once. A stream that
// the node cuts off still forwards what has arrived.
func (control *AttemptControl) Cancel(cause outcome.Cause) {
	control.mu.Lock()
	defer control.mu.Unlock()
	if control.canceled {
		return
	}
	control.canceled, control.cause = true, cause
	if control.cancelDial != nil {
		control.cancelDial()
	}
	switch {
	case control.conn == nil:
	case control.clientStreams && cause == outcome.RequestEnded:
		control.conn.ReadOnFor(cutoffReadOn)
	default:
		control.conn.Discard()
	}
}

// Delivered tells whether the request has reached its engine, as far as can be seen: one that waits for a connection, or in the kernel's
// send buffer, has not.
func (control *AttemptControl) Delivered() bool {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.requestWritten && (control.conn == nil || control.conn.Delivered())
}

// CancelIfUnsent ends the attempt if no byte of it has been written.
func (control *AttemptControl) CancelIfUnsent() {
	control.mu.Lock()
	defer control.mu.Unlock()
	if control.requestWritten || control.canceled {
		return
	}
	control.canceled, control.cause = true, outcome.RequestEnded
	if control.cancelDial != nil {
		control.cancelDial()
	}
}

// Attach gives the connection to Cancel and records that the request is about to be written; false = the attempt was canceled.
func (control *AttemptControl) Attach(conn *http1.ClientConn) bool {
	control.mu.Lock()
	defer control.mu.Unlock()
	control.conn, control.requestWritten = conn, !control.canceled
	return !control.canceled
}

// Detach takes the connection back, so that a late Cancel cannot close one that another attempt uses.
func (control *AttemptControl) Detach() {
	control.mu.Lock()
	control.conn = nil
	control.mu.Unlock()
}

// Canceled returns whether the attempt was canceled, and the cause.
func (control *AttemptControl) Canceled() (outcome.Cause, bool) {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.cause, control.canceled
}

// CauseOf returns the cause of an error: the cancellation, the deadline (the cause timeout), a malformed message, or the connection.
func (control *AttemptControl) CauseOf(err error, timeout outcome.Cause) outcome.Cause {
	if cause, ok := control.Canceled(); ok {
		return cause
	}
	var malformed *http1.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded): // ETIMEDOUT is an error of the connection
		return timeout
	case errors.As(err, &malformed), errors.Is(err, http1.ErrEventTooLong):
		return outcome.MalformedResponse
	}
	return outcome.ConnectionBroken
}

// RefusesWrite asks internal/decide/permit, in the last moment before the first byte is written, whether the attempt may be written. Where
// it may not, the attempt ends as never sent, the result has the reason, and RefusesWrite returns true.
func (control *AttemptControl) RefusesWrite(write permit.Write, result *Result) bool {
	_, write.AttemptCanceled = control.Canceled()
	reason := write.Reason()
	if reason == permit.Allowed {
		return false
	}
	control.CancelIfUnsent()
	result.Evidence.Cause, _ = control.Canceled()
	if reason == permit.ClientDisconnected {
		result.Evidence.Cause = outcome.ClientDisconnected
	}
	result.Err = errors.New(string(reason))
	return true
}

// TimeUntil returns the seconds left until a time, and whether there is such a time (it is not zero).
func TimeUntil(by time.Time) (left float64, bound bool) {
	if by.IsZero() {
		return 0, false
	}
	return time.Until(by).Seconds(), true
}

// Message is the request that an engine is sent.
type Message struct {
	Method string
	Target string
	Fields []http1.Field
	Body   []byte
}

// Exchange writes a request on a connection and reads the head of the response, both by the time given. It returns nil where the attempt
// ended before: the result says how far it came and why, and the connection is closed.
func (control *AttemptControl) Exchange(conn *http1.ClientConn, deadline time.Time, m Message, result *Result) *http1.Response {
	result.Evidence.Progress = outcome.Connected
	if !control.Attach(conn) {
		conn.Close()
		result.Evidence.Cause, _ = control.Canceled()
		return nil
	}
	conn.SetDeadline(deadline)
	result.FirstByteAt = time.Now()
	sent, all, err := conn.Send(m.Method, m.Target, m.Fields, m.Body)
	if sent == all {
		result.Evidence.Progress = outcome.RequestWritten
	}
	var resp *http1.Response
	if err == nil {
		resp, err = conn.ReadResponse()
	}
	if err != nil {
		result.Err, result.Evidence.Cause = err, control.CauseOf(err, outcome.AttemptTimedOut)
		control.Detach()
		conn.Discard()
		return nil
	}
	result.Evidence.Progress = outcome.HeaderReceived
	return resp
}
