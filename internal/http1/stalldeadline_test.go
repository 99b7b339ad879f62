package http1

import (
	"net"
	"testing"
	"time"
)

// deadlineConn records the deadline that is set.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a stream that is cut off while an event still arrives, and against one that an endless event keeps open for ever.
func TestStallDeadlineMovesWithProgressUntilTheEventIsTooLong(t *testing.T) {
	netConn := &deadlineConn{}
	d := StallDeadline{Conn: &ClientConn{netConn: netConn}, Stall: 100 * time.Millisecond, MaxEvent: 150 * time.Millisecond}
	d.Progress()
	if !netConn.deadline.IsZero() {
		t.Error("progress before the first event has moved the deadline")
	}
	start := time.Now()
	d.EventEnded()
	ended := time.Now()
	time.Sleep(20 * time.Millisecond)
	d.Progress()
	if moved := netConn.deadline.Sub(start); moved < 120*time.Millisecond {
		t.Errorf("the deadline after progress is %v after the event, want at least 120 ms", moved)
	}
	time.Sleep(80 * time.Millisecond)
	d.Progress()
	if moved := netConn.deadline.Sub(ended); moved > 150*time.Millisecond {
		t.Errorf("the deadline of a long event is %v after the last one, want 150 ms", moved)
	}
	ended = time.Now()
	d.EventEnded()
	if left := netConn.deadline.Sub(ended); left < 100*time.Millisecond {
		t.Errorf("%v are left after an event that took long, want 100 ms", left)
	}
}
