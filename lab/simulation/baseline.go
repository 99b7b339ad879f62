package simulation

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Policy degrades the baseline policy, so that the oracle itself can be tested. The zero value is the baseline policy.
type Policy struct {
	RejectAll      bool
	RejectThird    bool    // a random third of the requests is rejected
	AvoidWarmingUp bool    // no requests are sent to engines in slow start
	RejectFrom     float64 // time from which all requests are rejected (s)
	RejectUntil    float64 // time until which they are rejected (s)
}

// rejects reports whether the policy rejects a request without an attempt.
func (p *Policy) rejects(q *request) bool {
	return p.RejectAll || p.RejectThird && q.draws.node < 1.0/3 || q.at >= p.RejectFrom && q.at < p.RejectUntil
}

// baseline serves the requests of a run with a simple policy and without sockets. Each node prefers engines in its zone and, among
// them, the one with the fewest requests of that node in flight; after a failure it uses another engine. The limits of the nodes apply.
type baseline struct {
	*fleet
	scenario *Scenario
	policy   Policy

	mu       sync.Mutex // guards all that follows
	rng      *rand.Rand
	inFlight map[nodeEngine]int
	down     map[int]bool // nodes that were shut down or killed and have not restarted
}

// nodeEngine is a pair of a node and an engine.
type nodeEngine struct {
	node   int
	engine string
}

const (
	// noEngineWait is the delay after which a node that found no engine looks again (s).
	noEngineWait = 0.05
	// retryMargin is the time that a client waits in addition to its backoff (s).
	retryMargin = 0.05
	// otherZoneCost is the additional cost of an engine of another zone, in requests in flight.
	otherZoneCost = 2
	// maxRandomCost is the maximum random part of an engine's cost, in requests in flight.
	maxRandomCost = 0.5
	// maxStall is how long a stream may continue after its attempt's timeout.
	maxStall = time.Minute
)

// RunBaseline runs the scenario with the baseline policy, degraded by policy. It must be called in a synctest bubble.
func (s *Scenario) RunBaseline(policy Policy) *Report {
	b := &baseline{
		fleet:    newFleet(s.Site, nil),
		scenario: s,
		policy:   policy,
		rng:      rand.New(rand.NewPCG(s.Site.Seed, 0x91a1)),
		inFlight: map[nodeEngine]int{},
		down:     map[int]bool{},
	}
	done := make(chan struct{})
	b.fleet.injectFaults(s, done, func(f Fault) { b.injectNodeFault(f, done) })
	var resultsMu sync.Mutex
	var results []Result
	b.runClients(s.requests(), func(q *request) {
		r := b.runOperation(q)
		resultsMu.Lock()
		defer resultsMu.Unlock()
		results = append(results, r)
	})
	close(done)
	b.discovery.setSilent(false)
	for _, e := range b.engines {
		e.kill()
	}
	b.tasks.Wait()
	return &Report{Scenario: s, Results: results}
}

// injectNodeFault takes nodes out of service for a time, without a replacement. A node that shuts down is out of service for the
// longest time that a node of the product may take to shut down and start.
func (b *baseline) injectNodeFault(f Fault, done <-chan struct{}) {
	nodes := b.site.affectedNodes(f)
	step := 0.0 // delay between two nodes (s)
	downtime := startDelay
	switch f.Kind {
	case NodeRestarts:
		step = f.Duration / float64(len(nodes))
		downtime = b.site.killDelay() + startDelay
	case NodeKills:
	default:
		return
	}
	for i, node := range nodes {
		b.run(func() {
			if !sleep(step*float64(i), done) {
				return
			}
			b.setDown(node, true)
			sleep(downtime, done)
			b.setDown(node, false)
		})
	}
}

func (b *baseline) setDown(node int, isDown bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[node] = isDown
}

// pickNode picks a running node for a request; draw is a random number from 0 to 1. false = no node is running.
func (b *baseline) pickNode(draw float64) (node int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := int(draw * float64(b.site.Nodes))
	for i := range b.site.Nodes {
		node = (first + i) % b.site.Nodes
		if !b.down[node] {
			return node, true
		}
	}
	return 0, false
}

// runOperation serves a request and retries it as a client does.
func (b *baseline) runOperation(q *request) Result {
	class := b.site.Classes[q.class]
	result := Result{At: q.at, Class: q.class, Tenant: q.tenant, RequestedWeight: class.PriorityWeight, Outcome: Rejected}
	startedAt := time.Now()
	if b.policy.rejects(q) {
		return result
	}
	if q.disconnectAfter > 0 {
		result.Outcome = Disconnected
		return result
	}
	node, ok := b.pickNode(q.draws.node)
	for tries := 0; !ok; tries++ {
		result.Outcome = Unreachable
		if tries == maxUnreachableAttempts {
			return result
		}
		time.Sleep(duration(noNodeWait))
		node, ok = b.pickNode(q.draws.node)
	}
	patience := duration(class.Patience * (minPatienceShare + (1-minPatienceShare)*q.draws.patience))
	for range b.site.ClientRetries + 1 {
		served := b.serve(node, q, time.Now().Add(patience))
		if !served.firstTokenAt.IsZero() {
			result.Outcome = b.site.streamOutcome(q, served.firstTokenAt, served.end)
			if served.firstTokenAt.Sub(startedAt).Seconds() > class.firstTokenObjective(q) {
				result.Outcome = ServedLate
			}
			result.ServedWeight = class.servedWeight(result.Outcome)
			return result
		}
		if served.mayHaveRun && class.Effect == "once" || time.Since(startedAt).Seconds() > class.Patience {
			result.Outcome = Failed
			return result
		}
		time.Sleep(duration(b.site.Backoff + retryMargin))
	}
	return result
}

// serveResult is the result of serving a request at a node.
type serveResult struct {
	firstTokenAt, end time.Time // zero = the response is not complete
	mayHaveRun        bool      // an attempt without a complete response may have had its effect
}

// serve makes attempts until one streams its response to the end. It stops early after an attempt that may have had an effect that must
// not be repeated, and when no attempt or no time is left.
func (b *baseline) serve(node int, q *request, deadline time.Time) serveResult {
	var owner, avoid *engine // owner is the engine that stores the state; avoid is the engine of the last failed attempt
	for remaining := b.site.MaxAttempts; remaining > 0 && time.Now().Before(deadline); remaining-- {
		e := b.pickEngine(node, b.eligible(owner, avoid, remaining > 1))
		if e == nil {
			avoid = nil
			time.Sleep(duration(noEngineWait))
			continue
		}
		timeout := time.Until(deadline)
		if remaining > 1 {
			timeout /= 2
		}
		outcome, firstTokenAt := b.attempt(node, e, q, owner, timeout)
		switch {
		case outcome == completed && e.kind.Role == RolePrefill:
			owner = e
			avoid = nil
		case !firstTokenAt.IsZero() && outcome == completed:
			return serveResult{firstTokenAt: firstTokenAt, end: time.Now()}
		case !firstTokenAt.IsZero():
			return serveResult{mayHaveRun: true}
		case outcome == stateNotFound:
			owner = nil
		case outcome == rejectedByEngine:
			avoid = e
		default:
			avoid = e
			isRepeatable := b.site.Classes[q.class].Effect == "repeatable"
			if e.kind.Role != RolePrefill && !isRepeatable && e.state().up { // an engine that is down refused the connection
				return serveResult{mayHaveRun: true}
			}
		}
	}
	return serveResult{}
}

// eligible returns a predicate that matches the engines to which the next attempt may be sent. Without a stored state, the attempt may
// be a separate prefill only if another attempt remains for the decode (canPrefillSeparately).
func (b *baseline) eligible(owner, avoid *engine, canPrefillSeparately bool) func(*engine) bool {
	return func(e *engine) bool {
		switch {
		case e == avoid:
			return false
		case owner != nil:
			return e.kind.Role != RolePrefill
		case canPrefillSeparately:
			return e.kind.Role != RoleDecode
		}
		return e.kind.Role == RoleMixed || e.kind.Role == RoleDecode && b.site.LocalPrefill
	}
}

// pickEngine returns the eligible engine with the lowest cost; nil if none is eligible. The cost is the number of the node's requests in
// flight at the engine, plus otherZoneCost for an engine of another zone and a random part.
func (b *baseline) pickEngine(node int, eligible func(*engine) bool) *engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *engine
	least := 1e9
	for _, e := range b.discovery.ready() {
		if !eligible(e) || e.warmingUp() && (b.policy.AvoidWarmingUp || !e.hasSlowStartCapacity()) {
			continue
		}
		cost := float64(b.inFlight[nodeEngine{node, e.ID}]) + maxRandomCost*b.rng.Float64()
		if e.Zone != node%len(b.site.Zones) {
			cost += otherZoneCost
		}
		if cost < least {
			best = e
			least = cost
		}
	}
	return best
}

func (b *baseline) addInFlight(node int, e *engine, change int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight[nodeEngine{node, e.ID}] += change
}

// firstToken is the stream of a baseline attempt. It stores the time of the first token, unless the attempt was canceled before that.
type firstToken struct {
	canceled <-chan struct{}

	mu sync.Mutex
	at time.Time
}

func (s *firstToken) start() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.canceled:
		return false
	default:
	}
	s.at = time.Now()
	return true
}

func (s *firstToken) event(int) bool { return true }

// cancel cancels an attempt by closing canceled, unless its first token has arrived. It reports whether it canceled the attempt.
func (s *firstToken) cancel(canceled chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.at.IsZero() {
		return false
	}
	close(canceled)
	return true
}

// attempt makes one attempt and cancels it if its timeout ends before the first token, or maxStall after its timeout. owner is the
// engine that stores the state; nil = there is no state. The returned time is that of the first token; zero = none.
func (b *baseline) attempt(node int, e *engine, q *request, owner *engine, timeout time.Duration) (attemptOutcome, time.Time) {
	b.addInFlight(node, e, 1)
	defer b.addInFlight(node, e, -1)
	e.requestArrived(q)
	canceled := make(chan struct{})
	first := &firstToken{canceled: canceled}
	ended := make(chan attemptOutcome, 1)
	b.run(func() {
		if e.kind.Role == RolePrefill {
			ended <- e.prefill(q, canceled)
		} else {
			ended <- e.decode(q, owner, canceled, first)
		}
	})
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case outcome := <-ended:
		return outcome, first.at
	case <-timer.C:
	}
	if first.cancel(canceled) {
		return connectionBroken, time.Time{}
	}
	stall := time.NewTimer(maxStall)
	defer stall.Stop()
	select {
	case outcome := <-ended:
		return outcome, first.at
	case <-stall.C:
		close(canceled)
		return connectionBroken, first.at
	}
}
