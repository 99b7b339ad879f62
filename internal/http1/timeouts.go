package http1

import (
	"time"
)

// Timeouts bound how long a peer may take.
type Timeouts struct {
	First          time.Duration // from the opening of a connection to its first byte; 0 = Head
	Head           time.Duration // for a whole request head, from its first byte
	Body           time.Duration // for a whole request body, from the end of its head
	Whole          time.Duration // for head and body together, from the first byte; 0 = no further bound
	Idle           time.Duration // between requests
	EvictableAfter time.Duration // after which a connection without a request may be closed to make room; 0 = restedFor
	Write          time.Duration // for one write to be taken: a slower reader counts as gone
	// A draining server goes on accepting, and reading idle connections, for so long; 0 = drainAccept, drainIdle. With
	// DrainKeep connections stay in use until then; without, each ends with its next answer.
	DrainAccept, DrainIdle time.Duration
	DrainKeep              bool
	Rejection              time.Duration // for the first byte of a connection that is to be refused; 0 = lobbyWait
	Linger                 time.Duration // that a closing connection is read on, so that its answer is not lost; 0 = lingerFor
}

// orElse returns the first of two times that is not 0.
func orElse(a, b time.Duration) time.Duration {
	if a > 0 {
		return a
	}
	return b
}

// AcceptsFor is after which no request can come that was under way when the drain began.
func (t Timeouts) AcceptsFor() time.Duration {
	if t.DrainKeep {
		return max(t.DrainAccept, t.DrainIdle)
	}
	return orElse(t.DrainAccept, drainAccept) + orElse(t.DrainIdle, drainIdle)
}

// MinIdle is how long a connection has rested before it may be closed to make room.
func (t Timeouts) MinIdle() time.Duration { return orElse(t.EvictableAfter, restedFor) }

// DefaultTimeouts suit clients on a wide-area network.
var DefaultTimeouts = Timeouts{Head: 10 * time.Second, Body: 30 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second}

// Times that a protocol may set otherwise.
const (
	drainAccept = 50 * time.Millisecond
	drainIdle   = 200 * time.Millisecond
	lingerFor   = 500 * time.Millisecond
)

// restedFor is LeastRest where a protocol does not say otherwise.
const restedFor = time.Second

var processStart = time.Now()

// sinceStart is the time since the start of the process in nanoseconds, by the monotonic clock: the wall clock may be stepped.
func sinceStart() int64 { return int64(time.Since(processStart)) }
