package node

import (
	"strconv"

	"dillroute/internal/decide/permit"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
)

// audit counts and logs the rules that were broken. It judges what was done by the times at which it was done, not by the
// permits that were asked for before (internal/decide/permit).
func (n *Node) audit(requestID string, broken []permit.Violation) {
	for _, v := range broken {
		n.metrics.ruleViolations.WithLabelValues(strconv.Itoa(v.Rule), string(v.Reason)).Inc()
		n.log.Error("rule violated", "rule", v.Rule, "reason", string(v.Reason), "request", requestID)
	}
}

// auditAttempt judges an attempt that has ended, if a byte of it was written.
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

// connectionClosed counts, logs and judges the end of a client connection.
func (n *Node) connectionClosed(conn http1.ConnClosed) {
	n.metrics.connectionsClosed.WithLabelValues(string(conn.Reason)).Inc()
	n.log.Debug("connection closed", "reason", string(conn.Reason), "requests", conn.Requests)
	n.audit("", permit.Closed{Unanswered: conn.Unanswered}.Violations())
}
