package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// readAhead reads a connection and buffers bytes that are read before the next request is parsed. Only the connection's goroutine may
// use it.
type readAhead struct {
	netConn   net.Conn
	heldBytes *atomic.Int64 // of the server: bytes held by all connections
	pending   []byte        // read ahead and not yet returned by Read
	err       error         // error of reading ahead; Read returns it after the pending bytes
	skimmed   *skimmer      // of the bytes behind the pending ones, which are not kept; nil = there are none

	total      int64     // bytes read from the connection
	sincePause int       // bytes that were skimmed since the last pause
	skipped    int64     // bytes of total that were skimmed, while the bytes before them are pending
	arrivals   []arrival // in order, of bytes that may not have been consumed yet
}

// arrival is when bytes were read from the connection.
type arrival struct {
	end int64 // offset after the bytes, from the first byte of the connection
	at  time.Time
}

// An arrival is merged into the latest recorded one if it follows within arrivalStep, or if maxArrivals are recorded already: its bytes
// count as read at the time of the recorded one.
const (
	arrivalStep = 5 * time.Millisecond
	maxArrivals = 64
)

// recordArrival records that n bytes were read.
func (a *readAhead) recordArrival(n int) {
	if n <= 0 {
		return
	}
	a.total += int64(n)
	now := time.Now()
	if k := len(a.arrivals); k > 0 && (k >= maxArrivals || now.Sub(a.arrivals[k-1].at) < arrivalStep) {
		a.arrivals[k-1].end = a.total
		return
	}
	a.arrivals = append(a.arrivals, arrival{a.total, now})
}

// nextArrivedAt returns when the next unconsumed byte was read from the connection. buffered is the number of bytes that Read has returned
// and the caller has not consumed. Earlier arrivals are dropped.
func (a *readAhead) nextArrivedAt(buffered int) time.Time {
	next := a.total - a.skipped - int64(len(a.pending)) - int64(buffered)
	for len(a.arrivals) > 0 && a.arrivals[0].end <= next {
		a.arrivals = a.arrivals[1:]
	}
	if len(a.arrivals) == 0 {
		return time.Now()
	}
	return a.arrivals[0].at
}

// Limits of reading ahead on one connection, in bytes.
const (
	maxReadAhead  = 1 << 20 // four request bodies of the relay protocol's maximum size (256 KiB); a chat request may be larger
	readAheadStep = 4 << 10 // bytes read at a time
)

// errReadAheadFull is returned if no more bytes may be read ahead.
var errReadAheadFull = errors.New("http1: read-ahead limit reached")

// Read returns the bytes that were read ahead first, and then reads the connection.
func (a *readAhead) Read(p []byte) (int, error) {
	switch {
	case len(a.pending) > 0:
		n := copy(p, a.pending)
		a.heldBytes.Add(-int64(n))
		if a.pending = a.pending[n:]; len(a.pending) == 0 {
			a.pending = nil
		}
		return n, nil
	case a.err != nil:
		return 0, a.err
	case a.skimmed != nil: // all requests that are pending are complete
		return 0, io.ErrUnexpectedEOF
	}
	n, err := a.netConn.Read(p)
	a.recordArrival(n)
	return n, err
}

// startSkimming is called when no more bytes may be read ahead. Of the bytes that the caller has buffered and of those that were read
// ahead, it keeps the complete requests alone.
func (a *readAhead) startSkimming(buffered []byte, limits Limits) {
	unread := append(bytes.Clone(buffered), a.pending...)
	a.skimmed = &skimmer{limits: limits}
	a.skimmed.add(unread)
	a.skimmed.complete = 0
	retained := a.skimmed.boundary
	a.heldBytes.Add(int64(retained - len(a.pending)))
	a.pending = unread[:retained:retained]
	a.skipped = int64(len(unread) - retained)
}

// Pace of skimming on one connection. It finds a close behind the bytes that the kernel holds well within 0.1 s, and leaves time for other
// connections.
const (
	skimStep       = 64 << 10 // bytes of one read
	skimPauseAfter = 8 * skimStep
	skimPause      = time.Millisecond
)

// skimBuffers holds buffers for one step of skimming.
var skimBuffers = sync.Pool{New: func() any { b := make([]byte, skimStep); return &b }}

// skimMore reads and skims up to skimStep further bytes.
func (a *readAhead) skimMore() error {
	if a.err != nil {
		return a.err
	}
	step := skimBuffers.Get().(*[]byte)
	defer skimBuffers.Put(step)
	n, err := a.netConn.Read(*step)
	a.total += int64(n)
	a.skipped += int64(n)
	a.skimmed.add((*step)[:n])
	if a.sincePause += n; a.sincePause >= skimPauseAfter {
		a.sincePause = 0
		time.Sleep(skimPause)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
	}
	return err
}

// stopSkimming returns to reading, if the skimmed bytes end before the body of a request. The head that has been skimmed is pending then.
func (a *readAhead) stopSkimming() bool {
	if a.skimmed.body > 0 || a.skimmed.complete > 0 || a.skimmed.err != nil {
		return false
	}
	a.pending = a.skimmed.head
	a.heldBytes.Add(int64(len(a.pending)))
	a.skimmed, a.skipped = nil, 0
	return true
}

// readMore reads up to readAheadStep further bytes ahead, if allowed permits that number.
func (a *readAhead) readMore(allowed func(bytes int) bool) error {
	if a.err != nil {
		return a.err
	}
	if len(a.pending)+readAheadStep > maxReadAhead || !allowed(readAheadStep) {
		return errReadAheadFull
	}
	var step [readAheadStep]byte
	n, err := a.netConn.Read(step[:])
	a.recordArrival(n)
	a.pending = append(a.pending, step[:n]...)
	a.heldBytes.Add(int64(n))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
	}
	return err
}

// discard drops the bytes that were read ahead, which then no longer count toward Server.MaxBytes.
func (a *readAhead) discard() {
	a.heldBytes.Add(-int64(len(a.pending)))
	a.pending = nil
}

// mayReadAhead reports whether the given number of further bytes may be read ahead. Half of Server.MaxBytes is reserved for current
// requests.
func (c *conn) mayReadAhead(bytes int) bool {
	s := c.server
	return s.MaxBytes <= 0 || s.heldBytes.Load()+int64(bytes) <= s.MaxBytes/2
}
