package relay

import (
	"time"

	"dillroute/internal/http1"
)

// SocketSlack is by how much every time limit is longer on sockets than in the settings (PROTOCOL, rules).
const SocketSlack = 50 * time.Millisecond

// Timeouts are those of the protocol's pages. A client that says nothing, or does not end what it says, is due an answer or
// a close within 3 s of connecting; a connection without a request may be closed after 2 s, and sooner to make room: its
// client asks again. A node that is told to stop goes on taking requests for as long as those that it takes may be unanswered
// when it is killed, which is no shorter than new connections keep coming (0.4 s).
var Timeouts = http1.Timeouts{First: 2100 * time.Millisecond, Head: 700 * time.Millisecond, Body: 700 * time.Millisecond,
	Whole: 700 * time.Millisecond, Idle: 10 * time.Second, EvictableAfter: 100 * time.Millisecond, Write: 4 * time.Second,
	DrainAccept: stopAccepts, DrainIdle: stopTakes, DrainKeep: true, Linger: 300 * time.Millisecond,
	Rejection: 100 * time.Millisecond}

// How a node ends (PROTOCOL, figures): SIGKILL comes no sooner than 0.7 s and the longest deadline after SIGTERM, counted as
// 3 s where it is longer.
const (
	killAfter   = 700 * time.Millisecond
	mostCounts  = 3 * time.Second
	stopAccepts = 550 * time.Millisecond // new connections come for 0.4 s
	stopTakes   = 2 * time.Second        // clients use those that they have for as long as these stay open
	stopWhole   = 600 * time.Millisecond // what comes later than 0.7 s must have ended before SIGKILL, its stream too
	stopSpare   = 300 * time.Millisecond // kept for the last words
)

// ServerTimeouts are the times of the clients' side. Where clients do not come again for the rest of a stream (resume), none that
// runs may be ended, so that a node which is told to stop takes only what may still be running when it is killed.
func ServerTimeouts(resume bool) http1.Timeouts {
	t := Timeouts
	if !resume {
		t.DrainIdle = stopWhole
	}
	return t
}

// StopBy is within what a node that is told to stop must have answered.
func StopBy(patience float64) time.Duration {
	return min(mostCounts, seconds(patience)) + killAfter - stopSpare
}

// RequestLimits bound a client's message: a body holds at most 256 KiB.
var RequestLimits = http1.Limits{Line: 4 << 10, Header: 16 << 10, Headers: 64, Body: 256 << 10}
