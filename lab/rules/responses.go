package rules

import "dillroute/lab/record"

// Rule 1: each attempt of a client gets exactly one final response, correct and within the client's patience; nothing is sent to
// an engine after it; and no engine is told that the client has more time than it has.

// responded takes a final response, the disconnect of a client, or what came after either.
func (o *operationRules) responded(r record.Record) {
	a := o.attemptOf(r)
	a.finalResponses = append(a.finalResponses, r)
	if n := len(a.finalResponses); n > 1 {
		o.found.report(1, r.T, "%s try %d has %d final answers", r.Op, r.Try, n)
		return
	}
	if r.Kind != record.ClientDisconnected {
		o.checkDelivery(r, a)
		o.checkText(r, a)
	}
	o.checkRetryHarmless(r, a)
}

// checkDelivery checks that a final response arrived, and in time.
func (o *operationRules) checkDelivery(response record.Record, a *attempt) {
	request := a.request
	patience := patienceOf(request)
	limit := patience + o.config.AnswerSlack + o.config.Skew
	firstToken := a.firstTokenAt - request.T
	total := response.T - request.T
	switch response.Outcome {
	case record.Cut, record.TimedOut:
		if !o.kills.within(request.Node, request.T, response.T) {
			o.found.report(1, response.T, "%s try %d was %s: %s", response.Op, response.Try, response.Outcome, response.Note)
		}
		return
	case record.Unreachable:
		return
	}
	switch {
	case patience <= 0:
	case a.firstTokenAt > 0 && firstToken > limit:
		o.found.report(1, a.firstTokenAt, "%s try %d began %.3f s after the client's patience",
			response.Op, response.Try, firstToken-patience)
	case a.firstTokenAt == 0 && total > limit:
		o.found.report(1, response.T, "%s try %d was answered %.3f s after the client's patience",
			response.Op, response.Try, total-patience)
	}
}

// checkText checks that what the client received is what the engine made.
func (o *operationRules) checkText(response record.Record, a *attempt) {
	if (response.Outcome == record.Served || a.firstTokenAt > 0) && !response.OK {
		o.found.report(0, response.T, "%s try %d (%s): the text repeats, lacks or mixes something",
			response.Op, response.Try, response.Outcome)
	}
}

// arrivedAtEngine checks what a node sent to an engine for an attempt of a client.
func (o *operationRules) arrivedAtEngine(r record.Record) {
	a := o.attemptOf(r)
	o.checkStatedTime(r, a.request)
	for _, response := range a.finalResponses {
		if r.T > response.T+o.config.Skew {
			o.found.report(1, r.T, "%s try %d was sent to %s %.3f s after its final answer", r.Op, r.Try, r.Engine, r.T-response.T)
			return
		}
	}
}

// checkStatedTime checks the time that the node stated to the engine against the time that the client still waits.
func (o *operationRules) checkStatedTime(r, request record.Record) {
	if o.config.StatedTimeSlack <= 0 || request.T <= 0 {
		return
	}
	remaining := request.T + patienceOf(request) - r.T
	if r.StatedTime > max(0, remaining)+o.config.StatedTimeSlack+o.config.Skew {
		o.found.report(1, r.T, "%s try %d: %s was told %.3f s, its client has %.3f s left", r.Op, r.Try, r.Engine, r.StatedTime, remaining)
	}
}

// reportMissing reports the attempts of an operation that have no final response by now.
func (o *operationRules) reportMissing(id string, op *operation) {
	for number, a := range op.attempts {
		if len(a.finalResponses) == 0 && a.request.T > 0 && !a.reportedAsMissing {
			a.reportedAsMissing = true
			o.found.report(1, a.request.T, "%s try %d has no final answer", id, number)
		}
	}
}
