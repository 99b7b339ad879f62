package node

import (
	"context"
	"log/slog"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// startAttempt starts an attempt on a goroutine of its own.
func (n *Node) startAttempt(now float64, command requesttable.StartAttempt) {
	request := n.owned.requests[command.ID]
	if request == nil { // the table and the host disagree: log it and report the attempt as never sent
		n.log.Error("attempt of an unknown request not started", "request", command.ID)
		n.table().AttemptEnded(now, command.ID, command.Attempt, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
		return
	}
	timeout, clientDeadline := n.attemptLimits(now, command)
	attempt := request.client.Attempt(n.attemptSpec(now, command, timeout, clientDeadline))
	request.attempts[command.Attempt] = attemptInFlight{
		Attempt:        attempt,
		engine:         command.Engine,
		writeBy:        command.WriteBy,
		clientDeadline: clientDeadline,
	}
	n.log.Debug("attempt started", "request", command.ID, "attempt", command.Attempt, "engine", command.Engine,
		"stage", command.Stage.String(), "fetches_state", command.FetchState, "timeout_s", timeout)
	observer := &attemptObserver{
		node:      n,
		request:   request,
		number:    command.Attempt,
		engine:    command.Engine,
		startedAt: now,
		grant:     make(chan bool, 1),
	}
	request.responseGrants[command.Attempt] = observer.grant
	release := request.release
	n.jobs.start(func() {
		release.await()
		n.attemptEnded(command, now, attempt.Run(observer))
	})
}

// attemptLimits returns the timeout of an attempt and the time of the client's deadline (s). The timeout does not extend beyond the request
// table's deadline for the request, at which the table itself responds. The client's deadline is ResponseSlack earlier than that. The
// command's own timeout, if it has one, limits both. It is the only limit if the table has no deadline for the request.
func (n *Node) attemptLimits(now float64, command requesttable.StartAttempt) (timeout, clientDeadline float64) {
	at, ok := n.table().Deadline(command.ID)
	if !ok {
		return command.Timeout, now + command.Timeout
	}
	timeLeft := at - now
	return shorterTimeout(command.Timeout, timeLeft), now + shorterTimeout(command.Timeout, timeLeft-n.config.table.ResponseSlack)
}

// shorterTimeout returns the shorter of a timeout and the time left. A timeout of 0 or less means that there is none.
func shorterTimeout(timeout, timeLeft float64) float64 {
	if timeout <= 0 {
		return timeLeft
	}
	return min(timeout, timeLeft)
}

// attemptSpec returns the description of an attempt for the protocol.
func (n *Node) attemptSpec(now float64, command requesttable.StartAttempt, timeout, clientDeadline float64) protocol.AttemptSpec {
	spec := protocol.AttemptSpec{
		Number:         command.Attempt,
		Address:        n.endpoint(command.Engine).address,
		Stage:          command.Stage,
		FetchState:     command.FetchState,
		StateAttempt:   command.StateAttempt,
		Timeout:        max(time.Millisecond, seconds(timeout)),
		ClientDeadline: n.loop.clock.TimeAt(clientDeadline),
	}
	if command.WriteBy > 0 {
		spec.WriteBy = time.Now().Add(seconds(command.WriteBy - now))
	}
	return spec
}

// attemptEnded reports the end of an attempt to the event loop. It is called on the goroutine of the attempt.
func (n *Node) attemptEnded(command requesttable.StartAttempt, startedAt float64, result protocol.Result) {
	n.loop.post(func(now float64) {
		n.recordAttemptResult(now, command.Engine, startedAt, result.Evidence.Cause)
		request := n.owned.requests[command.ID]
		if request == nil {
			return
		}
		n.checkDescriptors(result.Err)
		n.logAttemptEnd(command, request, result)
		request.client.AttemptEnded(command.Attempt, result)
		n.auditAttempt(request, request.attempts[command.Attempt], result)
		delete(request.attempts, command.Attempt)
		delete(request.responseGrants, command.Attempt)
		evidence := result.Evidence
		if evidence.Cause == outcome.ClientDisconnected {
			// Before any byte was written to the engine, the socket shows only that the client has stopped sending. The client may still
			// wait for a response.
			halfClosed := result.FirstByteAt.IsZero()
			n.table().ClientDisconnected(now, command.ID, halfClosed)
		}
		if evidence.Cause == outcome.ResponseComplete && evidence.ResponseKind == outcome.DecodeDone {
			n.metrics.countResponse(responseCompleted)
		}
		n.table().AttemptEnded(now, command.ID, command.Attempt, evidence, result.Report)
	})
}

// logAttemptEnd logs the end of an attempt. The arguments are only computed if the level is enabled. If a state of the request was
// released at its limit, the end is logged for operators: the engine may have held the state until the attempt ended.
func (n *Node) logAttemptEnd(command requesttable.StartAttempt, request *activeRequest, result protocol.Result) {
	level := slog.LevelDebug
	if request.releasedAtLimit {
		level = slog.LevelInfo
	}
	if !n.log.Enabled(context.Background(), level) {
		return
	}
	text := ""
	if result.Err != nil {
		text = result.Err.Error()
	}
	evidence := result.Evidence
	n.log.Log(context.Background(), level, "attempt ended", "request", command.ID, "attempt", command.Attempt, "engine", command.Engine,
		"progress", evidence.Progress.String(), "cause", evidence.Cause.String(), "response_kind", evidence.ResponseKind.String(),
		"prefill_process", evidence.PrefillProcess, "decode_header", evidence.DecodeHeader, "error", text, "load_report", result.Report)
}

// checkDescriptors records a descriptor shortage if err says that the process has no file descriptor left.
func (n *Node) checkDescriptors(err error) {
	if err != nil && http1.IsProcessDescriptorLimit(err) {
		n.descriptorShortage(n.server.Conns())
	}
}

// attemptObserver reports the progress of one running attempt to the event loop. It implements protocol.AttemptObserver.
type attemptObserver struct {
	node    *Node
	request *activeRequest
	number  int
	engine  string

	startedAt float64   // (s)
	grant     chan bool // receives the decision whether the attempt may respond to the client
}

// LoadReported forwards the load report at the start of the engine's response to the request table, as the result of a health check.
func (o *attemptObserver) LoadReported(report *scheduler.LoadReport) {
	if report == nil {
		return
	}
	o.node.loop.post(func(float64) {
		o.node.table().ProbeResult(scheduler.ProbeResult{Engine: o.engine, Status: scheduler.Completed, Report: report})
	})
}

// RequestGrant waits for the decision whether this attempt may write to the client. It returns false once the event loop has ended.
func (o *attemptObserver) RequestGrant() bool {
	if !o.node.loop.post(o.reportFirstToken) {
		return false
	}
	select {
	case granted := <-o.grant:
		if !granted {
			return false
		}
	case <-o.node.loop.done:
		return false
	}
	o.node.metrics.timeToFirstToken.Observe(time.Since(o.request.startedAt).Seconds())
	return true
}

// reportFirstToken reports the first token of the attempt to the request table.
func (o *attemptObserver) reportFirstToken(now float64) {
	o.node.recordAttemptResult(now, o.engine, o.startedAt, outcome.ResponseComplete)
	if o.node.owned.requests[o.request.id] != o.request {
		o.grant <- false
		return
	}
	o.node.table().FirstToken(now, o.request.id, o.number)
}
