package relay

import (
	"time"

	"dillroute/internal/http1"
)

// SocketSlack is added to every time limit of the settings on sockets (PROTOCOL, rules).
const SocketSlack = 50 * time.Millisecond

// Timeouts are those of the protocol's pages. A client that sends nothing, or no complete request, gets a response or a close within 3 s
// of connecting; a connection without a request may be closed after 2 s, and earlier by eviction: its client connects again. A node
// that shuts down admits requests for as long as those that it admits may be unanswered when it is killed, which is no shorter than
// new connections keep coming (0.4 s).
var Timeouts = http1.Timeouts{First: 2100 * time.Millisecond, Head: 700 * time.Millisecond, Body: 700 * time.Millisecond,
	Whole: 700 * time.Millisecond, Idle: 10 * time.Second, EvictableAfter: 100 * time.Millisecond, Write: 4 * time.Second,
	DrainAccept: stopAccepts, DrainIdle: stopTakes, DrainKeep: true, Linger: 300 * time.Millisecond,
	Rejection: 100 * time.Millisecond}

// The graceful shutdown (PROTOCOL, figures): SIGKILL comes 0.7 s and the longest client timeout after SIGTERM at the earliest; a timeout
// over 3 s counts as 3 s.
const (
	killAfter   = 700 * time.Millisecond
	mostCounts  = 3 * time.Second
	stopAccepts = 550 * time.Millisecond // new connections come for 0.4 s
	stopTakes   = 2 * time.Second        // clients use their connections for as long as these stay open
	stopWhole   = 600 * time.Millisecond // a request that comes later than 0.7 s must have ended before SIGKILL, its stream included
	stopSpare   = 300 * time.Millisecond // reserved for the final responses
)

// ServerTimeouts are the timeouts of the client side. Where clients do not resume streams, no stream may be cut off, so that a node that
// shuts down admits only requests whose streams end before it is killed.
func ServerTimeouts(resume bool) http1.Timeouts {
	t := Timeouts
	if !resume {
		t.DrainIdle = stopWhole
	}
	return t
}

// StopBy is the time after SIGTERM within which a node must have responded to all requests. longestTimeout is the longest client
// timeout, in seconds.
func StopBy(longestTimeout float64) time.Duration {
	return min(mostCounts, seconds(longestTimeout)) + killAfter - stopSpare
}

// RequestLimits bound a client's message, in bytes and fields (PROTOCOL: a body of 256 KiB at most).
var RequestLimits = http1.Limits{Line: 4 << 10, Header: 16 << 10, Headers: 64, Body: 256 << 10}
