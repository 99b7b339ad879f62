package node

import (
	"time"

	"dillroute/internal/decide/shutdown"
)

const (
	// shutdownPoll is the interval at which a shutdown checks the condition that it waits for.
	shutdownPoll = 5 * time.Millisecond
	// finishGrace bounds the wait for final responses and state releases after the last request has ended.
	finishGrace = 2 * time.Second
	// connectionGrace bounds the wait for client connections to close.
	connectionGrace = time.Second
)

// Shutdown stops accepting requests, lets open requests continue for up to wait, rejects or fails those that are left, and stops the node.
func (n *Node) Shutdown(wait time.Duration) {
	deadline := time.Now().Add(wait)
	n.stopAccepting(deadline)
	n.awaitResponses(deadline)
	n.loop.post(func(now float64) { n.table().RespondToAll(now) })
	n.finish()
}

// ShutdownBy is Shutdown for a process that will be killed. A request whose response has not begun receives a final response within
// responseTimeout. Streams may continue for up to streamWait after that. Where clients resume streams at other nodes, streams are instead
// cut off one by one within responseTimeout. A request that arrives during the shutdown is accepted only if its response can begin before
// responseTimeout has passed.
func (n *Node) ShutdownBy(responseTimeout, streamWait time.Duration) {
	deadline := time.Now().Add(responseTimeout)
	n.loop.post(func(now float64) { n.owned.shutdownDeadline = now + responseTimeout.Seconds() })
	if n.config.clientsMayResume {
		cutoffTimer := time.AfterFunc(n.config.timeouts.DrainAccept, func() { n.loop.post(n.scheduleCutoffs) })
		defer cutoffTimer.Stop()
	}
	n.stopAccepting(deadline)
	if n.config.clientsMayResume {
		n.loop.post(n.scheduleCutoffs) // for streams that have begun since the first call
	}
	n.awaitResponses(deadline)
	if !n.config.clientsMayResume {
		n.loop.post(func(now float64) { n.table().RespondToQueued(now) })
		n.awaitResponses(time.Now().Add(streamWait))
	}
	n.loop.post(func(now float64) { n.table().RespondToAll(now) })
	n.finish()
}

// scheduleCutoffs schedules the cutoff of each stream that is running.
func (n *Node) scheduleCutoffs(now float64) {
	var streams []shutdown.Stream
	for _, stream := range n.table().Streams() {
		streams = append(streams, shutdown.Stream{ID: stream.ID, StartedAt: stream.SentAt})
	}
	nodes := n.config.scheduler.NodeCount
	for _, cutoff := range shutdown.CutoffSchedule(now, n.owned.shutdownDeadline, nodes, streams) {
		n.schedule(cutoff.At, func(now float64) { n.table().CutStream(now, cutoff.ID) })
	}
}

// stopAccepting drains the server and then stops the request table from accepting requests. Between the two it waits for requests in
// transit. The wait ends at the deadline, or when RespondNow is called, if either is earlier.
func (n *Node) stopAccepting(deadline time.Time) {
	n.server.Drain()
	acceptUntil := earlier(time.Now().Add(n.config.timeouts.AcceptsFor()), deadline)
	for time.Now().Before(acceptUntil) && !n.respondNow.Load() {
		time.Sleep(shutdownPoll)
	}
	n.loop.post(func(float64) { n.table().StopAccepting() })
}

// awaitResponses waits until no request is open, the deadline has passed, or RespondNow was called.
func (n *Node) awaitResponses(deadline time.Time) {
	for time.Now().Before(deadline) && !n.respondNow.Load() && n.openRequests() > 0 {
		time.Sleep(shutdownPoll)
	}
}

// finish waits until the final responses are written and the states are released, and stops the node.
func (n *Node) finish() {
	deadline := time.Now().Add(finishGrace)
	for time.Now().Before(deadline) && n.unfinishedRequests() > 0 {
		time.Sleep(shutdownPoll)
	}
	n.jobs.wait()
	n.server.Wait(connectionGrace)
	n.Stop()
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// StopSavingState stops writes to the state directory, so that a successor process can own it.
func (n *Node) StopSavingState() { n.endpoints.SaveState(false) }

// RespondNow ends the waiting of a Shutdown or ShutdownBy in progress, which then responds to the open requests immediately.
func (n *Node) RespondNow() { n.respondNow.Store(true) }
