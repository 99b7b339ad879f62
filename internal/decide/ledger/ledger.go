// Package ledger is the node's book of requests and attempts: a state machine between the sockets and the routing
// module. It is told facts of sockets and actions of the module, and says which events the module is owed and
// which commands the host is to carry out. It does no I/O, reads no clock and starts no goroutine.
//
// It decides nothing about where or when; it holds what both sides agreed on. One final answer for each request,
// one event for the end of each attempt, no send for what has ended, none to an engine that left the list, none
// that could make an effect happen twice: an action that would break one of these is not carried out but
// reported (Fault), for the rules must hold even if the module errs.
//
// Order of carrying out: commands are returned in the order in which they must begin. Release comes after the
// attempt that it follows has ended.
package ledger

import (
	"fmt"

	"dillroute/brain"
	"dillroute/internal/decide/ending"
)

// Config is what the book needs of the node's settings.
type Config struct {
	Classes     []brain.Class
	MaxOpen     int     // requests held at once
	MaxAttempts int     // for one request
	UnsentFree  bool    // those that ended before their request was written do not count, up to as many again
	Slack       float64 // s after a client's deadline at which the book answers by itself
	DrainGrace  float64 // s after which nothing goes to an engine that drains or is gone
	// ReleaseAll tells that one release lets go of all that any engine holds for a request. It then waits until no
	// attempt is out and no state is wanted.
	ReleaseAll bool
}

// Command is something that the host is to carry out.
type Command interface{ command() }

// Start begins an attempt. Timeout is in seconds, 0 = none but the client's own. WriteBy is when its request must have been
// written, for a repeat is known as one for so long only; 0 = at any time.
type Start struct {
	ID, Engine string
	N          int
	Stage      ending.Stage
	State      bool // a state waits and is to be fetched
	StateN     int  // from this attempt
	Timeout    float64
	WriteBy    float64
}

// Abort ends an attempt that is out, for the cause given; its end is still to be reported.
type Abort struct {
	ID    string
	N     int
	Cause ending.Cause
}

// Grant gives the client's answer to an attempt: from now on it alone writes there. Denied tells it to stop.
type Grant struct {
	ID string
	N  int
	OK bool
}

// Release lets go of the state that an engine may hold from the attempt N; with Config.ReleaseAll, of all that is held
// for the request. Wanted tells whether it may still be made. CutAt is when the attempt was broken off, in which case its
// engine may hold something only a moment later; 0 = what is to be released is held already.
type Release struct {
	ID, Engine string
	N          int
	CutAt      float64
}

// Answer is the node's own final answer to a client.
type Answer struct {
	ID         string
	Answer     ending.Answer
	RetryAfter float64 // s; 0 = no advice
	Reason     string
}

// Pass gives the client the answer by which an engine has judged its request.
type Pass struct {
	ID string
	N  int
}

// Forget tells that nothing more will come for a request.
type Forget struct{ ID string }

// Fault tells of an action or a fact that the book could not allow.
type Fault struct{ Text string }

func (Start) command()   {}
func (Abort) command()   {}
func (Grant) command()   {}
func (Release) command() {}
func (Answer) command()  {}
func (Pass) command()    {}
func (Forget) command()  {}
func (Fault) command()   {}

// attempt is one attempt of a request.
type attempt struct {
	n         int // its number among the module's
	engine    string
	stage     ending.Stage
	sentAt    float64
	over      bool
	aborting  bool
	streaming bool
	withState bool
	stateN    int // the attempt that read the state which this one fetches
}

// entry is one request, until it has ended and no attempt is out and no state is held.
type entry struct {
	class     *brain.Class
	deadline  float64
	wholeBy   float64   // when an answer that is gathered must have ended; 0 = it is streamed
	attempts  []attempt // those that were begun
	sent      int       // attempts that the module has asked for
	out       int       // attempts that have not ended
	state     string    // engine at which a read state waits; "" = none
	stateN    int       // the attempt that read it
	ran       bool      // an attempt that has ended may have run
	ranOn     string
	ranAt     float64
	unheard   bool    // an attempt was written whole and ended without an answer
	unsent    int     // attempts that ended before their request was written
	unproven  bool    // the bytes of an attempt that has ended do not prove that it has not run
	answering bool    // the answer belongs to an attempt
	concluded bool    // the client has its answer, or has gone
	rejected  int     // code by which an engine has judged the request
	farewell  *Answer // given once the attempt that streams has stopped writing
	// ReleaseAll: releases that are owed, each nil = none is.
	owed    *Release // of a state that is held
	owedCut *Release // of what an attempt that was broken off may have left
}

// attempt returns an attempt by its number; nil = it was never begun.
func (e *entry) attempt(n int) *attempt {
	for i := range e.attempts {
		if e.attempts[i].n == n {
			return &e.attempts[i]
		}
	}
	return nil
}

// took tells whether the attempt was given the state that the entry holds.
func (t *attempt) took(e *entry) bool { return t.withState && t.stateN == e.stateN }

// seen is what the book knows of an engine.
type seen struct {
	listed bool
	state  brain.EngineState
	since  float64 // when this state was told
	cell   int
	zone   int
	role   brain.Role
}

// Ledger is the book. It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	kinds   []brain.Kind
	open    map[string]*entry
	engines map[string]*seen
	live    int // entries not concluded
	events  []brain.Event
	cmds    []Command
	closing bool
}

// New returns an empty book.
func New(cfg Config, kinds []brain.Kind) *Ledger {
	return &Ledger{cfg: cfg, kinds: kinds, open: map[string]*entry{}, engines: map[string]*seen{}}
}

// Reconfigure takes settings that may change in service. Requests that are open keep their class.
func (l *Ledger) Reconfigure(cfg Config) { l.cfg = cfg }

// Take drains the events and commands that have gathered, in order.
func (l *Ledger) Take() ([]brain.Event, []Command) {
	ev, cmd := l.events, l.cmds
	l.events, l.cmds = nil, nil
	return ev, cmd
}

// TakeCommands drains the commands alone.
func (l *Ledger) TakeCommands() []Command {
	cmd := l.cmds
	l.cmds = nil
	return cmd
}

// Pending tells whether events wait for the module.
func (l *Ledger) Pending() bool { return len(l.events) > 0 }

// Live returns how many requests wait for their final answer or stream; Held, how many entries there are.
func (l *Ledger) Live() int { return l.live }

// Held returns the number of entries, those that only wait for an attempt to end included.
func (l *Ledger) Held() int { return len(l.open) }

// Deadline returns when the book itself would answer a request (s); ok is false for one that it does not know.
func (l *Ledger) Deadline(id string) (at float64, ok bool) {
	e := l.open[id]
	if e == nil {
		return 0, false
	}
	if e.answering && e.wholeBy > 0 {
		return e.wholeBy, true
	}
	return e.deadline + l.cfg.Slack, true
}

func (l *Ledger) emit(ev brain.Event) { l.events = append(l.events, ev) }
func (l *Ledger) do(c Command)        { l.cmds = append(l.cmds, c) }

func (l *Ledger) fault(format string, args ...any) {
	l.do(Fault{fmt.Sprintf(format, args...)})
}

// Request takes a request, or tells why not: such a request is not taken, and a retry is harmless.
//
// whole is how long the client waits for the whole of an answer that is not streamed (s); 0 = it is streamed, and
// nothing bounds it once it has begun.
func (l *Ledger) Request(now float64, q brain.Request, whole float64) (ending.Answer, bool) {
	switch {
	case l.closing:
		return ending.Answer{HTTP: 503, Code: "node_draining", Retry: true}, false
	case l.live >= l.cfg.MaxOpen:
		return ending.Answer{HTTP: 429, Code: "node_full", Retry: true}, false
	case l.open[q.ID] != nil:
		return ending.Answer{HTTP: 409, Code: "id_in_use"}, false
	case q.Class < 0 || q.Class >= len(l.cfg.Classes):
		l.fault("request %s: its class %d is not known", q.ID, q.Class)
		return ending.Answer{HTTP: 500, Code: "internal", Retry: true}, false
	}
	e := &entry{class: &l.cfg.Classes[q.Class], deadline: now + q.TimeLeft}
	if whole > 0 {
		e.wholeBy = now + whole - wholeMargin
	}
	l.open[q.ID] = e
	l.live++
	l.emit(q)
	return ending.Answer{}, true
}

// wholeMargin is how long before its client gives up a whole answer that is not ready is given up (s): the attempt
// has to stop before the last word can be written.
const wholeMargin = 0.05

// Members files a list before the module sees it, so that both know the same. since is when it was learned.
func (l *Ledger) Members(now float64, m brain.Members) {
	if m.Form == brain.ListLost {
		l.emit(m)
		return
	}
	named := map[string]bool{}
	for _, n := range m.Engines {
		named[n.ID] = true
		s := l.engines[n.ID]
		if s == nil {
			s = &seen{since: now}
			l.engines[n.ID] = s
		}
		if s.state != n.State {
			s.state, s.since = n.State, now
		}
		s.listed, s.cell, s.zone = n.State != brain.Removed, n.Cell, n.Zone
		if n.Kind >= 0 && n.Kind < len(l.kinds) {
			s.role = l.kinds[n.Kind].Role
		}
	}
	if m.Form != brain.ListChanges {
		for id, s := range l.engines {
			if !named[id] && s.state != brain.Removed {
				s.state, s.since, s.listed = brain.Removed, now, false
			}
		}
	}
	l.prune(now)
	l.emit(m)
}

// keepRemoved is how long an engine that was removed is remembered, at least (s): longer than any request is open
// before its answer begins, so that none is forgotten whose effect may yet be asked for.
const keepRemoved = 120

// prune forgets engines that were removed long ago: where they are replaced all day, there is no end of them.
func (l *Ledger) prune(now float64) {
	for id, s := range l.engines {
		if s.state == brain.Removed && now > s.since+keepRemoved {
			delete(l.engines, id)
		}
	}
}

// Listed tells whether an engine may be sent something new.
func (l *Ledger) Listed(id string) bool {
	s := l.engines[id]
	return s != nil && s.state == brain.Ready
}

// Known tells whether an engine is remembered.
func (l *Ledger) Known(id string) bool { return l.engines[id] != nil }

// Apply carries out one action of the module. It returns false for those that are the host's alone (timers,
// logs, probes, calls to the list's source).
func (l *Ledger) Apply(now float64, a brain.Action) bool {
	switch a := a.(type) {
	case brain.Send:
		l.send(now, a)
	case brain.Cancel:
		l.cancel(a)
	case brain.Release:
		l.release(a.ID)
	case brain.Refuse:
		l.answer(now, a.ID, ending.Refused(), a.RetryAfter, "no engine could serve this in time")
	case brain.Fail:
		l.answer(now, a.ID, ending.Failed(), 0, "an engine may have run this; it was not tried again")
	case brain.Reserve: // offered only where the protocol has it
		l.fault("request %s: a place cannot be reserved by this protocol", a.ID)
	default:
		return false
	}
	return true
}

// send checks an attempt against the rules and starts it. One that may not be made ends at once as not sent.
func (l *Ledger) send(now float64, a brain.Send) {
	e := l.open[a.ID]
	if e == nil {
		l.fault("send for %s, which is not open", a.ID)
		return
	}
	n, s := e.sent, l.engines[a.Engine]
	e.sent++
	t := attempt{n: n, engine: a.Engine, sentAt: now, stage: ending.Decode}
	if s != nil && s.role == brain.Read {
		t.stage = ending.Prefill
	}
	t.withState, t.stateN = t.stage == ending.Decode && e.state != "", e.stateN
	why := l.objection(now, e, s, &t)
	if why != "" {
		if why != overtaken {
			l.fault("send of %s to %s: %s", a.ID, a.Engine, why)
		}
		l.emit(brain.Outcome{ID: a.ID, Attempt: n, Engine: a.Engine, Status: brain.NotSent, Closed: e.concluded})
		return
	}
	writeBy := l.repeatBy(e) // of the attempts before this one
	e.attempts = append(e.attempts, t)
	e.out++
	l.do(Start{ID: a.ID, Engine: a.Engine, N: n, Stage: t.stage, State: t.withState, StateN: e.stateN,
		Timeout: a.Timeout, WriteBy: writeBy})
}

// left is how many attempts a request may still have.
func (l *Ledger) left(e *entry) int {
	counted := len(e.attempts)
	if l.cfg.UnsentFree {
		counted -= min(e.unsent, l.cfg.MaxAttempts)
	}
	return l.cfg.MaxAttempts - counted
}

// overtaken is the one objection that is nobody's fault: the client left, or the answer began, while the module
// was deciding.
const overtaken = "the request has ended"

// objection says which rule an attempt would break; "" = none.
func (l *Ledger) objection(now float64, e *entry, s *seen, t *attempt) string {
	switch {
	case e.concluded || e.answering:
		return overtaken
	case l.left(e) <= 0:
		return "no attempt is left"
	case s == nil:
		return "no list has named this engine"
	case s.state != brain.Ready && now > s.since+l.cfg.DrainGrace:
		return "the engine drains or is gone"
	case !l.mayRunAgain(now, e, t.engine):
		return "its effect could happen twice"
	}
	return ""
}

// mayRunAgain is rule 2 for a further attempt: others that are out may run. It holds for reads as well, for though they have no
// effect, whatever is sent after one that may have run counts as sent again.
func (l *Ledger) mayRunAgain(now float64, e *entry, engine string) bool {
	if e.class.Effect == brain.Repeatable {
		return true
	}
	on, at, ran := e.mayRun()
	if !ran {
		return true
	}
	if e.class.Effect == brain.Once || now > at+e.class.KeyTTL {
		return false
	}
	a, b := l.engines[on], l.engines[engine]
	switch {
	case e.class.Group == brain.GroupAll:
		return true
	case a == nil || b == nil:
		return false
	case e.class.Group == brain.GroupZone:
		return a.zone == b.zone
	}
	return a.cell == b.cell
}

// mayRun returns where and when the first attempt was sent that may have run, or may yet.
func (e *entry) mayRun() (on string, at float64, ran bool) {
	if e.ran {
		return e.ranOn, e.ranAt, true
	}
	for i := range e.attempts {
		if x := &e.attempts[i]; !x.over && x.stage == ending.Decode {
			return x.engine, x.sentAt, true
		}
	}
	return "", 0, false
}

// repeatBy is when the time ends in which a repeat of a keyed request is known as one; 0 = there is no such time.
func (l *Ledger) repeatBy(e *entry) float64 {
	if _, at, ran := e.mayRun(); ran && e.class.Effect == brain.ByKey {
		return at + e.class.KeyTTL
	}
	return 0
}

// cancel ends an attempt that has not begun to stream.
func (l *Ledger) cancel(a brain.Cancel) {
	e := l.open[a.ID]
	if e == nil {
		return // it had ended
	}
	if t := e.attempt(a.Attempt); t != nil && !t.over && !t.streaming && !t.aborting {
		t.aborting = true
		l.do(Abort{a.ID, a.Attempt, ending.Stopped})
	}
}

// release lets go of the read state that waits, unless an attempt is out to fetch it: the state is its now.
func (l *Ledger) release(id string) {
	e := l.open[id]
	if e == nil || e.state == "" {
		return
	}
	for i := range e.attempts {
		if t := &e.attempts[i]; !t.over && t.withState {
			return
		}
	}
	l.letGo(id, e, Release{Engine: e.state, N: e.stateN})
	e.state = ""
	l.flush(e)
	l.settle(id, e)
}

// letGo has a state released: at once, or where a release takes all that is held, as soon as nothing else is at stake.
func (l *Ledger) letGo(id string, e *entry, r Release) {
	r.ID = id
	if !l.cfg.ReleaseAll {
		r.CutAt = 0
		l.do(r)
		return
	}
	if r.CutAt > 0 {
		e.owedCut = &r
	} else {
		e.owed = &r
	}
}

// flush makes the releases that are owed once no attempt is out and no state is wanted. That of a state does not wait for the
// moment which that of an attempt broken off needs: the next attempt may be begun before it has passed.
func (l *Ledger) flush(e *entry) {
	if e.out > 0 || e.state != "" {
		return
	}
	for _, r := range []*Release{e.owed, e.owedCut} {
		if r != nil {
			l.do(*r)
		}
	}
	e.owed, e.owedCut = nil, nil
}

// Wanted is asked before a release is tried again. Where it would take what has come since, it is owed anew.
func (l *Ledger) Wanted(r Release) bool {
	e := l.open[r.ID]
	if e == nil || !l.cfg.ReleaseAll || e.out == 0 && e.state == "" {
		return true
	}
	l.letGo(r.ID, e, r)
	return false
}

// answer concludes a request by the node's own word. A refusal after an effect is possible would be a lie: it
// becomes a failure.
func (l *Ledger) answer(now float64, id string, a ending.Answer, after float64, reason string) {
	e := l.open[id]
	if e == nil || e.concluded || e.answering {
		return
	}
	if a.Retry && !ending.Repeats(e.class.Effect, e.class.Group, !e.provenNotRun()) {
		if _, _, ran := e.mayRun(); ran {
			l.fault("refusal of %s, which may have run", id)
		}
		a, after = ending.Failed(), 0
	}
	if a.Retry && l.lastWord(now, e) {
		a, after = ending.Failed(), 0
	}
	l.say(e, Answer{id, a, after, reason})
	l.conclude(id, e, ending.Overtaken)
}

// comeBack is the time in which no client can come again (s).
const comeBack = 0.1

// lastWord tells that a refusal would be of no use, its client's time being up, and rests on an engine that was sent the whole
// of a request and never said what became of it. A class that must not run twice is better served by a failure then.
func (l *Ledger) lastWord(now float64, e *entry) bool {
	return e.unheard && e.class.Effect != brain.Repeatable && now > e.deadline-comeBack
}

// say gives an answer now, or when the attempt that writes to the client has stopped.
func (l *Ledger) say(e *entry, a Answer) {
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
func (e *entry) provenNotRun() bool { return !e.ran && !e.unproven && e.out == 0 }

// conclude ends what the client is owed and stops what is still out: nothing is done for it after.
func (l *Ledger) conclude(id string, e *entry, cause ending.Cause) {
	if e.concluded {
		return
	}
	e.concluded = true
	l.live--
	for i := range e.attempts {
		if t := &e.attempts[i]; !t.over && !t.aborting {
			t.aborting = true
			l.do(Abort{id, t.n, cause})
		}
	}
	l.settle(id, e)
}

// settle forgets an entry once nothing hangs on it. A state that is still held is let go of, whatever the
// module says: the client has its answer, so no send can take it.
func (l *Ledger) settle(id string, e *entry) {
	if !e.concluded || e.out > 0 || l.open[id] != e {
		return
	}
	if e.state != "" {
		l.letGo(id, e, Release{Engine: e.state, N: e.stateN})
		e.state = ""
	}
	l.flush(e)
	delete(l.open, id)
	l.do(Forget{id})
}

// First is told when the first token of an attempt has come; the attempt waits for its Grant.
func (l *Ledger) First(now float64, id string, n int) {
	e := l.open[id]
	if e == nil || e.attempt(n) == nil {
		l.fault("first token for %s, attempt %d, which is not open", id, n)
		return
	}
	t := e.attempt(n)
	if e.concluded || e.answering || t.over || t.aborting {
		l.do(Grant{id, n, false})
		return
	}
	e.answering, t.streaming = true, true
	if e.state != "" && !t.took(e) { // it read the prompt itself
		l.letGo(id, e, Release{Engine: e.state, N: e.stateN})
	}
	e.state = "" // else the fetch has ended: the reader let its memory go
	l.do(Grant{id, n, true})
	l.emit(brain.First{ID: id, Attempt: n, Engine: t.engine, Spent: now - t.sentAt})
	for i := range e.attempts { // a second copy has lost
		if o := &e.attempts[i]; o != t && !o.over && !o.aborting {
			o.aborting = true
			l.do(Abort{id, o.n, ending.Stopped})
		}
	}
}

// Ended is told, once, when an attempt has ended. The report may be nil.
func (l *Ledger) Ended(now float64, id string, n int, f ending.Facts, rep *brain.Report) {
	e := l.open[id]
	if e == nil || e.attempt(n) == nil || e.attempt(n).over {
		l.fault("end of attempt %d of %s, which is not out", n, id)
		return
	}
	t := e.attempt(n)
	t.over = true
	e.out--
	f.Stage, f.Agreed = t.stage, e.rejected != 0 && e.rejected == f.Code
	f.Last = l.left(e) <= 0
	if t.streaming {
		f.Progress = ending.Streaming
	}
	v := ending.Judge(f)
	e.unheard = e.unheard || f.Cause != ending.Answered && f.Progress >= ending.Written
	if f.Progress < ending.Written && f.Cause != ending.Answered {
		e.unsent++
	}
	e.unproven = e.unproven || !ending.ProvesNotRun(f)
	if f.Cause == ending.Answered && f.Meaning == ending.Judged && !v.Final {
		e.rejected = f.Code
	}
	if v.Ran && !e.ran {
		e.ran, e.ranOn, e.ranAt = true, t.engine, t.sentAt
	}
	l.states(now, id, e, n, v)
	l.flush(e)
	closed := l.closes(id, e, n, v)
	l.emit(brain.Outcome{ID: id, Attempt: n, Engine: t.engine, Status: v.Status, Info: v.Info,
		Spent: now - t.sentAt, Closed: closed || e.concluded, Report: rep})
	if t.streaming && e.farewell != nil {
		if v.Status != brain.Served { // else the answer was whole before it could be stopped
			l.do(*e.farewell)
		}
		e.farewell = nil
	}
	if closed {
		l.conclude(id, e, ending.Overtaken)
	}
	l.settle(id, e)
}

// states keeps the book of the state that waits at a reader.
func (l *Ledger) states(now float64, id string, e *entry, n int, v ending.Verdict) {
	t := e.attempt(n)
	switch {
	case v.Status == brain.Parsed:
		if e.state != "" { // read twice: one of the two will not be taken
			l.letGo(id, e, Release{Engine: e.state, N: e.stateN})
		}
		e.state, e.stateN = t.engine, n
	case v.Holds, l.cfg.ReleaseAll && !t.withState && v.Ran && v.Status != brain.Served:
		// Cut reads may have ended well, and an engine that read for itself keeps what it has read.
		l.letGo(id, e, Release{Engine: t.engine, N: n, CutAt: now})
	case t.took(e) && (v.Status == brain.TurnedAway && v.Info == 1 || v.Status == brain.Served && !v.Final):
		if l.cfg.ReleaseAll && v.Status == brain.TurnedAway { // gone for the writer; the reader may know better
			l.letGo(id, e, Release{Engine: e.state, N: e.stateN})
		}
		e.state = ""
	}
}

// closes settles what the end of an attempt means for the client. An answer that began and broke
// ends the request: the client has part of it, and the module is told so.
func (l *Ledger) closes(id string, e *entry, n int, v ending.Verdict) bool {
	t := e.attempt(n)
	switch {
	case e.concluded:
		return false
	case v.Final:
		l.do(Pass{id, n})
		return true
	case t.streaming && v.Status == brain.Served:
		return true
	case t.streaming:
		a := ending.Broke(e.class.Effect, e.class.Group)
		l.do(Answer{id, a, 0, "the engine stopped before the answer was complete"})
		return true
	}
	return false
}

// Hangup is told when a client has gone. Where its receiving side may still be open (half), it gets an answer.
func (l *Ledger) Hangup(now float64, id string, half bool) {
	e := l.open[id]
	if e == nil || e.concluded {
		return
	}
	if half {
		retry := ending.Repeats(e.class.Effect, e.class.Group, !e.provenNotRun())
		l.say(e, Answer{id, ending.Answer{HTTP: 400, Code: "client_closed", Retry: retry}, 0,
			"the client closed its side before the answer; keep it open until then"})
	}
	l.emit(brain.Gone{ID: id})
	l.conclude(id, e, ending.ClientLeft)
}

// Overdue is told when the time of Deadline has come. The module answers before it; this is the net under it.
func (l *Ledger) Overdue(now float64, id string) {
	e := l.open[id]
	switch {
	case e == nil || e.concluded:
		return
	case e.answering:
		if e.wholeBy > 0 && now >= e.wholeBy {
			l.giveUp(now, id, e, ending.TooSlow(e.class.Effect, e.class.Group), "the answer was not whole in time")
		}
		return
	}
	l.fault("request %s was not answered in time by the module", id)
	l.giveUp(now, id, e, ending.Answer{HTTP: 503, Code: "no_capacity", Retry: true}, "no answer in time")
}

// giveUp answers in the module's place and tells it so.
func (l *Ledger) giveUp(now float64, id string, e *entry, a ending.Answer, reason string) {
	if a.Retry && (l.lastWord(now, e) || !ending.Repeats(e.class.Effect, e.class.Group, !e.provenNotRun())) {
		a = ending.Failed()
	}
	l.say(e, Answer{id, a, 0, reason})
	l.emit(brain.Gone{ID: id})
	l.conclude(id, e, ending.Overtaken)
}

// Close stops the taking of requests.
func (l *Ledger) Close() { l.closing = true }

// EndAll answers every request that is still open, as refused where that is true and else as failed. Streams
// that run are ended with an error.
func (l *Ledger) EndAll(now float64) { l.end(now, true) }

// Streaming returns the requests whose answers run, in order of their ids, with the times at which they were sent.
func (l *Ledger) Streaming() (ids []string, sent []float64) {
	for _, id := range sortedKeys(l.open) {
		e := l.open[id]
		for i := range e.attempts {
			if t := &e.attempts[i]; t.streaming && !t.over && !e.concluded {
				ids, sent = append(ids, id), append(sent, t.sentAt)
			}
		}
	}
	return ids, sent
}

// Move ends a stream whose client comes again for the rest. It does nothing to what does not stream.
func (l *Ledger) Move(now float64, id string) {
	if e := l.open[id]; e != nil && e.answering && !e.concluded {
		l.giveUp(now, id, e, ending.Answer{HTTP: 503, Code: "node_stopping", Retry: true}, "the node is stopping")
	}
}

// EndHeld answers every request whose answer has not begun.
func (l *Ledger) EndHeld(now float64) { l.end(now, false) }

func (l *Ledger) end(now float64, streams bool) {
	for _, id := range sortedKeys(l.open) {
		e := l.open[id]
		if e.concluded || e.answering && !streams {
			continue
		}
		a := ending.Answer{HTTP: 503, Code: "node_stopping", Retry: true}
		l.giveUp(now, id, e, a, "the node is stopping")
	}
}

// Heard files what an engine told of its load outside the end of an attempt.
func (l *Ledger) Heard(p brain.Probed) { l.emit(p) }

// Ready tells whether the node may be sent requests: it is not closing, and some engine is listed as ready.
func (l *Ledger) Ready() bool {
	if l.closing {
		return false
	}
	for _, s := range l.engines {
		if s.state == brain.Ready {
			return true
		}
	}
	return false
}
