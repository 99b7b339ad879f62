package http1

import (
	"time"
)

// Timeouts limit how long the server waits for a peer.
type Timeouts struct {
	First          time.Duration // from accepting a connection to its first byte; 0 = Head
	Head           time.Duration // for a whole request head, from its first byte
	Body           time.Duration // for a whole request body, from the end of its head
	Whole          time.Duration // for head and body together, from the first byte; 0 = no further limit
	Idle           time.Duration // between two requests of a connection
	EvictableAfter time.Duration // idle time after which a connection may be evicted; 0 = defaultEvictableAfter
	Write          time.Duration // for one write; a client that reads more slowly counts as disconnected
	// A draining server continues to accept for DrainAccept and to read idle connections for DrainIdle; 0 = the defaults below. With
	// KeepAliveWhileDraining, connections stay in use until DrainIdle has passed; without it, each closes after its next response.
	DrainAccept, DrainIdle time.Duration
	KeepAliveWhileDraining bool
	Rejection              time.Duration // for the first byte of a connection over the limit; 0 = defaultRejectionFirstByte
	Linger                 time.Duration // how long a closing connection is still read, so that its response is not lost; 0 = defaultLinger
}

// orElse returns d, or fallback if d is not positive.
func orElse(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}

// AcceptsFor returns the time from the start of a drain after which no further request can arrive.
func (t Timeouts) AcceptsFor() time.Duration {
	if t.KeepAliveWhileDraining {
		return max(t.DrainAccept, t.DrainIdle)
	}
	return orElse(t.DrainAccept, defaultDrainAccept) + orElse(t.DrainIdle, defaultDrainIdle)
}

// MinIdle returns how long a connection must be idle before it may be evicted.
func (t Timeouts) MinIdle() time.Duration { return orElse(t.EvictableAfter, defaultEvictableAfter) }

// DefaultTimeouts are suitable for clients on a wide-area network.
var DefaultTimeouts = Timeouts{Head: 10 * time.Second, Body: 30 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second}

// Defaults of timeouts that are 0.
const (
	defaultDrainAccept = 50 * time.Millisecond
	defaultDrainIdle   = 200 * time.Millisecond
	defaultLinger      = 500 * time.Millisecond
)

// defaultEvictableAfter is the default of Timeouts.EvictableAfter.
const defaultEvictableAfter = time.Second

var processStart = time.Now()

// sinceStart returns the time since the start of the process in nanoseconds. It uses the monotonic clock, since the wall clock may be
// stepped.
func sinceStart() int64 { return int64(time.Since(processStart)) }
