package requesttable

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// attempt is one attempt of a request.
type attempt struct {
	n         int // its number among the module's
	engine    string
	stage     outcome.Stage
	sentAt    float64
	over      bool
	aborting  bool
	streaming bool
	withState bool
	stateN    int // the attempt that read the state which this one fetches
}

// attempt returns an attempt by its number; nil = it was never begun.
func (e *requestRecord) attempt(n int) *attempt {
	for i := range e.attempts {
		if e.attempts[i].n == n {
			return &e.attempts[i]
		}
	}
	return nil
}

// took tells whether the attempt was given the state that the entry holds.
func (t *attempt) took(e *requestRecord) bool { return t.withState && t.stateN == e.stateN }

// send checks an attempt against the rules and starts it. One that may not be made ends at once as not sent.
func (l *Table) send(now float64, a scheduler.Send) {
	e := l.records[a.ID]
	if e == nil {
		l.fault("send for %s, which is not open", a.ID)
		return
	}
	n, s := e.sent, l.engines[a.Engine]
	e.sent++
	t := attempt{n: n, engine: a.Engine, sentAt: now, stage: outcome.Decode}
	if s != nil && s.role == scheduler.Prefill {
		t.stage = outcome.Prefill
	}
	t.withState, t.stateN = t.stage == outcome.Decode && e.state != "", e.stateN
	if why := l.maySend(now, e, s, &t); why != permit.Allowed {
		if why != permit.RequestEnded { // else its client left, or its answer began, while the module was deciding
			l.fault("send of %s to %s: %s", a.ID, a.Engine, why)
		}
		l.emit(scheduler.Outcome{ID: a.ID, Attempt: n, Engine: a.Engine, Status: scheduler.NotSent, Closed: e.concluded})
		return
	}
	writeBy := l.repeatBy(e) // of the attempts before this one
	e.attempts = append(e.attempts, t)
	e.out++
	l.do(StartAttempt{ID: a.ID, Engine: a.Engine, Attempt: n, Stage: t.stage, FetchState: t.withState, StateAttempt: e.stateN, HeldSince: e.stateAt, HeldSinceIfUndelivered: e.heldAt,
		Timeout: a.Timeout, WriteBy: writeBy})
}

// left is how many attempts a request may still have.
func (l *Table) left(e *requestRecord) int {
	counted := len(e.attempts)
	if l.config.UnsentAttemptsAreFree {
		counted -= min(e.unsent, l.config.MaxAttempts)
	}
	return l.config.MaxAttempts - counted
}

// maySend says why an attempt may not be begun.
func (l *Table) maySend(now float64, e *requestRecord, s *engineRecord, t *attempt) permit.Reason {
	ask := permit.Send{RequestEnded: e.concluded || e.answering, AttemptsLeft: l.left(e), EngineKnown: s != nil, DrainGrace: l.config.DrainGrace,
		Repeat: l.repeat(now, e, t.engine)}
	if s != nil {
		ask.Draining, ask.DrainingFor = s.state != scheduler.EngineReady, now-s.since
	}
	return ask.Reason()
}

// repeat is a further attempt of a request at an engine, as rule 2 has it.
func (l *Table) repeat(now float64, e *requestRecord, engine string) permit.Repeat {
	on, at, ran := e.mayRun()
	r := permit.Repeat{Effect: e.class.Effect, DedupScope: e.class.DedupScope, MayHaveRun: ran, SinceFirst: now - at, DedupWindow: e.class.DedupWindow}
	if a, b := l.engines[on], l.engines[engine]; a != nil && b != nil {
		r.EnginesKnown, r.SameCell, r.SameZone = true, a.cell == b.cell, a.zone == b.zone
	}
	return r
}

// mayRun returns where and when the first attempt was sent that may have run, or may yet.
func (e *requestRecord) mayRun() (on string, at float64, ran bool) {
	if e.ran {
		return e.ranOn, e.ranAt, true
	}
	for i := range e.attempts {
		if x := &e.attempts[i]; !x.over && x.stage == outcome.Decode {
			return x.engine, x.sentAt, true
		}
	}
	return "", 0, false
}

// repeatBy is when the time ends in which a repeat of a keyed request is known as one; 0 = there is no such time.
func (l *Table) repeatBy(e *requestRecord) float64 {
	if _, at, ran := e.mayRun(); ran && e.class.Effect == scheduler.IdempotentByKey {
		return at + e.class.DedupWindow
	}
	return 0
}

// cancel ends an attempt that has not begun to stream.
func (l *Table) cancel(a scheduler.Cancel) {
	e := l.records[a.ID]
	if e == nil {
		return // it had ended
	}
	if t := e.attempt(a.Attempt); t != nil && !t.over && !t.streaming && !t.aborting {
		t.aborting = true
		l.do(CancelAttempt{a.ID, a.Attempt, outcome.CanceledByScheduler})
	}
}

// AttemptNotDelivered is told that the request of an attempt has not reached its engine in the time for which the state may be held that it is to
// take. Such an attempt does not stop that time: it is called off, so that the state can be released.
func (l *Table) AttemptNotDelivered(id string, n int) {
	if e := l.records[id]; e != nil && e.state != "" {
		l.cancel(scheduler.Cancel{ID: id, Attempt: n})
	}
}

// FirstToken is told when the first token of an attempt has come; the attempt waits for its Grant.
func (l *Table) FirstToken(now float64, id string, n int) {
	e := l.records[id]
	if e == nil || e.attempt(n) == nil {
		l.fault("first token for %s, attempt %d, which is not open", id, n)
		return
	}
	t := e.attempt(n)
	if e.concluded || e.answering || t.over || t.aborting {
		l.do(GrantResponse{id, n, false})
		return
	}
	e.answering, t.streaming = true, true
	if e.state != "" && !t.took(e) { // it read the prompt itself
		l.letGo(id, e, ReleaseState{Engine: e.state, Attempt: e.stateN})
	}
	e.state = "" // else the fetch has ended: the reader let its memory go
	l.do(GrantResponse{id, n, true})
	l.emit(scheduler.FirstToken{ID: id, Attempt: n, Engine: t.engine, Spent: now - t.sentAt})
	for i := range e.attempts { // a second copy has lost
		if o := &e.attempts[i]; o != t && !o.over && !o.aborting {
			o.aborting = true
			l.do(CancelAttempt{id, o.n, outcome.CanceledByScheduler})
		}
	}
}

// AttemptEnded is told, once, when an attempt has ended. The report may be nil.
func (l *Table) AttemptEnded(now float64, id string, n int, f outcome.Evidence, rep *scheduler.LoadReport) {
	e := l.records[id]
	if e == nil || e.attempt(n) == nil || e.attempt(n).over {
		l.fault("end of attempt %d of %s, which is not out", n, id)
		return
	}
	t := e.attempt(n)
	t.over = true
	e.out--
	f.Stage, f.ConfirmedElsewhere = t.stage, e.rejected != 0 && e.rejected == f.Code
	f.LastAttempt = l.left(e) <= 0
	if t.streaming {
		f.Progress = outcome.Streaming
	}
	v := outcome.Classify(f)
	e.unheard = e.unheard || f.Cause != outcome.ResponseComplete && f.Progress >= outcome.RequestWritten
	if f.Progress < outcome.RequestWritten && f.Cause != outcome.ResponseComplete {
		e.unsent++
	}
	e.unproven = e.unproven || !outcome.ProvesNotRun(f)
	if f.Cause == outcome.ResponseComplete && f.ResponseKind == outcome.InvalidRequest && !v.PassThrough {
		e.rejected = f.Code
	}
	if v.MayHaveRun && e.ran && e.class.Effect == scheduler.AtMostOnce {
		l.fault("%s may have run at %s and at %s", id, e.ranOn, t.engine)
	}
	if v.MayHaveRun && !e.ran {
		e.ran, e.ranOn, e.ranAt = true, t.engine, t.sentAt
	}
	l.states(now, id, e, n, v)
	e.outcome(now, f)
	l.flush(e)
	closed := l.closes(id, e, n, v)
	l.emit(scheduler.Outcome{ID: id, Attempt: n, Engine: t.engine, Status: v.Status, Info: v.Info,
		Spent: now - t.sentAt, Closed: closed || e.concluded, Report: rep})
	if t.streaming && e.farewell != nil {
		if v.Status != scheduler.Completed { // else the answer was whole before it could be stopped
			l.do(*e.farewell)
		}
		e.farewell = nil
	}
	if closed {
		l.conclude(id, e, outcome.RequestEnded)
	}
	l.settle(id, e)
}

// outcome notes that the time of what is held runs from the latest outcome of an attempt that was out.
func (e *requestRecord) outcome(now float64, f outcome.Evidence) {
	if f.Progress < outcome.RequestWritten {
		return
	}
	e.stateAt = now
	if e.silent = outcome.Silent(f); !e.silent {
		e.heldAt = now
	}
}

// states keeps the book of the state that waits at a reader.
func (l *Table) states(now float64, id string, e *requestRecord, n int, v outcome.Classification) {
	t := e.attempt(n)
	switch {
	case v.Status == scheduler.Prefilled:
		if e.state != "" { // read twice: one of the two will not be taken
			l.letGo(id, e, ReleaseState{Engine: e.state, Attempt: e.stateN})
		}
		e.state, e.stateN = t.engine, n
	case v.MayHoldState, l.config.ReleaseFreesAllStates && !t.withState && v.MayHaveRun && v.Status != scheduler.Completed:
		// Cut reads may have ended well, and an engine that read for itself keeps what it has read.
		l.letGo(id, e, ReleaseState{Engine: t.engine, Attempt: n, CutAt: now})
	case t.took(e) && (v.Status == scheduler.Rejected && v.Info == 1 || v.Status == scheduler.Completed && !v.PassThrough):
		if l.config.ReleaseFreesAllStates && v.Status == scheduler.Rejected { // gone for the writer; the reader may know better
			l.letGo(id, e, ReleaseState{Engine: e.state, Attempt: e.stateN})
		}
		e.state = ""
	}
}

// closes settles what the end of an attempt means for the client. An answer that began and broke
// ends the request: the client has part of it, and the module is told so.
func (l *Table) closes(id string, e *requestRecord, n int, v outcome.Classification) bool {
	t := e.attempt(n)
	switch {
	case e.concluded:
		return false
	case v.PassThrough:
		l.do(PassThrough{id, n})
		return true
	case t.streaming && v.Status == scheduler.Completed:
		return true
	case t.streaming:
		a := outcome.StreamBrokenResponse(e.class.Effect, e.class.DedupScope)
		l.do(Respond{id, a, 0, "the engine stopped before the answer was complete"})
		return true
	}
	return false
}
