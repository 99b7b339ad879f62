package node

import (
	"strconv"

	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// audit counts and logs rule violations. They are determined afterwards, from the times at which things were done, and not from the
// permits that were requested before (internal/decide/permit).
func (n *Node) audit(requestID string, violations []permit.Violation) {
	for _, v := range violations {
		n.metrics.ruleViolations.WithLabelValues(strconv.Itoa(v.Rule), string(v.Reason)).Inc()
		n.log.Error("rule violated", "rule", v.Rule, "reason", string(v.Reason), "request", requestID)
	}
}

// auditAttempt checks an attempt that has ended against the rules, if a byte of its request was written.
func (n *Node) auditAttempt(request *activeRequest, attempt attemptInFlight, result protocol.Result) {
	if result.FirstByteAt.IsZero() {
		return
	}
	n.audit(request.id, permit.Written{
		At:                   n.loop.clock.SecondsAt(result.FirstByteAt),
		ClientDisconnectedAt: request.disconnectedAt,
		ClientDeadline:       attempt.clientDeadline,
		DedupWindowEnd:       attempt.writeBy,
		DrainingSince:        n.table().DrainingSince(attempt.engine),
		DrainGrace:           n.config.table.DrainGrace,
	}.Violations())
}

// mayCloseIdle reports whether an idle client connection may be closed.
func (n *Node) mayCloseIdle(conn http1.IdleConn) bool {
	request := permit.CloseIdle{
		Evicts:  conn.Evicts,
		IdleFor: conn.IdleFor.Seconds(),
		MinIdle: n.config.timeouts.MinIdle().Seconds(),
	}
	return request.Reason() == permit.Allowed
}

// connectionClosed counts and logs a client connection that was closed, and checks it against the rules.
func (n *Node) connectionClosed(conn http1.ConnClosed) {
	n.metrics.connectionsClosed.WithLabelValues(string(conn.Reason)).Inc()
	n.log.Debug("connection closed", "reason", string(conn.Reason), "requests", conn.Requests)
	n.audit("", permit.Closed{Unanswered: conn.Unanswered}.Violations())
}
