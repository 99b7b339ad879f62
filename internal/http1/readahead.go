package http1

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// readAhead reads a connection, first what was read ahead of its turn. The goroutine of the connection owns it.
type readAhead struct {
	netConn   net.Conn
	heldBytes *atomic.Int64 // bytes held, over all connections
	pending   []byte        // read ahead, and not yet returned by Read
	err       error         // that ended the reading ahead; Read returns it after pending

	total    int64     // bytes read from the connection
	arrivals []arrival // of bytes that may not have been consumed yet, in order
}

// arrival is when bytes were read from the connection.
type arrival struct {
	end int64 // offset behind them, counted from the first byte of the connection
	at  time.Time
}

// Arrivals closer than arrivalStep are one, and so are those beyond maxArrivals: their bytes count as read with the ones before.
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

// nextArrivedAt returns when the next byte to be consumed was read, where so many bytes are buffered in front of this reader. Earlier
// arrivals are forgotten.
func (a *readAhead) nextArrivedAt(buffered int) time.Time {
	next := a.total - int64(len(a.pending)) - int64(buffered)
	for len(a.arrivals) > 0 && a.arrivals[0].end <= next {
		a.arrivals = a.arrivals[1:]
	}
	if len(a.arrivals) == 0 {
		return time.Now()
	}
	return a.arrivals[0].at
}

// Bounds of what is read ahead on one connection, in bytes.
const (
	maxReadAhead  = 1 << 20 // some requests of the largest size
	readAheadStep = 4 << 10
)

// errReadAheadFull is returned where no more may be read ahead.
var errReadAheadFull = errors.New("http1: read-ahead limit reached")

// Read returns what was read ahead, and then reads the connection.
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
	}
	n, err := a.netConn.Read(p)
	a.recordArrival(n)
	return n, err
}

// more reads further bytes ahead, if allowed permits so many more.
func (a *readAhead) more(allowed func(bytes int) bool) error {
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

// drop forgets what was read ahead.
func (a *readAhead) drop() {
	a.heldBytes.Add(-int64(len(a.pending)))
	a.pending = nil
}

// mayReadAhead tells whether so many more bytes may be read ahead: half of the bytes that may be held is left to present requests.
func (c *conn) mayReadAhead(bytes int) bool {
	s := c.server
	return s.MaxBytes <= 0 || s.heldBytes.Load()+int64(bytes) <= s.MaxBytes/2
}
