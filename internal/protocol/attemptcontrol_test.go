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

func TestCancelIfUnsentLeavesWrittenAttempts(t *testing.T) {
	var h AttemptControl
	h.CancelIfUnsent()
	if cause, ok := h.Canceled(); !ok || cause != outcome.RequestEnded || h.Attach(nil) {
		t.Error("an attempt without a connection was not canceled")
	}
	var w AttemptControl
	if !w.Attach(nil) {
		t.Fatal("Attach failed on an attempt that is not canceled")
	}
	w.CancelIfUnsent()
	if _, ok := w.Canceled(); ok {
		t.Error("an attempt that is being written was canceled")
	}
	w.Cancel(outcome.ClientDisconnected)
	w.Cancel(outcome.CanceledByScheduler)
	if cause, _ := w.Canceled(); cause != outcome.ClientDisconnected {
		t.Errorf("got cause %v, want the first one", cause)
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
			t.Errorf("%v: got %v, want %v", c.err, got, c.want)
		}
		h.Cancel(outcome.CanceledByScheduler)
		if got := h.CauseOf(c.err, outcome.AttemptTimedOut); got != outcome.CanceledByScheduler {
			t.Errorf("%v after a cancellation: got %v, want its cause", c.err, got)
		}
	}
}

// Guards against writing an attempt after its deduplication window, when the engine could run the request twice. The attempt must end
// as never sent.
func TestAttemptsAfterTheirDedupWindowAreNotWritten(t *testing.T) {
	var h AttemptControl
	r := Result{Evidence: outcome.Evidence{Progress: outcome.Connecting}}
	write := func(by time.Time) permit.Write {
		left, bound := TimeUntil(by)
		return permit.Write{ClientTimeLeft: 1, HasDedupWindow: bound, DedupWindowLeft: left}
	}
	if h.CancelUnlessPermitted(write(time.Time{}), &r) || h.CancelUnlessPermitted(write(time.Now().Add(time.Minute)), &r) {
		t.Fatal("an attempt within its window was canceled")
	}
	if !h.CancelUnlessPermitted(write(time.Now().Add(-time.Millisecond)), &r) {
		t.Fatal("an attempt after its window was not canceled")
	}
	if h.Attach(nil) {
		t.Error("the canceled attempt may still be written")
	}
	if v := outcome.Classify(r.Evidence); v.Status != scheduler.NotSent || v.MayHaveRun {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// Canceling an attempt must end its dial, whether it is canceled before or during the dial.
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
			t.Errorf("canceled before the dial %v: the dial did not end", early)
		}
	}
}

// An attempt whose client has disconnected must not be written, and must end with the cause ClientDisconnected.
func TestAttemptsOfDisconnectedClientsAreNotWritten(t *testing.T) {
	var h AttemptControl
	r := Result{Evidence: outcome.Evidence{Progress: outcome.Connecting}}
	if !h.CancelUnlessPermitted(permit.Write{ClientDisconnected: true, ClientTimeLeft: 1}, &r) || h.Attach(nil) {
		t.Error("the attempt may still be written")
	}
	if r.Evidence.Cause != outcome.ClientDisconnected {
		t.Errorf("got cause %d, want ClientDisconnected", r.Evidence.Cause)
	}
	if v := outcome.Classify(r.Evidence); v.Status != scheduler.NotSent || v.MayHaveRun {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// When the kernel ends a connection with ETIMEDOUT, the connection is broken. Guards against reporting that the attempt timed out,
// because the error's Timeout method returns true.
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
