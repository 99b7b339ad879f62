package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// answer concludes a request by the node's own word. A refusal after an effect is possible would be a lie: it
// becomes a failure.
func (l *Table) answer(now float64, id string, a outcome.Response, after float64, reason string) {
	e := l.records[id]
	if e == nil || e.concluded || e.answering {
		return
	}
	if why := e.mayRefuse(now); a.RetryIsSafe && why != permit.Allowed {
		if _, _, ran := e.mayRun(); ran && why == permit.EffectPossible {
			l.fault("refusal of %s, which may have run", id)
		}
		a, after = outcome.FailedResponse(), 0
	}
	l.say(e, Respond{id, a, after, reason})
	l.conclude(id, e, outcome.RequestEnded)
}

// mayRefuse says why a client may not be told that a retry is harmless.
func (e *requestRecord) mayRefuse(now float64) permit.Reason {
	return permit.Reject{Effect: e.class.Effect, DedupScope: e.class.DedupScope, ProvenNotRun: e.provenNotRun(), OutcomeUnknown: e.unheard,
		ClientTimeLeft: e.deadline - now}.Reason()
}

// say gives an answer now, or when the attempt that writes to the client has stopped.
func (l *Table) say(e *requestRecord, a Respond) {
	for i := range e.attempts {
		if t := &e.attempts[i]; t.streaming && !t.over {
			e.farewell = &a
			return
		}
	}
	l.do(a)
}

// provenNotRun tells whether the bytes of every attempt prove that it has not run: it has ended, and either not all of its
// request was written or its engine has answered that it did not run. That a read has no effect is no such proof: it rests on
// which engine was met at its address, and that an engine which said nothing cannot tell.
func (e *requestRecord) provenNotRun() bool { return !e.ran && !e.unproven && e.out == 0 }

// conclude ends what the client is owed and stops what is still out: nothing is done for it after.
func (l *Table) conclude(id string, e *requestRecord, cause outcome.Cause) {
	if e.concluded {
		return
	}
	e.concluded = true
	l.live--
	for i := range e.attempts {
		if t := &e.attempts[i]; !t.over && !t.aborting {
			t.aborting = true
			l.do(CancelAttempt{id, t.n, cause})
		}
	}
	l.settle(id, e)
}

// ClientDisconnected is told when a client has gone. Where its receiving side may still be open (half), it gets an answer.
func (l *Table) ClientDisconnected(now float64, id string, half bool) {
	e := l.records[id]
	if e == nil || e.concluded {
		return
	}
	if half {
		retry := e.mayRefuse(now) == permit.Allowed
		l.say(e, Respond{id, outcome.Response{HTTPStatus: 400, Code: "client_closed", RetryIsSafe: retry}, 0,
			"the client closed its side before the answer; keep it open until then"})
	}
	l.emit(scheduler.ClientDisconnected{ID: id})
	l.conclude(id, e, outcome.ClientDisconnected)
}

// DeadlineReached is told when the time of Deadline has come. The module answers before it; this is the net under it.
func (l *Table) DeadlineReached(now float64, id string) {
	e := l.records[id]
	switch {
	case e == nil || e.concluded:
		return
	case e.answering:
		if e.wholeBy > 0 && now >= e.wholeBy {
			l.giveUp(now, id, e, outcome.DeadlineResponse(e.class.Effect, e.class.DedupScope), "the answer was not whole in time")
		}
		return
	}
	l.fault("request %s was not answered in time by the module", id)
	l.giveUp(now, id, e, outcome.Response{HTTPStatus: 503, Code: "no_capacity", RetryIsSafe: true}, "no answer in time")
}

// giveUp answers in the module's place and tells it so.
func (l *Table) giveUp(now float64, id string, e *requestRecord, a outcome.Response, reason string) {
	if a.RetryIsSafe && e.mayRefuse(now) != permit.Allowed {
		a = outcome.FailedResponse()
	}
	l.say(e, Respond{id, a, 0, reason})
	l.emit(scheduler.ClientDisconnected{ID: id})
	l.conclude(id, e, outcome.RequestEnded)
}

// RespondToAll answers every request that is still open, as refused where that is true and else as failed. Streams
// that run are ended with an error.
func (l *Table) RespondToAll(now float64) { l.end(now, true) }

// Streams returns the requests whose answers run, in order of their ids, with the times at which they were sent.
func (l *Table) Streams() (ids []string, sent []float64) {
	for _, id := range sortedKeys(l.records) {
		e := l.records[id]
		for i := range e.attempts {
			if t := &e.attempts[i]; t.streaming && !t.over && !e.concluded {
				ids, sent = append(ids, id), append(sent, t.sentAt)
			}
		}
	}
	return ids, sent
}

// CutStream ends a stream whose client comes again for the rest. It does nothing to what does not stream.
func (l *Table) CutStream(now float64, id string) {
	if e := l.records[id]; e != nil && e.answering && !e.concluded {
		l.giveUp(now, id, e, outcome.Response{HTTPStatus: 503, Code: "node_stopping", RetryIsSafe: true}, "the node is stopping")
	}
}

// RespondToQueued answers every request whose answer has not begun.
func (l *Table) RespondToQueued(now float64) { l.end(now, false) }

func (l *Table) end(now float64, streams bool) {
	for _, id := range sortedKeys(l.records) {
		e := l.records[id]
		if e.concluded || e.answering && !streams {
			continue
		}
		a := outcome.Response{HTTPStatus: 503, Code: "node_stopping", RetryIsSafe: true}
		l.giveUp(now, id, e, a, "the node is stopping")
	}
}
