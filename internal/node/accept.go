package node

import (
	"slices"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/overload"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// take enters a request in the book, if the node keeps up. Its client's time runs from its first byte, whatever has
// passed since; our own lag is taken off.
func (n *Node) take(now float64, x *http1.Exchange, asked protocol.RoutedRequest) {
	q, whole, job := asked.Request, asked.WholeResponseTimeout, asked.Exchange
	if n.endBy > 0 {
		q.ClientTimeLeft = max(0, min(q.ClientTimeLeft, n.endBy-now+time.Since(x.Arrived).Seconds()))
	}
	patience := q.ClientTimeLeft
	v := n.strain.take(now, overload.Request{ClientTimeout: patience, Elapsed: time.Since(x.Arrived).Seconds(), HeldBytes: n.server.Held()})
	if !v.Admitted {
		n.metrics.strained.WithLabelValues(v.Reason).Inc()
		n.metrics.answered("turned_away")
		n.log.Debug("not taken", "request", q.ID, "why", v.Reason, "after", v.RetryAfter)
		n.turnAway(job, outcome.Response{HTTPStatus: 503, Code: "node_overloaded", RetryIsSafe: true}, v.RetryAfter, "the node does not keep up now")
		return
	}
	q.ClientTimeLeft = v.ClientTimeLeft
	if whole > 0 {
		whole -= patience - v.ClientTimeLeft
	}
	no, ok := n.core.book.AddRequest(now, q, whole)
	if !ok {
		n.metrics.answered("turned_away")
		after := 0.0
		if no.RetryIsSafe {
			after = n.strain.back()
		}
		n.log.Debug("not taken", "request", q.ID, "why", no.Code, "after", after)
		n.turnAway(job, no, after, "the node takes no more requests now")
		return
	}
	c := &call{id: q.ID, x: x, job: job, attempts: map[int]try{}, grants: map[int]chan bool{}, started: x.Arrived}
	n.calls[c.id] = c
	c.dueBy, _ = n.core.book.Deadline(c.id)
	n.guard(c)
	x.OnDisconnect(func(half bool) {
		left := n.core.clock.Now()
		n.core.post(func(now float64) {
			if n.calls[c.id] == c {
				c.leftAt = left
				n.log.Debug("client left", "request", c.id, "half", half)
				n.core.book.ClientDisconnected(now, c.id, half)
			}
		})
	})
}

// turnAway answers a request that is not taken.
func (n *Node) turnAway(job protocol.ClientExchange, a outcome.Response, after float64, reason string) {
	w := job.NodeResponse(a, after, reason)
	n.running.start(func() { job.Respond(w) })
}

// guard has the book look at a request when it says that it must, as long as it knows it.
func (n *Node) guard(c *call) {
	at, ok := n.core.book.Deadline(c.id)
	if !ok {
		return
	}
	c.guard = n.core.wheel.Add(at, func(now float64) {
		n.core.book.DeadlineReached(now, c.id)
		if next, ok := n.core.book.Deadline(c.id); ok && next > now {
			n.guard(c)
		}
	})
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
