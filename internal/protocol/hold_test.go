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

func TestWithdrawSparesWhatIsWritten(t *testing.T) {
	var h Hold
	h.Withdraw()
	if cause, ok := h.Stopped(); !ok || cause != outcome.Overtaken || h.Attach(nil) {
		t.Error("one without a connection was not withdrawn")
	}
	var w Hold
	if !w.Attach(nil) {
		t.Fatal("too late")
	}
	w.Withdraw()
	if _, ok := w.Stopped(); ok {
		t.Error("one that is being written was withdrawn")
	}
	w.Abort(outcome.ClientLeft)
	w.Abort(outcome.Stopped)
	if cause, _ := w.Stopped(); cause != outcome.ClientLeft {
		t.Errorf("the first cause stands, not %v", cause)
	}
}

func TestCausesOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want outcome.Cause
	}{
		{os.ErrDeadlineExceeded, outcome.Expired}, {&http1.Error{Status: 502}, outcome.Unreadable}, {http1.ErrEventTooLong, outcome.Unreadable},
		{fmt.Errorf("so: %w", http1.ErrEventTooLong), outcome.Unreadable}, {io.ErrUnexpectedEOF, outcome.Broken}, {nil, outcome.Broken},
	} {
		var h Hold
		if got := h.Failed(c.err, outcome.Expired); got != c.want {
			t.Errorf("%v: %v, wanted %v", c.err, got, c.want)
		}
		h.Abort(outcome.Stopped)
		if got := h.Failed(c.err, outcome.Expired); got != outcome.Stopped {
			t.Errorf("%v after an abort: %v", c.err, got)
		}
	}
}

// An attempt whose time to be written is over is not written, and is known as never sent.
func TestLateAttemptsAreNotWritten(t *testing.T) {
	var h Hold
	r := Result{Facts: outcome.Facts{Progress: outcome.Dialling}}
	write := func(by time.Time) permit.Write {
		left, bound := Window(by)
		return permit.Write{TimeLeft: 1, Keyed: bound, WindowLeft: left}
	}
	if h.Objects(write(time.Time{}), &r) || h.Objects(write(time.Now().Add(time.Minute)), &r) {
		t.Fatal("one that has time is late")
	}
	if !h.Objects(write(time.Now().Add(-time.Millisecond)), &r) {
		t.Fatal("one whose time is over is not late")
	}
	if h.Attach(nil) {
		t.Error("it may be written all the same")
	}
	if v := outcome.Judge(r.Facts); v.Status != scheduler.NotSent || v.Ran {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// What calls an attempt off ends the making of its connection, before it has begun as well.
func TestAbortEndsDialling(t *testing.T) {
	for _, early := range []bool{true, false} {
		var h Hold
		if early {
			h.Abort(outcome.ClientLeft)
		}
		_, err := h.Dial(func(ctx context.Context) (*http1.ClientConn, error) {
			if !early {
				go h.Abort(outcome.ClientLeft)
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
func TestAttemptsOfClientsThatLeftAreNotWritten(t *testing.T) {
	var h Hold
	r := Result{Facts: outcome.Facts{Progress: outcome.Dialling}}
	if !h.Objects(permit.Write{ClientGone: true, TimeLeft: 1}, &r) || h.Attach(nil) {
		t.Error("it may be written all the same")
	}
	if r.Facts.Cause != outcome.ClientLeft {
		t.Errorf("got cause %d, want that the client left", r.Facts.Cause)
	}
	if v := outcome.Judge(r.Facts); v.Status != scheduler.NotSent || v.Ran {
		t.Errorf("got %+v, want that it was never sent", v)
	}
}

// A connection that the kernel has given up (ETIMEDOUT) is broken like any other: it is not the attempt's time that has run out, though
// the error calls itself a timeout.
func TestABrokenConnectionIsNoTimeout(t *testing.T) {
	read := func(errno syscall.Errno) error {
		return &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", errno)}
	}
	for _, c := range []struct {
		err  error
		want outcome.Cause
	}{
		{read(syscall.ETIMEDOUT), outcome.Broken},
		{read(syscall.EHOSTUNREACH), outcome.Broken},
		{read(syscall.ECONNRESET), outcome.Broken},
		{&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, outcome.Expired},
		{context.DeadlineExceeded, outcome.Expired},
	} {
		var h Hold
		if got := h.Failed(c.err, outcome.Expired); got != c.want {
			t.Errorf("%v: got cause %d, want %d", c.err, got, c.want)
		}
	}
}
