package http1

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// aheadReader reads a connection, first what was read ahead of its turn. It belongs to one goroutine.
type aheadReader struct {
	nc   net.Conn
	held *atomic.Int64 // bytes that are kept, over all connections
	kept []byte        // read ahead, and not yet read from here
	err  error         // which ended the reading ahead; it comes after what is kept

	total    int64     // bytes that have come
	arrivals []arrival // of them, those that may not have been taken up yet, in order
}

// arrival tells when bytes came.
type arrival struct {
	end int64 // of them, counted from the first byte of the connection
	at  time.Time
}

// Arrivals are kept apart if they are further apart than this, up to so many; beyond, bytes count as having come with those before.
const (
	arrivalStep = 5 * time.Millisecond
	arrivalMost = 64
)

// arrived notes bytes that have come.
func (a *aheadReader) arrived(n int) {
	if n <= 0 {
		return
	}
	a.total += int64(n)
	now := time.Now()
	if k := len(a.arrivals); k > 0 && (k >= arrivalMost || now.Sub(a.arrivals[k-1].at) < arrivalStep) {
		a.arrivals[k-1].end = a.total
		return
	}
	a.arrivals = append(a.arrivals, arrival{a.total, now})
}

// cameAt tells when the byte came that is the next to be taken up, of which those that are buffered beyond this reader are told. Earlier
// arrivals are forgotten.
func (a *aheadReader) cameAt(buffered int) time.Time {
	next := a.total - int64(len(a.kept)) - int64(buffered)
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
	aheadMost = 1 << 20 // a few requests of the largest size
	aheadStep = 4 << 10
)

// errAheadFull tells that no more is kept.
var errAheadFull = errors.New("http1: as much has been read ahead as may be kept")

// Read returns what was read ahead, and then what comes.
func (a *aheadReader) Read(p []byte) (int, error) {
	switch {
	case len(a.kept) > 0:
		n := copy(p, a.kept)
		a.held.Add(-int64(n))
		if a.kept = a.kept[n:]; len(a.kept) == 0 {
			a.kept = nil
		}
		return n, nil
	case a.err != nil:
		return 0, a.err
	}
	n, err := a.nc.Read(p)
	a.arrived(n)
	return n, err
}

// more waits for bytes and keeps them, if keep allows so many more.
func (a *aheadReader) more(keep func(bytes int) bool) error {
	if a.err != nil {
		return a.err
	}
	if len(a.kept)+aheadStep > aheadMost || !keep(aheadStep) {
		return errAheadFull
	}
	var step [aheadStep]byte
	n, err := a.nc.Read(step[:])
	a.arrived(n)
	a.kept = append(a.kept, step[:n]...)
	a.held.Add(int64(n))
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		a.err = err
	}
	return err
}

// drop gives up what is kept.
func (a *aheadReader) drop() {
	a.held.Add(-int64(len(a.kept)))
	a.kept = nil
}

// mayKeep tells whether so many more bytes may be read ahead: half of what may be held is left to requests that are due.
func (c *conn) mayKeep(bytes int) bool {
	s := c.srv
	return s.MaxBytes <= 0 || s.held.Load()+int64(bytes) <= s.MaxBytes/2
}
