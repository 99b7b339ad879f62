package protocol

import (
	"fmt"
	"io"
	"os"
	"testing"

	"dillroute/internal/decide/ending"
	"dillroute/internal/http1"
)

func TestWithdrawSparesWhatIsWritten(t *testing.T) {
	var h Hold
	h.Withdraw()
	if cause, ok := h.Stopped(); !ok || cause != ending.Overtaken || h.Attach(nil) {
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
	w.Abort(ending.ClientLeft)
	w.Abort(ending.Stopped)
	if cause, _ := w.Stopped(); cause != ending.ClientLeft {
		t.Errorf("the first cause stands, not %v", cause)
	}
}

func TestCausesOfErrors(t *testing.T) {
	for _, c := range []struct {
		err  error
		want ending.Cause
	}{
		{os.ErrDeadlineExceeded, ending.Expired}, {&http1.Error{Status: 502}, ending.Unreadable}, {http1.ErrEventTooLong, ending.Unreadable},
		{fmt.Errorf("so: %w", http1.ErrEventTooLong), ending.Unreadable}, {io.ErrUnexpectedEOF, ending.Broken}, {nil, ending.Broken},
	} {
		var h Hold
		if got := h.Failed(c.err, ending.Expired); got != c.want {
			t.Errorf("%v: %v, wanted %v", c.err, got, c.want)
		}
		h.Abort(ending.Stopped)
		if got := h.Failed(c.err, ending.Expired); got != ending.Stopped {
			t.Errorf("%v after an abort: %v", c.err, got)
		}
	}
}
