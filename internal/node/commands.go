package node

import (
	"context"
	"log/slog"
	"time"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/decide/permit"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/decide/staterelease"
	"dillroute/internal/http1"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// carry begins one command of the book. It runs on the owner's goroutine and never waits for a socket.
func (n *Node) carry(now float64, cmd requesttable.Command) {
	switch cmd := cmd.(type) {
	case requesttable.StartAttempt:
		n.start(now, cmd)
	case requesttable.CancelAttempt:
		n.log.Debug("attempt called off", "request", cmd.ID, "attempt", cmd.Attempt, "cause", cmd.Cause)
		if c := n.calls[cmd.ID]; c != nil && c.attempts[cmd.Attempt].Attempt != nil {
			c.attempts[cmd.Attempt].Cancel(cmd.Cause)
		}
	case requesttable.GrantResponse:
		n.log.Debug("answer begins", "request", cmd.ID, "attempt", cmd.Attempt, "granted", cmd.Granted)
		if c := n.calls[cmd.ID]; c != nil && c.grants[cmd.Attempt] != nil {
			if cmd.Granted {
				n.core.wheel.Cancel(c.guard)
				n.guard(c) // another deadline holds now, or none
				c.granted = true
				c.job.ResponseGranted()
			}
			c.grants[cmd.Attempt] <- cmd.Granted
		}
	case requesttable.ReleaseState:
		n.release(now, cmd)
	case requesttable.Respond:
		n.answer(cmd)
	case requesttable.PassThrough:
		if c := n.calls[cmd.ID]; c != nil {
			n.respond(c, c.job.EngineResponse(cmd.Attempt))
			n.metrics.answered("judged")
		}
	case requesttable.ForgetRequest:
		n.forget(cmd.ID)
	case requesttable.ReportFault:
		n.log.Error("not allowed", "text", cmd.Text)
		n.metrics.faults.Inc()
	}
}

// start begins an attempt on a goroutine of its own.
func (n *Node) start(now float64, cmd requesttable.StartAttempt) {
	c := n.calls[cmd.ID]
	if c == nil { // the book and the node disagree: say it, and end the attempt as never sent
		n.log.Error("attempt for an unknown request", "request", cmd.ID)
		n.core.book.AttemptEnded(now, cmd.ID, cmd.Attempt, outcome.Evidence{Cause: outcome.RequestEnded}, nil)
		return
	}
	limit, until := cmd.Timeout, now+cmd.Timeout
	if at, ok := n.core.book.Deadline(cmd.ID); ok {
		limit, until = within(limit, at-now), now+within(cmd.Timeout, at-now-n.plan.book.ResponseSlack)
	}
	call := protocol.AttemptSpec{Number: cmd.Attempt, Address: n.addresses[cmd.Engine], Stage: cmd.Stage, FetchState: cmd.FetchState,
		StateAttempt: cmd.StateAttempt, Timeout: max(time.Millisecond, seconds(limit)), ClientDeadline: n.core.clock.At(until)}
	if cmd.WriteBy > 0 {
		call.WriteBy = time.Now().Add(seconds(cmd.WriteBy - now))
	}
	a := c.job.Attempt(call)
	c.attempts[cmd.Attempt] = try{Attempt: a, engine: cmd.Engine, writeBy: cmd.WriteBy, endsAt: until}
	n.log.Debug("attempt", "request", cmd.ID, "attempt", cmd.Attempt, "engine", cmd.Engine, "prefill", cmd.Stage == outcome.Prefill,
		"state", cmd.FetchState, "limit", limit)
	s := &stream{node: n, call: c, n: cmd.Attempt, engine: cmd.Engine}
	if cmd.Stage == outcome.Decode {
		s.grant = make(chan bool, 1)
		c.grants[cmd.Attempt] = s.grant
	}
	if cmd.FetchState && n.plan.anyone {
		n.watchArrival(now, cmd, a)
	}
	freed := c.freed
	n.running.start(func() {
		if freed != nil {
			select {
			case <-freed:
			case <-time.After(seconds(staterelease.Lead)):
			}
		}
		n.ended(cmd, a.Run(s))
	})
}

// watchArrival looks at an attempt when the state that it is to take must be released. One whose request has not reached its engine is
// called off. Where that cannot be told, and nothing has come of the attempt, the state may be released beside it.
func (n *Node) watchArrival(begun float64, cmd requesttable.StartAttempt, a protocol.Attempt) {
	waits := func() bool {
		c := n.calls[cmd.ID]
		return c != nil && !c.granted && c.attempts[cmd.Attempt].Attempt == a
	}
	n.core.wheel.Add(staterelease.ReleaseAt(cmd.HeldSince, n.plan.letGoBy), func(float64) {
		if waits() && !a.Delivered() {
			n.log.Debug("attempt has not arrived", "request", cmd.ID, "attempt", cmd.Attempt, "engine", cmd.Engine)
			n.core.book.AttemptNotDelivered(cmd.ID, cmd.Attempt)
		}
	})
	n.core.wheel.Add(staterelease.SilentReleaseAt(begun, cmd.HeldSinceIfUndelivered, n.plan.letGoBy), func(float64) {
		if waits() {
			heard := staterelease.EngineResponded(n.contacts[cmd.Engine].good, begun)
			n.log.Debug("attempt has not been heard of", "request", cmd.ID, "attempt", cmd.Attempt, "engine", cmd.Engine, "engine_heard", heard)
			n.core.book.AttemptSilent(cmd.ID, cmd.Attempt, heard)
		}
	})
}

// within is the lesser of a limit, of which 0 or less is none, and what is left.
func within(limit, left float64) float64 {
	if limit <= 0 {
		return left
	}
	return min(limit, left)
}

// ended reports the end of an attempt to the owner.
func (n *Node) ended(cmd requesttable.StartAttempt, r protocol.Result) {
	n.core.post(func(now float64) {
		n.noteContact(now, cmd.Engine, r.Evidence)
		c := n.calls[cmd.ID]
		if c == nil {
			return
		}
		if r.Err != nil && http1.IsProcessDescriptorLimit(r.Err) {
			n.noteShortage(n.server.Conns())
		}
		if n.log.Enabled(context.Background(), slog.LevelDebug) {
			text := ""
			if r.Err != nil {
				text = r.Err.Error()
			}
			n.log.Debug("attempt ended", "request", cmd.ID, "attempt", cmd.Attempt, "engine", cmd.Engine, "progress", r.Evidence.Progress,
				"cause", r.Evidence.Cause, "meaning", r.Evidence.ResponseKind, "error", text, "report", r.Report)
		}
		c.job.AttemptEnded(cmd.Attempt, r)
		n.auditAttempt(c, c.attempts[cmd.Attempt], r)
		delete(c.attempts, cmd.Attempt)
		delete(c.grants, cmd.Attempt)
		if r.Evidence.Cause == outcome.ClientDisconnected {
			halfAtLeast := r.FirstByteAt.IsZero() // its socket tells of the end of its sending, behind which it may wait for an answer
			n.core.book.ClientDisconnected(now, cmd.ID, halfAtLeast)
		}
		if r.Evidence.Cause == outcome.ResponseComplete && r.Evidence.ResponseKind == outcome.DecodeDone && cmd.Stage == outcome.Decode {
			n.metrics.answered("served")
		}
		n.core.book.AttemptEnded(now, cmd.ID, cmd.Attempt, r.Evidence, r.Report)
	})
}

// noteContact files whether an engine answered.
func (n *Node) noteContact(now float64, engine string, f outcome.Evidence) {
	if !n.plan.anyone || n.addresses[engine] == "" {
		return
	}
	k := n.contacts[engine]
	switch f.Cause {
	case outcome.ResponseComplete:
		k.good = now
	case outcome.ConnectionBroken, outcome.AttemptTimedOut, outcome.StreamStalled:
		k.bad = now
	}
	n.contacts[engine] = k
}

// release has a state let go of, by the engine that may hold it, or where any engine can, by whichever answers. It begins at
// once, in the order of the book's commands: an attempt that was begun in the same pass may take long to connect, and the time of
// what is held runs on meanwhile. After an attempt that was broken off it waits a moment, and is then asked for again.
func (n *Node) release(now float64, cmd requesttable.ReleaseState) {
	plan := staterelease.RetrySchedule{Deadline: now + n.plan.letGoBy, AnyEngine: n.plan.anyone}
	n.releasing++
	if at := staterelease.EarliestRelease(now, cmd.AttemptCutAt); at > now {
		n.core.wheel.Add(at, func(now float64) { n.releaseAgain(now, cmd, plan) })
		return
	}
	done := make(chan struct{})
	if c := n.calls[cmd.ID]; c != nil {
		c.freed = done
	}
	n.releaseBy(now, cmd, plan, done)
}

// releaseAgain makes a call later than it was due, unless it would take what has come since.
func (n *Node) releaseAgain(now float64, cmd requesttable.ReleaseState, plan staterelease.RetrySchedule) {
	if !n.core.book.ReleaseAllowed(cmd) {
		n.releasing--
		return
	}
	n.releaseBy(now, cmd, plan, make(chan struct{}))
}

// releaseBy makes one call that releases, and closes done when it has ended.
func (n *Node) releaseBy(now float64, cmd requesttable.ReleaseState, plan staterelease.RetrySchedule, done chan struct{}) {
	engine := cmd.Engine
	if n.plan.anyone {
		engine = n.releaser(cmd.Engine, plan.Attempts)
	}
	address, within := n.addresses[engine], seconds(plan.CallTimeout(now))
	n.running.start(func() {
		err := n.caller.Release(address, cmd.ID, cmd.Attempt, within)
		close(done)
		n.core.post(func(now float64) {
			o, k := staterelease.Acknowledged, n.contacts[engine]
			if err != nil {
				o, k.bad = staterelease.Unacknowledged, now
				if http1.IsProcessDescriptorLimit(err) {
					n.noteShortage(n.server.Conns())
				}
				n.log.Debug("state not released", "request", cmd.ID, "engine", engine, "error", err.Error())
			} else {
				k.good = now
			}
			if n.plan.anyone && n.addresses[engine] != "" {
				n.contacts[engine] = k
			}
			n.log.Debug("release ended", "request", cmd.ID, "attempt", cmd.Attempt, "engine", engine, "try", plan.Attempts, "answered", err == nil)
			if !plan.PastDeadline {
				broken := permit.HeldState{Answered: err == nil, At: now, By: plan.Deadline}.Violations()
				plan.PastDeadline = len(broken) > 0
				n.audit(cmd.ID, broken)
			}
			if at, again := plan.Next(now, o); again {
				n.core.wheel.Add(at, func(now float64) { n.releaseAgain(now, cmd, plan) })
			} else {
				n.releasing--
			}
		})
	})
}

// releaser is the engine that is asked to let go in the try given.
func (n *Node) releaser(holder string, try int) string {
	var all []staterelease.Engine
	for _, id := range sortedKeys(n.addresses) {
		k := n.contacts[id]
		all = append(all, staterelease.Engine{ID: id, Listed: n.core.book.EngineReady(id), Holder: id == holder, LastSuccess: k.good, LastFailure: k.bad})
	}
	if len(all) == 0 {
		return holder
	}
	return staterelease.RankEngines(all)[try%len(all)].ID
}

// answer gives the node's own final answer: a whole one, or the end of a stream that had begun.
func (n *Node) answer(cmd requesttable.Respond) {
	c := n.calls[cmd.ID]
	if c == nil {
		return
	}
	a := cmd.Response
	kind := "failed"
	if a.RetryIsSafe {
		kind = "refused"
	}
	n.metrics.answered(kind)
	n.log.Debug("answered by the node", "request", c.id, "status", a.HTTPStatus, "code", a.Code, "retry", a.RetryIsSafe, "after", cmd.RetryAfter,
		"reason", cmd.Reason)
	n.respond(c, c.job.NodeResponse(a, cmd.RetryAfter, cmd.Reason))
}

// respond writes a final response on a goroutine of its own, for the client may be slow to take it.
func (n *Node) respond(c *call, w protocol.Response) {
	c.answered = true
	if !c.granted { // else a stream ends, whose first piece was in time
		n.audit(c.id, permit.Responded{At: n.core.clock.Now(), DueBy: c.dueBy}.Violations())
	}
	n.running.start(func() { c.job.Respond(w) })
}

// forget drops a call. A client that was promised nothing more, and has not had the end of its answer, is cut off.
func (n *Node) forget(id string) {
	c := n.calls[id]
	if c == nil {
		return
	}
	delete(n.calls, id)
	n.log.Debug("request ended", "request", id, "answered", c.answered, "left", c.leftAt > 0)
	n.core.wheel.Cancel(c.guard)
	if !c.answered {
		c.x.Abort()
	}
}

// stream is what one attempt tells the host.
type stream struct {
	node   *Node
	call   *call
	n      int
	engine string
	grant  chan bool
}

// LoadReported tells the module the engine's load when its answer begins, as the result of a probe would.
func (s *stream) LoadReported(r *scheduler.LoadReport) {
	if r == nil {
		return
	}
	s.node.core.post(func(now float64) {
		s.node.core.book.ProbeResult(scheduler.ProbeResult{Engine: s.engine, Status: scheduler.Completed, Report: r})
	})
}

// RequestGrant asks the owner for the client's answer, which only one attempt gets.
func (s *stream) RequestGrant() bool {
	ok := s.node.core.post(func(now float64) {
		s.node.noteContact(now, s.engine, outcome.Evidence{Cause: outcome.ResponseComplete})
		if s.node.calls[s.call.id] != s.call {
			s.grant <- false
			return
		}
		s.node.core.book.FirstToken(now, s.call.id, s.n)
	})
	if !ok {
		return false
	}
	select {
	case granted := <-s.grant:
		if !granted {
			return false
		}
	case <-s.node.core.done:
		return false
	}
	s.node.metrics.first.Observe(time.Since(s.call.started).Seconds())
	return true
}
