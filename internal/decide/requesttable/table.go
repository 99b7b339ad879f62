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
	MaxOpen     int     // requests held at once
	MaxAttempts int     // for one request
	UnsentFree  bool    // those that ended before their request was written do not count, up to as many again
	Slack       float64 // s after a client's deadline at which the book answers by itself
	DrainGrace  float64 // s after which nothing goes to an engine that drains or is gone
	// ReleaseAll tells that one release lets go of all that any engine holds for a request. It then waits until no
	// attempt is out and no state is wanted.
	ReleaseAll bool
}

// entry is one request, until it has ended and no attempt is out and no state is held.
type entry struct {
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
	farewell  *Answer // given once the attempt that streams has stopped writing
	// ReleaseAll: releases that are owed, each nil = none is.
	owed    *Release // of a state that is held
	owedCut *Release // of what an attempt that was broken off may have left
}

// Ledger is the book. It is not safe for concurrent use.
type Ledger struct {
	cfg     Config
	kinds   []scheduler.Kind
	open    map[string]*entry
	engines map[string]*seen
	live    int // entries not concluded
	events  []scheduler.Event
	cmds    []Command
	closing bool
}

// New returns an empty book.
func New(cfg Config, kinds []scheduler.Kind) *Ledger {
	return &Ledger{cfg: cfg, kinds: kinds, open: map[string]*entry{}, engines: map[string]*seen{}}
}

// Reconfigure takes settings that may change in service. Requests that are open keep their class.
func (l *Ledger) Reconfigure(cfg Config) { l.cfg = cfg }

// Take drains the events and commands that have gathered, in order.
func (l *Ledger) Take() ([]scheduler.Event, []Command) {
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

func (l *Ledger) emit(ev scheduler.Event) { l.events = append(l.events, ev) }
func (l *Ledger) do(c Command)            { l.cmds = append(l.cmds, c) }

func (l *Ledger) fault(format string, args ...any) {
	l.do(Fault{fmt.Sprintf(format, args...)})
}

// Request takes a request, or tells why not: such a request is not taken, and a retry is harmless.
//
// whole is how long the client waits for the whole of an answer that is not streamed (s); 0 = it is streamed, and
// nothing bounds it once it has begun.
func (l *Ledger) Request(now float64, q scheduler.Request, whole float64) (outcome.Response, bool) {
	switch why := (permit.Accept{Stopping: l.closing, Open: l.live, MaxOpen: l.cfg.MaxOpen, IDInUse: l.open[q.ID] != nil}).Reason(); {
	case why != permit.Allowed:
		return notTaken[why], false
	case q.Class < 0 || q.Class >= len(l.cfg.Classes):
		l.fault("request %s: its class %d is not known", q.ID, q.Class)
		return outcome.Response{HTTPStatus: 500, Code: "internal", RetryIsSafe: true}, false
	}
	e := &entry{class: &l.cfg.Classes[q.Class], deadline: now + q.ClientTimeLeft}
	if whole > 0 {
		e.wholeBy = now + whole - wholeMargin
	}
	l.open[q.ID] = e
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
func (l *Ledger) Apply(now float64, a scheduler.Action) bool {
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

// Close stops the taking of requests.
func (l *Ledger) Close() { l.closing = true }

// Heard files what an engine told of its load outside the end of an attempt.
func (l *Ledger) Heard(p scheduler.ProbeResult) { l.emit(p) }
