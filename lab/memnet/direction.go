package memnet

import (
	"sync"
	"syscall"
	"time"
)

// bufferSize is how many bytes one direction of a connection holds before a write waits.
const bufferSize = 64 << 10

// direction is one direction of a connection: bytes from the end that writes to the end that reads.
type direction struct {
	mu           sync.Mutex
	cond         *sync.Cond
	unread       []byte
	writerClosed bool // the end that writes has closed
	readerClosed bool // the end that reads has closed
	reset        bool
	resetError   syscall.Errno // what reads and writes return after a reset
}

// resetErrors are the errors that a broken connection may return, in turn.
var resetErrors = []syscall.Errno{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH}

func newDirection(resetError syscall.Errno) *direction {
	d := &direction{resetError: resetError}
	d.cond = sync.NewCond(&d.mu)
	return d
}

// update changes the direction and wakes the reads and writes that wait for it.
func (d *direction) update(change func()) {
	d.mu.Lock()
	change()
	d.cond.Broadcast()
	d.mu.Unlock()
}

// deadline is a deadline for reads or writes; the lock of their direction guards it.
type deadline struct {
	at    time.Time // zero = none
	timer *time.Timer
}

func (d *deadline) passed() bool { return !d.at.IsZero() && !time.Now().Before(d.at) }

func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}

// setDeadline sets the deadline of a direction's reads or writes, and wakes those that wait.
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
		limit.timer = time.AfterFunc(left, func() { d.update(func() {}) })
	}
	d.cond.Broadcast()
}
