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
	// ServedLate is a complete response that missed a latency objective.
	ServedLate Outcome = "late"
	// Rejected is a rejection that promises that a retry is harmless.
	Rejected Outcome = "refused"
	// Failed is an error response.
	Failed Outcome = "failed"
	// Broken is an incomplete stream.
	Broken Outcome = "broken"
	// NoResponse is an attempt without a response.
	NoResponse Outcome = "no reply"
	// Unreachable is a request for which no node could be reached.
	Unreachable Outcome = "unmet"
	// Disconnected is a disconnect initiated by the client.
	Disconnected Outcome = "left"
)

// Result is how a request ended, including its client's retries.
type Result struct {
	At              float64 // time from the start of the run (s)
	Class, Tenant   int
	Node            string // node of the first attempt; "" = no attempt was made
	Outcome         Outcome
	Code            string // code of the last rejection or failure
	RequestedWeight float64
	ServedWeight    float64
	ClientAttempts  int
	Attempts        int // number of nodes' attempts that reached an engine
}

const (
	// detectionDelay is how long the load balancer continues to send requests to a node that has stopped (s).
	detectionDelay = 2.0
	// maxUnreachableAttempts is the number of attempts without a reachable node after which a client stops.
	maxUnreachableAttempts = 4
	// noNodeWait is how long a client waits before its next attempt if no node is running (s).
	noNodeWait = 0.2
	// stormRetries is the maximum number of retries of each client during a RetryStorm.
	stormRetries = 4
	// minPatienceShare is the smallest fraction of the class's patience that a client waits.
	minPatienceShare = 0.6
)

// pickNode picks a node for an attempt from those in the load balancer's rotation; nil = there is none. If the client's zone has such
// nodes, it picks one of them. draw is a random number from 0 to 1.
func (p *productRun) pickNode(zone int, draw float64) *host {
	var sameZone, all []*host
	for _, h := range p.hosts {
		if !h.inRotation() {
			continue
		}
		all = append(all, h)
		if h.zone == zone {
			sameZone = append(sameZone, h)
		}
	}
	if len(sameZone) > 0 {
		all = sameZone
	}
	if len(all) == 0 {
		return nil
	}
	return all[int(draw*float64(len(all)))]
}

// inRotation reports whether the load balancer sends requests to a host.
func (h *host) inRotation() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	isRunning := h.node != nil && !h.readyAt.IsZero()
	return isRunning || !h.endedAt.IsZero() && time.Since(h.endedAt).Seconds() < detectionDelay
}

// operation is a request in progress, including its client's retries.
type operation struct {
	run         *productRun
	request     *request
	class       Class
	startedAt   time.Time
	retries     int
	backoff     float64 // s
	nodeDraw    float64 // random number from 0 to 1 that picks the next node
	unreachable int     // number of attempts that reached no node
	result      Result
}

// runOperation sends a request and retries it as a client does.
func (p *productRun) runOperation(q *request) Result {
	class := p.site.Classes[q.class]
	o := &operation{
		run:       p,
		request:   q,
		class:     class,
		startedAt: time.Now(),
		retries:   p.site.ClientRetries,
		backoff:   p.site.Backoff,
		nodeDraw:  q.draws.node,
		result:    Result{At: q.at, Class: q.class, Tenant: q.tenant, RequestedWeight: class.PriorityWeight, Outcome: Unreachable},
	}
	if _, ok := p.scenario.active(RetryStorm, q.at); ok {
		o.retries = stormRetries
		o.backoff = 0
	}
	for o.result.ClientAttempts <= o.retries && o.unreachable < maxUnreachableAttempts {
		if ended := o.attempt(); ended {
			break
		}
	}
	return o.result
}

// attempt makes one attempt and waits for the backoff before the next; true = there is no next attempt.
func (o *operation) attempt() (ended bool) {
	h := o.run.pickNode(o.request.zone, o.nodeDraw)
	o.nodeDraw = fractionalPart(o.nodeDraw*7.31 + 0.137)
	if h == nil {
		o.unreachable++
		time.Sleep(duration(noNodeWait))
		return false
	}
	if o.result.Node == "" {
		o.result.Node = h.name
	}
	patience := o.class.Patience * (minPatienceShare + (1-minPatienceShare)*o.request.draws.patience)
	number := o.result.ClientAttempts
	a := &clientAttempt{
		request: o.request,
		id:      fmt.Sprintf("%s-%d-%d", o.request.op, number, o.unreachable),
		number:  number,
		budget:  patience,
	}
	response := o.run.sendAttempt(h, a)
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
	return time.Since(o.startedAt).Seconds() > o.class.Patience
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

// countServed sets the served weight of the operation. The latency objective for the first token counts from the start of the operation,
// so a response that met it only in a retry is late.
func (o *operation) countServed(r clientResponse) {
	if r.outcome == ServedInTime && r.firstTokenAt.Sub(o.startedAt).Seconds() > o.class.firstTokenObjective(o.request) {
		o.result.Outcome = ServedLate
	}
	o.result.ServedWeight = o.class.servedWeight(o.result.Outcome)
}

// firstTokenObjective returns the latency objective for the first token of a request (s).
func (c Class) firstTokenObjective(q *request) float64 {
	return c.LatencyObjective + c.LatencyObjectivePerK*q.promptTokens/1000
}

// servedWeight returns the weight with which a request of the class counts as served, by its outcome.
func (c Class) servedWeight(outcome Outcome) float64 {
	switch outcome {
	case ServedInTime:
		return c.PriorityWeight
	case ServedLate:
		return c.PriorityWeight * c.LateValue
	}
	return 0
}

func fractionalPart(x float64) float64 { return x - float64(int(x)) }

// streamOutcome returns ServedInTime if a stream met the latency objective for output tokens, and ServedLate otherwise.
func (s *Site) streamOutcome(q *request, firstTokenAt, end time.Time) Outcome {
	if end.Sub(firstTokenAt).Seconds() > float64(q.responseTokens)*s.Classes[q.class].TokenLatencyObjective {
		return ServedLate
	}
	return ServedInTime
}

// takeIdle returns an idle connection to the host without unread data, or nil. It closes those with unread data.
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

// maxIdle limits the idle connections to a host: none is added if there are more than maxIdle.
const maxIdle = 4

// putIdle stores a connection for reuse, or closes it if there are enough or no node is running.
func (h *host) putIdle(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) > maxIdle || h.node == nil {
		conn.Close()
		return
	}
	h.idle = append(h.idle, conn)
}
