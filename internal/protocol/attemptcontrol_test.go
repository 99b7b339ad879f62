package protocol

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/scheduler"
)

func TestCancelIfUnsentSparesWrittenAttempts(t *testing.T) {
	var h AttemptControl
	h.CancelIfUnsent()
	if cause, ok := h.Canceled(); !ok || cause != outcome.RequestEnded || h.Attach(nil) {
		t.Error("one without a connection was not withdrawn")
	}
	var w AttemptControl
	if !w.Attach(nil) {
		t.Fatal("too late")
	}
	w.CancelIfUnsent()
	if _, ok := w.Canceled(); ok {
		t.Error("one that is being written was withdrawn")
	}
	w.Cancel(outcome.ClientDisconnected)
	w.Cancel(outcome.CanceledByScheduler)
	if cause, _ := w.Canceled(); cause != outcome.ClientDisconnected {
		t.Errorf("the first cause stands, not %v", cause)
	}
}

func TestCauseOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want outcome.Cause
	}{
		{os.ErrDeadlineExceeded, outcome.AttemptTimedOut},
		{&http1.Error{Status: 502}, outcome.MalformedResponse},
		{http1.ErrEventTooLong, outcome.MalformedResponse},
		{fmt.Errorf("so: %w", http1.ErrEventTooLong), outcome.MalformedResponse},
		{io.ErrUnexpectedEOF, outcome.ConnectionBroken},
		{nil, outcome.ConnectionBroken},
	} {
		var h AttemptControl
		if got := h.CauseOf(c.err, outcome.AttemptTimedOut); got != c.want {
			t.Errorf("%v: %v, wanted %v", c.err, got, c.want)
		}
		h.Cancel(outcome.CanceledByScheduler)
		if got := h.CauseOf(c.err, outcome.AttemptTimedOut); got != outcome.CanceledByScheduler {
			t.Errorf("%v after an abort: %v", c.err, got)
		}
	}
}

// An attempt whose time to be written is over is not written, and is known as never sent.
func TestAttemptsPastTheirWindowAreNotWritten(t *testing.T) {
	var h AttemptControl
	r := Result{Evidence: outcome.Evidence{Progress: outcome.Connecting}}
	write := func(by time.Time) permit.Write {
		left, bound := TimeUntil(by)
		return permit.Write{ClientTimeLeft: 1, HasDedupWindow: bound, DedupWindowLeft: left}
	}
	if h.RefusesWrite(write(time.Time{}), &r) || h.RefusesWrite(write(time.Now().Add(time.Minute)), &r) {
		t.Fatal("one that has time is late")
	}
	if !h.RefusesWrite(write(time.Now().Add(-time.Millisecond)), &r) {
		t.Fatal("one whose time is over is not late")
	}
	if h.Attach(nil) {
		t.Error("it may be written all the same")
	}
	if v := outcome.Classify(r.Evidence); v.Status != scheduler.NotSent || v.MayHaveRun {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// What calls an attempt off ends the making of its connection, before it has begun as well.
func TestCancelEndsConnecting(t *testing.T) {
	for _, early := range []bool{true, false} {
		var h AttemptControl
		if early {
			h.Cancel(outcome.ClientDisconnected)
		}
		_, err := h.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
			if !early {
				go h.Cancel(outcome.ClientDisconnected)
			}
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(10 * time.Second):
				return nil, nil
			}
		})
		if err == nil {
			t.Errorf("called off early %v: the connection was waited for", early)
		}
	}
}

// An attempt whose client has gone is not written, and its request is known to have lost its client.
func TestAttemptsOfDisconnectedClientsAreNotWritten(t *testing.T) {
	var h AttemptControl
	r := Result{Evidence: outcome.Evidence{Progress: outcome.Connecting}}
	if !h.RefusesWrite(permit.Write{ClientDisconnected: true, ClientTimeLeft: 1}, &r) || h.Attach(nil) {
		t.Error("it may be written all the same")
	}
	if r.Evidence.Cause != outcome.ClientDisconnected {
		t.Errorf("got cause %d, want that the client left", r.Evidence.Cause)
	}
	if v := outcome.Classify(r.Evidence); v.Status != scheduler.NotSent || v.MayHaveRun {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// A connection that the kernel has given up (ETIMEDOUT) is broken like any other: it is not the attempt's time that has run out, though
// the error calls itself a timeout.
func TestBrokenConnectionIsNoTimeout(t *testing.T) {
	read := func(errno syscall.Errno) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	for _, c := range []struct {
		err  error
		want outcome.Cause
	}{
		{read(syscall.ETIMEDOUT), outcome.ConnectionBroken},
		{read(syscall.EHOSTUNREACH), outcome.ConnectionBroken},
		{read(syscall.ECONNRESET), outcome.ConnectionBroken},
		{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, outcome.AttemptTimedOut},
		{context.DeadlineExceeded, outcome.AttemptTimedOut},
	} {
		var h AttemptControl
		if got := h.CauseOf(c.err, outcome.AttemptTimedOut); got != c.want {
			t.Errorf("%v: got cause %d, want %d", c.err, got, c.want)
		}
	}
}
