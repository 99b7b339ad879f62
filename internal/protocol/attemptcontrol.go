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

// AttemptControl lets any goroutine cancel an attempt at any point: while it dials, writes or reads. It holds the attempt's connection
// and the cause of its cancellation. It is safe for concurrent use; the zero value is ready to use.
type AttemptControl struct {
	mu             sync.Mutex
	conn           *http1.ClientConn
	cancelDial     context.CancelFunc // cancels the dial in progress; nil = none
	canceled       bool
	requestWritten bool // the first byte is about to be written, or was
	prefillProcess bool // outcome.Evidence.PrefillProcess of the connection
	clientStreams  bool // the response is streaming to the client
	cause          outcome.Cause
}

// canceledStreamReadTime is the time for which a canceled stream still forwards what its engine has sent. If the end of the stream has
// already arrived, the response is thus complete.
const canceledStreamReadTime = 20 * time.Millisecond

// Dial returns a connection from dial, whose context ends when the attempt is canceled.
func (control *AttemptControl) Dial(dial func(ctx context.Context) (*http1.ClientConn, error)) (*http1.ClientConn, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	control.mu.Lock()
	control.cancelDial = cancel
	if control.canceled {
		cancel()
	}
	control.mu.Unlock()
	c, err := dial(ctx)
	control.mu.Lock()
	control.cancelDial = nil
	control.mu.Unlock()
	return c, err
}

// MarkStreaming records that the response is streaming to the client from now on.
func (control *AttemptControl) MarkStreaming() {
	control.mu.Lock()
	control.clientStreams = true
	control.mu.Unlock()
}

// Cancel ends the attempt for the given cause by closing its connection; an attempt without a connection ends immediately. A stream to the
// client that is canceled because its request has ended still forwards what has arrived. Calls after the first have no effect.
func (control *AttemptControl) Cancel(cause outcome.Cause) {
	control.mu.Lock()
	defer control.mu.Unlock()
	control.cancel(cause)
}

// CancelIfNotRun cancels the attempt only if its end will prove that the request has not run: its first byte has not been written, or the
// engine's process is a prefill engine. It reports whether the attempt is canceled.
func (control *AttemptControl) CancelIfNotRun(cause outcome.Cause) bool {
	control.mu.Lock()
	defer control.mu.Unlock()
	if control.requestWritten && !control.prefillProcess {
		return control.canceled
	}
	control.cancel(cause)
	return true
}

// cancel implements Cancel. The caller holds the lock.
func (control *AttemptControl) cancel(cause outcome.Cause) {
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
		control.conn.FinishWithin(canceledStreamReadTime)
	default:
		control.conn.Discard()
	}
}

// Delivered reports whether the request has reached its engine, as far as the node can tell: a request that waits for a connection, or
// is in the kernel's send buffer, has not.
func (control *AttemptControl) Delivered() bool {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.requestWritten && (control.conn == nil || control.conn.Delivered())
}

// CancelIfUnsent ends the attempt, unless its first byte is about to be written or was written.
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

// Attach sets the connection that Cancel closes, and records that the request is about to be written. It returns false if the attempt
// was canceled.
func (control *AttemptControl) Attach(conn *http1.ClientConn) bool {
	control.mu.Lock()
	defer control.mu.Unlock()
	control.conn, control.requestWritten = conn, !control.canceled
	control.prefillProcess = conn != nil && conn.CompletedPrefill
	return !control.canceled
}

// Detach removes the connection, so that a later Cancel cannot close it while another attempt uses it.
func (control *AttemptControl) Detach() {
	control.mu.Lock()
	control.conn = nil
	control.mu.Unlock()
}

// Canceled returns the cause of the cancellation, and whether the attempt was canceled.
func (control *AttemptControl) Canceled() (outcome.Cause, bool) {
	control.mu.Lock()
	defer control.mu.Unlock()
	return control.cause, control.canceled
}

// CauseOf returns the cause of an error. It is the cause of the cancellation if the attempt was canceled, the given cause timeout if the
// deadline passed, MalformedResponse for an invalid response, and otherwise ConnectionBroken.
func (control *AttemptControl) CauseOf(err error, timeout outcome.Cause) outcome.Cause {
	if cause, ok := control.Canceled(); ok {
		return cause
	}
	var malformed *http1.Error
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, context.DeadlineExceeded): // ETIMEDOUT is a broken connection
		return timeout
	case errors.As(err, &malformed), errors.Is(err, http1.ErrEventTooLong):
		return outcome.MalformedResponse
	}
	return outcome.ConnectionBroken
}

// CancelUnlessPermitted checks with internal/decide/permit, immediately before the first byte is written, whether the attempt may be
// written. If not, it ends the attempt as never sent, stores the reason in result and returns true.
func (control *AttemptControl) CancelUnlessPermitted(write permit.Write, result *Result) bool {
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

// TimeUntil returns the seconds left until a time, and whether that time is set (is not zero).
func TimeUntil(by time.Time) (left float64, isSet bool) {
	if by.IsZero() {
		return 0, false
	}
	return time.Until(by).Seconds(), true
}

// Message is the request that is sent to an engine.
type Message struct {
	Method string
	Target string
	Fields []http1.Field
	Body   []byte
}

// Exchange writes a request on a connection and reads the head of the response, both before the deadline. If the attempt ends before
// that, Exchange closes the connection and returns nil, and result holds the attempt's progress and cause.
func (control *AttemptControl) Exchange(conn *http1.ClientConn, deadline time.Time, message Message, result *Result) *http1.Response {
	result.Evidence.Progress = outcome.Connected
	result.Evidence.PrefillProcess = conn.CompletedPrefill
	if !control.Attach(conn) {
		conn.Close()
		result.Evidence.Cause, _ = control.Canceled()
		return nil
	}
	conn.SetDeadline(deadline)
	result.FirstByteAt = time.Now()
	sent, total, err := conn.Send(message.Method, message.Target, message.Fields, message.Body)
	if sent == total {
		result.Evidence.Progress = outcome.RequestWritten
	}
	var response *http1.Response
	if err == nil {
		response, err = conn.ReadResponse()
	}
	if err != nil {
		result.Err, result.Evidence.Cause = err, control.CauseOf(err, outcome.AttemptTimedOut)
		control.Detach()
		conn.Discard()
		return nil
	}
	result.Evidence.Progress = outcome.HeaderReceived
	return response
}
