package node

import (
	"fmt"
	"strconv"
	"time"

	"dillroute/brain"
	"dillroute/internal/decide/ending"
	"dillroute/internal/decide/ledger"
	"dillroute/internal/decide/letgo"
	"dillroute/internal/engine"
	"dillroute/internal/front"
	"dillroute/internal/http1"
)

// carry begins one command of the book. It runs on the owner's goroutine and never waits for a socket.
func (n *Node) carry(now float64, cmd ledger.Command) {
	switch cmd := cmd.(type) {
	case ledger.Start:
		n.start(now, cmd)
	case ledger.Abort:
		if c := n.calls[cmd.ID]; c != nil && c.attempts[cmd.N] != nil {
			c.attempts[cmd.N].Abort(cmd.Cause)
		}
	case ledger.Grant:
		if c := n.calls[cmd.ID]; c != nil && c.grants[cmd.N] != nil {
			if cmd.OK {
				n.core.wheel.Cancel(c.guard)
				n.guard(c)   // another deadline holds now, or none
				c.chat = nil // there will be no other attempt; a long stream need not hold the prompt
			}
			c.grants[cmd.N] <- cmd.OK
		}
	case ledger.Release:
		n.release(now, cmd)
	case ledger.Answer:
		n.answer(cmd)
	case ledger.Pass:
		if c := n.calls[cmd.ID]; c != nil {
			r := c.replies[cmd.N]
			n.reply(c, r.status, append(front.RetryFields(false, 0), front.JSONType), r.body)
			n.metrics.answered("judged")
		}
	case ledger.Forget:
		n.forget(cmd.ID)
	case ledger.Fault:
		n.log.Error("not allowed", "text", cmd.Text)
		n.metrics.faults.Inc()
	}
}

// stateID names a state at the engines: reads of one request must not be taken for each other.
func stateID(id string, n int) string { return id + "." + strconv.Itoa(n) }

// start begins an attempt on a goroutine of its own.
func (n *Node) start(now float64, cmd ledger.Start) {
	c := n.calls[cmd.ID]
	if c == nil { // the book and the node disagree: say it, and end the attempt as never sent
		n.log.Error("attempt for an unknown request", "request", cmd.ID)
		n.core.book.Ended(now, cmd.ID, cmd.N, ending.Facts{Cause: ending.Overtaken}, nil)
		return
	}
	limit := cmd.Timeout
	if at, ok := n.core.book.Deadline(cmd.ID); ok && (limit <= 0 || limit > at-now) {
		limit = at - now
	}
	a := &engine.Attempt{Client: n.engines, RequestID: stateID(cmd.ID, cmd.N), Address: n.addresses[cmd.Engine],
		Extra: c.extra, Timeout: max(time.Millisecond, seconds(limit))}
	if cmd.Stage == ending.Prefill {
		a.Body = c.chat.PrefillBody()
	} else if cmd.State {
		a.RequestID = stateID(cmd.ID, cmd.StateN)
		a.Body = c.chat.DecodeBody(c.states[cmd.StateN])
	} else {
		a.Body = c.chat.DecodeBody(nil)
	}
	c.attempts[cmd.N] = a
	n.log.Debug("attempt", "request", cmd.ID, "attempt", cmd.N, "engine", cmd.Engine, "prefill", cmd.Stage == ending.Prefill)
	if cmd.Stage == ending.Prefill {
		n.running.start(func() { n.ended(cmd, a.Prefill()) })
		return
	}
	grant := make(chan bool, 1)
	c.grants[cmd.N] = grant
	s := &stream{node: n, call: c, n: cmd.N, engine: cmd.Engine, grant: grant}
	if !c.chat.Stream {
		s.gather = front.NewGather(n.view.Load().cfg.Limits.MaxAnswer)
	}
	n.running.start(func() { n.ended(cmd, a.Decode(s)) })
}

// ended reports the end of an attempt to the owner.
func (n *Node) ended(cmd ledger.Start, r engine.Result) {
	n.core.post(func(now float64) {
		c := n.calls[cmd.ID]
		if c == nil {
			return
		}
		if r.Err != nil && http1.NoFiles(r.Err) {
			n.short(n.server.Conns())
		}
		if r.Err != nil {
			n.log.Debug("attempt ended", "request", cmd.ID, "attempt", cmd.N, "engine", cmd.Engine, "error", r.Err.Error())
		}
		if r.Facts.State {
			c.states[cmd.N] = r.State
		}
		if r.Facts.HTTP >= 400 {
			c.replies[cmd.N] = reply{r.Facts.HTTP, r.Reply}
		}
		delete(c.attempts, cmd.N)
		delete(c.grants, cmd.N)
		if r.Facts.Cause == ending.ClientLeft {
			n.core.book.Hangup(now, cmd.ID, false)
		}
		if r.Facts.Cause == ending.Answered && r.Facts.HTTP == 200 && cmd.Stage == ending.Decode {
			n.metrics.answered("served")
		}
		n.core.book.Ended(now, cmd.ID, cmd.N, r.Facts, r.Report)
	})
}

// release calls the engine that may hold a state.
func (n *Node) release(now float64, cmd ledger.Release) {
	address := n.addresses[cmd.Engine]
	if c := n.calls[cmd.ID]; c != nil {
		delete(c.states, cmd.N)
	}
	plan := letgo.Plan{By: now + n.view.Load().cfg.Rules.LetGoBy}
	n.running.start(func() {
		for {
			err := n.engines.Release(address, stateID(cmd.ID, cmd.N))
			o := letgo.Answered
			if err != nil {
				o = letgo.Lost
				if http1.NoFiles(err) {
					n.short(n.server.Conns())
				}
				n.log.Debug("state not released", "request", cmd.ID, "engine", cmd.Engine, "error", err.Error())
			}
			at, again := plan.Next(n.core.clock.now(), o)
			if !again || !n.pause(at) {
				return
			}
		}
	})
}

// pause waits until a time; false = the node has stopped.
func (n *Node) pause(at float64) bool {
	t := time.NewTimer(seconds(at - n.core.clock.now()))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.core.done:
		return false
	}
}

// answer gives the node's own final answer: a whole one, or the end of a stream that had begun.
func (n *Node) answer(cmd ledger.Answer) {
	c := n.calls[cmd.ID]
	if c == nil {
		return
	}
	a := cmd.Answer
	kind := "failed"
	if a.Retry {
		kind = "refused"
	}
	n.metrics.answered(kind)
	n.log.Info("answered by the node", "request", c.id, "status", a.HTTP, "code", a.Code, "retry", a.Retry)
	body := front.ErrorJSON(a.HTTP, a.Code, "", cmd.Reason)
	n.reply(c, a.HTTP, append(front.RetryFields(a.Retry, cmd.RetryAfter), front.JSONType), body)
}

// reply writes a last word on a goroutine of its own, for the client may be slow to take it.
func (n *Node) reply(c *call, status int, fields []http1.Field, body []byte) {
	c.answered = true
	n.running.start(func() {
		fields = append(fields, http1.Field{Name: "X-Request-Id", Value: c.id})
		if !c.x.Begun() {
			c.x.Reply(status, fields, body) // an error: the client is gone
			return
		}
		if _, err := c.x.Write(http1.AppendEvent(nil, body)); err != nil {
			c.x.Cut()
			return
		}
		c.x.End()
	})
}

// forget drops a call. A client that was promised nothing more, and has not had the end of its answer, is cut off.
func (n *Node) forget(id string) {
	c := n.calls[id]
	if c == nil {
		return
	}
	delete(n.calls, id)
	n.core.wheel.Cancel(c.guard)
	if !c.answered {
		c.x.Cut()
	}
}

// stream passes the answer of one attempt to the client. It belongs to the attempt's goroutine.
type stream struct {
	node    *Node
	call    *call
	n       int
	engine  string
	grant   chan bool
	gather  *front.Gather // where the client asked for a whole answer
	pending []byte        // events that leave with the next
}

// Load tells the module the engine's load when its answer begins, as the result of a probe would.
func (s *stream) Load(r *brain.Report) {
	if r == nil {
		return
	}
	s.node.core.post(func(now float64) {
		s.node.core.book.Heard(brain.Probed{Engine: s.engine, Status: brain.Served, Report: r})
	})
}

// First asks the owner for the client's answer, which only one attempt gets.
func (s *stream) First() bool {
	ok := s.node.core.post(func(now float64) {
		if s.node.calls[s.call.id] != s.call {
			s.grant <- false
			return
		}
		s.node.core.book.First(now, s.call.id, s.n)
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

// Event passes an event on; a whole answer is gathered.
func (s *stream) Event(data, raw []byte, more bool) error {
	if s.gather != nil {
		if err := s.gather.Add(data); err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnfit, err)
		}
		return nil
	}
	if !s.call.x.Begun() {
		err := s.call.x.Begin(200, []http1.Field{{Name: "Content-Type", Value: "text/event-stream; charset=utf-8"},
			{Name: "Cache-Control", Value: "no-cache"}, {Name: "X-Request-Id", Value: s.call.id}})
		if err != nil {
			return fmt.Errorf("client: %w", err)
		}
	}
	if more && len(s.pending)+len(raw) <= maxTogether {
		s.pending = append(s.pending, raw...)
		return nil
	}
	return s.flush(raw)
}

// maxTogether bounds the bytes of events that leave in one write.
const maxTogether = 8 << 10

// Flush writes the events that wait.
func (s *stream) Flush() error {
	if len(s.pending) == 0 {
		return nil
	}
	return s.flush(nil)
}

// flush writes the events that wait, and one more.
func (s *stream) flush(raw []byte) error {
	if len(s.pending) > 0 {
		raw = append(s.pending, raw...)
		s.pending = s.pending[:0]
		if cap(raw) > maxTogether/4 { // a stream that rushed once holds no buffer for ever
			s.pending = nil
		}
	}
	_, err := s.call.x.Write(raw)
	return err
}

// Finish gives the end of the answer.
func (s *stream) Finish() error {
	if s.gather != nil {
		body, err := s.gather.Bytes()
		if err != nil {
			return fmt.Errorf("%w: %v", engine.ErrUnfit, err)
		}
		return s.call.x.Reply(200, []http1.Field{front.JSONType, {Name: "X-Request-Id", Value: s.call.id}}, body)
	}
	if err := s.flush([]byte("data: [DONE]\n\n")); err != nil {
		return err
	}
	return s.call.x.End()
}
