package node

import (
	"dillroute/internal/decide/permit"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/protocol"
)

// executeCommand implements host.
func (n *Node) executeCommand(now float64, command requesttable.Command) {
	switch c := command.(type) {
	case requesttable.StartAttempt:
		n.startAttempt(now, c)
	case requesttable.CancelAttempt:
		n.cancelAttempt(c)
	case requesttable.GrantResponse:
		n.grantResponse(c)
	case requesttable.ReleaseState:
		n.releaseState(now, c)
	case requesttable.CheckHeldState:
		n.schedule(c.At, func(now float64) { n.checkHeldState(now, c) })
	case requesttable.Respond:
		n.respond(c)
	case requesttable.PassThrough:
		n.passThrough(c)
	case requesttable.ForgetRequest:
		n.forgetRequest(c)
	case requesttable.ReportFault:
		n.reportFault(c)
	}
}

// cancelAttempt cancels an attempt in flight. The end of the attempt is reported by attemptEnded like any other.
func (n *Node) cancelAttempt(command requesttable.CancelAttempt) {
	n.log.Debug("attempt canceled", "request", command.ID, "attempt", command.Attempt, "cause", command.Cause.String())
	request := n.owned.requests[command.ID]
	if request == nil {
		return
	}
	attempt, ok := request.attempts[command.Attempt]
	switch {
	case !ok:
	case !command.OnlyIfNotRun:
		attempt.Cancel(command.Cause)
	case attempt.CancelIfNotRun(command.Cause):
		n.table().AttemptCanceled(command.ID, command.Attempt)
	}
}

// grantResponse delivers the decision to the attempt that waits for it in attemptObserver.RequestGrant.
func (n *Node) grantResponse(command requesttable.GrantResponse) {
	n.log.Debug("response grant decided", "request", command.ID, "attempt", command.Attempt, "granted", command.Granted)
	request := n.owned.requests[command.ID]
	if request == nil || request.responseGrants[command.Attempt] == nil {
		return
	}
	if command.Granted {
		n.loop.owned.timers.Cancel(request.deadlineTimer)
		n.watchDeadline(request) // the table has another deadline now, or none
		request.responseGranted = true
		request.client.ResponseGranted()
	}
	request.responseGrants[command.Attempt] <- command.Granted
}

// respond sends the node's own final response to a client: a complete response, or the end of a stream that has begun.
func (n *Node) respond(command requesttable.Respond) {
	request := n.owned.requests[command.ID]
	if request == nil {
		return
	}
	response := command.Response
	kind := responseFailed
	if response.RetryIsSafe {
		kind = responseRejected
	}
	n.metrics.countResponse(kind)
	n.log.Debug("final response decided", "request", request.id, "status", response.HTTPStatus, "code", response.Code,
		"retry_is_safe", response.RetryIsSafe, "retry_after_s", command.RetryAfter, "reason", command.Reason)
	n.writeResponse(request, request.client.NodeResponse(response, command.RetryAfter, command.Reason))
}

// passThrough sends a client the response with which an engine rejected the request as invalid.
func (n *Node) passThrough(command requesttable.PassThrough) {
	request := n.owned.requests[command.ID]
	if request == nil {
		return
	}
	n.writeResponse(request, request.client.EngineResponse(command.Attempt))
	n.metrics.countResponse(responseInvalidRequest)
}

// writeResponse writes a final response on a goroutine of its own, because the client may be slow to read it.
func (n *Node) writeResponse(request *activeRequest, response protocol.Response) {
	request.responded = true
	if !request.responseGranted { // otherwise this ends a stream, and dueBy was the deadline of its first piece
		n.audit(request.id, permit.Responded{At: n.loop.clock.Now(), DueBy: request.dueBy}.Violations())
	}
	n.jobs.start(func() { request.client.Respond(response) })
}

// forgetRequest removes a request. If its client has received no final response, the client connection is closed.
func (n *Node) forgetRequest(command requesttable.ForgetRequest) {
	request := n.owned.requests[command.ID]
	if request == nil {
		return
	}
	delete(n.owned.requests, command.ID)
	n.log.Debug("request ended", "request", command.ID, "responded", request.responded,
		"client_disconnected", request.disconnectedAt > 0)
	n.loop.owned.timers.Cancel(request.deadlineTimer)
	if !request.responded {
		request.exchange.Abort()
	}
}

// reportFault logs and counts a scheduler action or a reported event that contradicts the request table.
func (n *Node) reportFault(command requesttable.ReportFault) {
	n.log.Error("request table reported a fault", "text", command.Text)
	n.metrics.tableFaults.Inc()
}
