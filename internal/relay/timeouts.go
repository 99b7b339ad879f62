package relay

import (
	"time"

	"dillroute/internal/http1"
)

// SocketSlack is the tolerance that is added to each time limit of the settings where it is measured on sockets (PROTOCOL, rules).
const SocketSlack = 50 * time.Millisecond

// Timeouts are the timeouts that the protocol's pages require. If a client sends nothing, or no complete request, the node responds or
// closes the connection within 3 s of connecting. A connection without a request may be closed after 2 s, or earlier by eviction: its
// client connects again. A node that shuts down continues to admit requests for as long as the platform accepts that an admitted request
// has no response when the node is killed. New connections arrive for 0.4 s of a shutdown, which is no longer than that.
var Timeouts = http1.Timeouts{First: 2100 * time.Millisecond, Head: 700 * time.Millisecond, Body: 700 * time.Millisecond,
	Whole: 700 * time.Millisecond, Idle: 10 * time.Second, EvictableAfter: 100 * time.Millisecond, Write: 4 * time.Second,
	DrainAccept: drainAccept, DrainIdle: drainIdle, KeepAliveWhileDraining: true, Linger: 300 * time.Millisecond,
	Rejection: 100 * time.Millisecond}

// Times of the graceful shutdown (PROTOCOL, figures). SIGKILL follows SIGTERM no earlier than 0.7 s plus the longest client timeout; a
// client timeout over 3 s counts as 3 s.
const (
	killDelay         = 700 * time.Millisecond
	maxCountedTimeout = 3 * time.Second
	drainAccept       = 550 * time.Millisecond // new connections arrive for 0.4 s
	drainIdle         = 2 * time.Second        // clients use their connections as long as these are open
	drainIdleNoResume = 600 * time.Millisecond // below 0.7 s: a request that arrives later must end, with its stream, before SIGKILL
	responseReserve   = 300 * time.Millisecond // for writing the final responses
)

// ServerTimeouts returns the timeouts of the client side. If clients do not resume streams, no stream must be interrupted. A node that
// shuts down then admits only requests whose streams end before it is killed.
func ServerTimeouts(resume bool) http1.Timeouts {
	t := Timeouts
	if !resume {
		t.DrainIdle = drainIdleNoResume
	}
	return t
}

// ShutdownTimeout returns the time after SIGTERM within which a node must have responded to all requests. longestTimeout is the longest
// client timeout, in seconds.
func ShutdownTimeout(longestTimeout float64) time.Duration {
	return min(maxCountedTimeout, seconds(longestTimeout)) + killDelay - responseReserve
}

// RequestLimits bound a client's request, in bytes and number of header fields (PROTOCOL: a body of at most 256 KiB).
var RequestLimits = http1.Limits{Line: 4 << 10, Header: 16 << 10, Headers: 64, Body: 256 << 10}
