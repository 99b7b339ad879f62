// Package requesttable is the node's table of requests and attempts: a state machine between the sockets and the routing
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
package requesttable

import (
	"fmt"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/scheduler"
)

// Config is what the book needs of the node's settings.
type Config struct {
	Classes     []scheduler.Class
	MaxOpenRequests     int     // requests held at once
	MaxAttempts int     // for one request
	UnsentAttemptsAreFree  bool    // those that ended before their request was written do not count, up to as many again
	ResponseSlack       float64 // s after a client's deadline at which the book answers by itself
	DrainGrace  float64 // s after which nothing goes to an engine that drains or is gone
	// ReleaseFreesAllStates tells that one release lets go of all that any engine holds for a request. It then waits until no
	// attempt is out and no state is wanted.
	ReleaseFreesAllStates bool
}

// requestRecord is one request, until it has ended and no attempt is out and no state is held.
type requestRecord struct {
	class     *scheduler.Class
	deadline  float64
	wholeBy   float64   // when an answer that is gathered must have ended; 0 = it is streamed
	attempts  []attempt // those that were begun
	sent      int       // attempts that the module has asked for
	out       int       // attempts that have not ended
	state     string    // engine at which a read state waits; "" = none
	stateN    int       // the attempt that read it
	stateAt   float64   // since when the time of the state runs (s): the latest outcome of an attempt that was out
	heldAt    float64   // the same, if attempts that ended in silence were not out: their requests may never have arrived
	silent    bool      // the latest attempt that has ended did so
	ran       bool      // an attempt that has ended may have run
	ranOn     string
	ranAt     float64
	unheard   bool    // an attempt was written whole and ended without an answer
	unsent    int     // attempts that ended before their request was written
	unproven  bool    // the bytes of an attempt that has ended do not prove that it has not run
	answering bool    // the answer belongs to an attempt
	concluded bool    // the client has its answer, or has gone
	rejected  int     // code by which an engine has judged the request
	farewell  *Respond // given once the attempt that streams has stopped writing
	// ReleaseAll: releases that are owed, each nil = none is.
	owed    *ReleaseState // of a state that is held
	owedCut *ReleaseState // of what an attempt that was broken off may have left
}

// Table is the book. It is not safe for concurrent use.
type Table struct {
	config     Config
	kinds   []scheduler.Kind
	records    map[string]*requestRecord
	engines map[string]*engineRecord
	live    int // entries not concluded
	events  []scheduler.Event
	cmds    []Command
	closing bool
}

// New returns an empty book.
func New(cfg Config, kinds []scheduler.Kind) *Table {
	return &Table{config: cfg, kinds: kinds, records: map[string]*requestRecord{}, engines: map[string]*engineRecord{}}
}

// Reconfigure takes settings that may change in service. Requests that are open keep their class.
func (l *Table) Reconfigure(cfg Config) { l.config = cfg }

// Drain drains the events and commands that have gathered, in order.
func (l *Table) Drain() ([]scheduler.Event, []Command) {
	ev, cmd := l.events, l.cmds
	l.events, l.cmds = nil, nil
	return ev, cmd
}

// DrainCommands drains the commands alone.
func (l *Table) DrainCommands() []Command {
	cmd := l.cmds
	l.cmds = nil
	return cmd
}

// HasEvents tells whether events wait for the module.
func (l *Table) HasEvents() bool { return len(l.events) > 0 }

// OpenRequests returns how many requests wait for their final answer or stream; Held, how many entries there are.
func (l *Table) OpenRequests() int { return l.live }

// Len returns the number of entries, those that only wait for an attempt to end included.
func (l *Table) Len() int { return len(l.records) }

// Deadline returns when the book itself would answer a request (s); ok is false for one that it does not know.
func (l *Table) Deadline(id string) (at float64, ok bool) {
	e := l.records[id]
	if e == nil {
		return 0, false
	}
	if e.answering && e.wholeBy > 0 {
		return e.wholeBy, true
	}
	return e.deadline + l.config.ResponseSlack, true
}

func (l *Table) emit(ev scheduler.Event) { l.events = append(l.events, ev) }
func (l *Table) do(c Command)            { l.cmds = append(l.cmds, c) }

func (l *Table) fault(format string, args ...any) {
	l.do(ReportFault{fmt.Sprintf(format, args...)})
}

// AddRequest takes a request, or tells why not: such a request is not taken, and a retry is harmless.
//
// whole is how long the client waits for the whole of an answer that is not streamed (s); 0 = it is streamed, and
// nothing bounds it once it has begun.
func (l *Table) AddRequest(now float64, q scheduler.Request, whole float64) (outcome.Response, bool) {
	switch why := (permit.Accept{Stopping: l.closing, Open: l.live, MaxOpen: l.config.MaxOpenRequests, IDInUse: l.records[q.ID] != nil}).Reason(); {
	case why != permit.Allowed:
		return notTaken[why], false
	case q.Class < 0 || q.Class >= len(l.config.Classes):
		l.fault("request %s: its class %d is not known", q.ID, q.Class)
		return outcome.Response{HTTPStatus: 500, Code: "internal", RetryIsSafe: true}, false
	}
	e := &requestRecord{class: &l.config.Classes[q.Class], deadline: now + q.ClientTimeLeft}
	if whole > 0 {
		e.wholeBy = now + whole - wholeMargin
	}
	l.records[q.ID] = e
	l.live++
	l.emit(q)
	return outcome.Response{}, true
}

// notTaken are the answers to requests that may not be taken.
var notTaken = map[permit.Reason]outcome.Response{
	permit.NodeStopping: {HTTPStatus: 503, Code: "node_draining", RetryIsSafe: true},
	permit.NodeFull:     {HTTPStatus: 429, Code: "node_full", RetryIsSafe: true},
	permit.IDInUse:      {HTTPStatus: 409, Code: "id_in_use"},
}

// wholeMargin is how long before its client gives up a whole answer that is not ready is given up (s): the attempt
// has to stop before the last word can be written.
const wholeMargin = 0.05

// Apply carries out one action of the module. It returns false for those that are the host's alone (timers,
// logs, probes, calls to the list's source).
func (l *Table) Apply(now float64, a scheduler.Action) bool {
	switch a := a.(type) {
	case scheduler.Send:
		l.send(now, a)
	case scheduler.Cancel:
		l.cancel(a)
	case scheduler.Release:
		l.release(a.ID)
	case scheduler.Reject:
		l.answer(now, a.ID, outcome.RejectedResponse(), a.RetryAfter, because("no engine could serve this in time", a.Reason))
	case scheduler.Fail:
		l.answer(now, a.ID, outcome.FailedResponse(), 0, because("an engine may have run this; it was not tried again", a.Reason))
	case scheduler.Reserve: // offered only where the protocol has it
		l.fault("request %s: a place cannot be reserved by this protocol", a.ID)
	default:
		return false
	}
	return true
}

// because adds the module's reason to what a client is told.
func because(text string, why scheduler.GiveUpReason) string {
	if why == "" {
		return text
	}
	return text + ": " + string(why)
}

// settle forgets an entry once nothing hangs on it. A state that is still held is let go of, whatever the
// module says: the client has its answer, so no send can take it.
func (l *Table) settle(id string, e *requestRecord) {
	if !e.concluded || e.out > 0 || l.records[id] != e {
		return
	}
	if e.state != "" {
		l.letGo(id, e, ReleaseState{Engine: e.state, Attempt: e.stateN})
		e.state = ""
	}
	l.flush(e)
	delete(l.records, id)
	l.do(ForgetRequest{id})
}

// StopAccepting stops the taking of requests.
func (l *Table) StopAccepting() { l.closing = true }

// ProbeResult files what an engine told of its load outside the end of an attempt.
func (l *Table) ProbeResult(p scheduler.ProbeResult) { l.emit(p) }
