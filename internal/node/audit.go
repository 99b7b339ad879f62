package node

import (
	"strconv"

	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// audit counts and logs the rules that something broke. What is done is judged by the times at which it was, not by what was asked
// before (internal/decide/permit).
func (n *Node) audit(request string, broken []permit.Violation) {
	for _, v := range broken {
		n.metrics.violations.WithLabelValues(strconv.Itoa(v.Rule), string(v.Reason)).Inc()
		n.log.Error("rule violated", "rule", v.Rule, "reason", string(v.Reason), "request", request)
	}
}

// auditAttempt judges an attempt that has ended, if a byte of it was written.
func (n *Node) auditAttempt(c *call, t try, r protocol.Result) {
	if r.FirstByteAt.IsZero() {
		return
	}
	n.audit(c.id, permit.Written{At: n.core.clock.Of(r.FirstByteAt), ClientDisconnectedAt: c.leftAt, ClientDeadline: t.endsAt, DedupWindowEnd: t.writeBy,
		DrainingSince: n.core.book.DrainingSince(t.engine), DrainGrace: n.plan.book.DrainGrace}.Violations())
}

// mayEnd says whether a client's connection that rests may be ended.
func (n *Node) mayEnd(r http1.IdleConn) bool {
	ask := permit.CloseIdle{Evicts: r.Evicts, IdleFor: r.IdleFor.Seconds(), MinIdle: n.plan.times.MinIdle().Seconds()}
	return ask.Reason() == permit.Allowed
}

// noteClosing files the end of a client's connection.
func (n *Node) noteClosing(c http1.ConnClosed) {
	n.metrics.closes.WithLabelValues(string(c.Reason)).Inc()
	n.log.Debug("connection closed", "reason", string(c.Reason), "requests", c.Requests)
	n.audit("", permit.Closed{Unanswered: c.Unanswered}.Violations())
}
