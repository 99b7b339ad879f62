package memnet

import (
	"sync"
	"syscall"
	"time"
)

// bufferSize is how many unread bytes one direction of a connection can hold; a write blocks beyond that.
const bufferSize = 64 << 10

// direction is one direction of a connection: it carries bytes from the writing end to the reading end.
type direction struct {
	mu           sync.Mutex
	cond         *sync.Cond
	unread       []byte
	writerClosed bool // the writing end is closed
	readerClosed bool // the reading end is closed
	reset        bool
	resetError   syscall.Errno // error of reads and writes after a reset
}

// resetErrors are the errors that reset connections return. The connections of a listener use them in turn.
var resetErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

func newDirection(resetError syscall.Errno) *direction {
	d := &direction{resetError: resetError}
	d.cond = sync.NewCond(&d.mu)
	return d
}

// updateAndWake applies a change to the direction and wakes the reads and writes that wait on it.
func (d *direction) updateAndWake(change func()) {
	d.mu.Lock()
	change()
	d.cond.Broadcast()
	d.mu.Unlock()
}

// deadline is the deadline of reads or of writes. The mutex of their direction guards it.
type deadline struct {
	at    time.Time // zero = no deadline
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}

// setDeadline sets the deadline of a direction's reads or writes. Unless the deadline is zero, reads and writes that wait are woken now and
// at the deadline, to check whether it has passed.
func setDeadline(d *direction, limit *deadline, t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	stopTimer(limit.timer)
	limit.at = t
	limit.timer = nil
	if t.IsZero() {
		return
	}
	if left := time.Until(t); left > 0 {
		limit.timer = time.AfterFunc(left, func() { d.updateAndWake(func() {}) })
	}
	d.cond.Broadcast()
}
