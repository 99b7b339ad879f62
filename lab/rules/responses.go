package rules

import "dillroute/lab/record"

// Rule 1: each attempt of a client gets exactly one final response. The response is correct and begins before the client's patience
// ends. Nothing is sent to an engine after the final response. The time stated to an engine does not exceed the client's remaining
// time.

// addFinalResponse processes a final response, a client's disconnect, or data that a client received after one of them.
func (o *operationRules) addFinalResponse(r record.Record) {
	a := o.attemptOf(r)
	a.finalResponses = append(a.finalResponses, r)
	if n := len(a.finalResponses); n > 1 {
		o.findings.report(1, r.T, "%s attempt %d has %d final responses", r.Op, r.Attempt, n)
		return
	}
	if r.Kind != record.ClientDisconnected {
		o.checkDelivery(r, a)
		o.checkText(r, a)
	}
	o.checkRetryHarmless(r, a)
}

// checkDelivery reports a response that began after the client's patience, and a missing response unless the node was killed while
// the client waited. It does not report a node that accepted no connection.
func (o *operationRules) checkDelivery(response record.Record, a *attempt) {
	request := a.request
	patience := patienceOf(request)
	limit := patience + o.config.AnswerSlack + o.config.Skew
	firstToken := a.firstTokenAt - request.T
	total := response.T - request.T
	switch response.Outcome {
	case record.ConnectionLost, record.TimedOut:
		if !o.kills.within(request.Node, request.T, response.T) {
			o.findings.report(1, response.T, "%s attempt %d was %s: %s", response.Op, response.Attempt, response.Outcome, response.Note)
		}
		return
	case record.Unreachable:
		return
	}
	switch {
	case patience <= 0:
	case a.firstTokenAt > 0 && firstToken > limit:
		o.findings.report(1, a.firstTokenAt, "%s attempt %d had its first token %.3f s after the client's patience ended",
			response.Op, response.Attempt, firstToken-patience)
	case a.firstTokenAt == 0 && total > limit:
		o.findings.report(1, response.T, "%s attempt %d had its final response %.3f s after the client's patience ended",
			response.Op, response.Attempt, total-patience)
	}
}

// checkText checks that the client received the text that the engine generated.
func (o *operationRules) checkText(response record.Record, a *attempt) {
	if (response.Outcome == record.Served || a.firstTokenAt > 0) && !response.OK {
		o.findings.report(0, response.T, "%s attempt %d (%s): parts of the text are repeated, missing or mixed with another response",
			response.Op, response.Attempt, response.Outcome)
	}
}

// checkArrival processes the arrival of a node's attempt at an engine. It checks the stated time, and that the client's attempt had no
// final response yet.
func (o *operationRules) checkArrival(r record.Record) {
	a := o.attemptOf(r)
	o.checkStatedTime(r, a.request)
	for _, response := range a.finalResponses {
		if r.T > response.T+o.config.Skew {
			o.findings.report(1, r.T, "%s attempt %d was sent to %s %.3f s after its final response", r.Op, r.Attempt, r.Engine,
				r.T-response.T)
			return
		}
	}
}

// checkStatedTime checks that the time that the node stated to the engine does not exceed the client's remaining time.
func (o *operationRules) checkStatedTime(r, request record.Record) {
	if o.config.StatedTimeSlack <= 0 || request.T <= 0 {
		return
	}
	remaining := request.T + patienceOf(request) - r.T
	if r.StatedTime > max(0, remaining)+o.config.StatedTimeSlack+o.config.Skew {
		o.findings.report(1, r.T, "%s attempt %d: the time stated to %s is %.3f s, but the client has %.3f s left",
			r.Op, r.Attempt, r.Engine, r.StatedTime, remaining)
	}
}

// reportMissing reports the attempts of an operation that have no final response; each is reported once.
func (o *operationRules) reportMissing(id string, op *operation) {
	for number, a := range op.attempts {
		if len(a.finalResponses) == 0 && a.request.T > 0 && !a.reportedAsMissing {
			a.reportedAsMissing = true
			o.findings.report(1, a.request.T, "%s attempt %d has no final response", id, number)
		}
	}
}
