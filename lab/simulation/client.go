package simulation

import (
	"fmt"
	"net"
	"time"
)

// Outcome is how a request ended for its client.
type Outcome string

// Outcomes of a request.
const (
	// ServedInTime is a response that met its latency objectives.
	ServedInTime Outcome = "in time"
	// ServedLate is a complete response that did not.
	ServedLate Outcome = "late"
	// Rejected is a rejection that says that a retry is harmless.
	Rejected Outcome = "refused"
	// Failed is an error response.
	Failed Outcome = "failed"
	// Broken is a stream that ended before its end.
	Broken Outcome = "broken"
	// NoResponse is an attempt without a response.
	NoResponse Outcome = "no reply"
	// Unreachable is a request for which no node could be reached.
	Unreachable Outcome = "unmet"
	// Disconnected is a client that disconnected by its own choice.
	Disconnected Outcome = "left"
)

// Result is how a request ended, the retries of its client included.
type Result struct {
	At              float64 // s from the start of the run
	Class, Tenant   int
	Node            string // of the first attempt
	Outcome         Outcome
	Code            string // of the last rejection or failure
	RequestedWeight float64
	ServedWeight    float64
	ClientAttempts  int
	Attempts        int // of nodes, that reached engines
}

const (
	// detectionDelay is how long the load balancer goes on sending to a node that has ended (s).
	detectionDelay = 2.0
	// maxUnreachable is how often a client may reach no node.
	maxUnreachable = 4
	// noNodeWait is how long a client waits where no node runs (s).
	noNodeWait = 0.2
	// stormRetries is how often clients retry in a RetryStorm.
	stormRetries = 4
	// minPatience is the part of its patience that the least patient client waits.
	minPatience = 0.6
)

// pickNode picks the node for an attempt by a random number, among those that the load balancer takes for alive: one of the client's
// zone if there is one. It returns nil if there is none at all.
func (p *productRun) pickNode(zone int, chance float64) *host {
	var near, all []*host
	for _, h := range p.hosts {
		if !h.looksAlive() {
			continue
		}
		all = append(all, h)
		if h.zone == zone {
			near = append(near, h)
		}
	}
	if len(near) > 0 {
		all = near
	}
	if len(all) == 0 {
		return nil
	}
	return all[int(chance*float64(len(all)))]
}

// looksAlive reports whether the load balancer sends to a host.
func (h *host) looksAlive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isRunning := h.node != nil && !h.readyAt.IsZero()
	return isRunning || !h.endedAt.IsZero() && time.Since(h.endedAt).Seconds() < detectionDelay
}

// operation is a request under way, with the retries of its client.
type operation struct {
	run         *productRun
	request     *request
	class       Class
	began       time.Time
	retries     int
	backoff     float64 // s
	chance      float64 // for the choice of the next node
	unreachable int     // attempts that reached no node
	result      Result
}

// runOperation sends a request and retries it as clients do.
func (p *productRun) runOperation(q *request) Result {
	class := p.site.Classes[q.class]
	o := &operation{
		run:     p,
		request: q,
		class:   class,
		began:   time.Now(),
		retries: p.site.ClientRetries,
		backoff: p.site.Backoff,
		chance:  q.draws.node,
		result:  Result{At: q.at, Class: q.class, Tenant: q.tenant, RequestedWeight: class.PriorityWeight, Outcome: Unreachable},
	}
	if _, ok := p.day.active(RetryStorm, q.at); ok {
		o.retries = stormRetries
		o.backoff = 0
	}
	for o.result.ClientAttempts <= o.retries && o.unreachable < maxUnreachable {
		if ended := o.attempt(); ended {
			break
		}
	}
	return o.result
}

// attempt makes one attempt, and waits before the next; true = there is none.
func (o *operation) attempt() (ended bool) {
	h := o.run.pickNode(o.request.zone, o.chance)
	o.chance = fraction(o.chance*7.31 + 0.137)
	if h == nil {
		o.unreachable++
		time.Sleep(duration(noNodeWait))
		return false
	}
	if o.result.Node == "" {
		o.result.Node = h.name
	}
	patience := o.class.Patience * (minPatience + (1-minPatience)*o.request.draws.patience)
	number := o.result.ClientAttempts
	a := &clientAttempt{
		request: o.request,
		id:      fmt.Sprintf("%s-%d-%d", o.request.op, number, o.unreachable),
		number:  number,
		budget:  patience,
	}
	response := o.run.attemptAt(h, a)
	o.result.Outcome = response.outcome
	o.result.Code = response.code
	o.result.Attempts += o.run.removeAttempt(a)
	if response.outcome == Unreachable {
		o.unreachable++
		time.Sleep(duration(0.1 + 0.2*o.request.draws.backoff))
		return false
	}
	o.result.ClientAttempts++
	if !o.mayRetry(response) {
		o.countServed(response)
		return true
	}
	time.Sleep(duration(max(o.backoff*(0.5+o.request.draws.backoff), response.retryAfter)))
	return time.Since(o.began).Seconds() > o.class.Patience
}

// mayRetry reports whether the client retries after a response.
func (o *operation) mayRetry(r clientResponse) bool {
	switch r.outcome {
	case Rejected:
		return true
	case NoResponse, Failed, Broken:
		return o.class.Effect != "once"
	}
	return false
}

// countServed counts what a response is worth. The objective holds from the first attempt.
func (o *operation) countServed(r clientResponse) {
	if r.outcome == ServedInTime && r.firstTokenAt.Sub(o.began).Seconds() > o.class.firstTokenObjective(o.request) {
		o.result.Outcome = ServedLate
	}
	o.result.ServedWeight = o.class.served(o.result.Outcome)
}

// firstTokenObjective returns the latency objective of a request (s).
func (c Class) firstTokenObjective(q *request) float64 {
	return c.LatencyObjective + c.LatencyObjectivePerK*q.promptTokens/1000
}

// served returns what part of its weight a request of the class has by its outcome.
func (c Class) served(outcome Outcome) float64 {
	switch outcome {
	case ServedInTime:
		return c.PriorityWeight
	case ServedLate:
		return c.PriorityWeight * c.LateValue
	}
	return 0
}

func fraction(x float64) float64 { return x - float64(int(x)) }

// streamOutcome returns whether a stream met the objective for output tokens.
func (s *Site) streamOutcome(q *request, firstTokenAt, end time.Time) Outcome {
	if end.Sub(firstTokenAt).Seconds() > float64(q.responseTokens)*s.Classes[q.class].TokenLatencyObjective {
		return ServedLate
	}
	return ServedInTime
}

// takeIdle returns an idle connection to the host on which nothing has come, or nil.
func (h *host) takeIdle() net.Conn {
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		conn := h.idle[last]
		h.idle = h.idle[:last]
		if u, ok := conn.(interface{ Unread() bool }); ok && !u.Unread() {
			return conn
		}
		conn.Close()
	}
	return nil
}

// maxIdle is the number of idle connections to a host above which no more are added.
const maxIdle = 4

// putIdle keeps a connection for another request, or closes it.
func (h *host) putIdle(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) > maxIdle || h.node == nil {
		conn.Close()
		return
	}
	h.idle = append(h.idle, conn)
}
