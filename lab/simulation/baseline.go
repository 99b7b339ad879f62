package simulation

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Policy changes the baseline policy for the worse, so that the oracle itself can be tested.
type Policy struct {
	RejectAll      bool
	LoseThird      bool
	AvoidWarmingUp bool    // engines in slow start get nothing
	RejectFrom     float64 // s; all requests are rejected from here
	RejectUntil    float64 // s; until here
}

// rejects reports whether the policy rejects a request out of hand.
func (p *Policy) rejects(q *request) bool {
	return p.RejectAll || p.LoseThird && q.draws.node < 1.0/3 || q.at >= p.RejectFrom && q.at < p.RejectUntil
}

// baseline serves a day by a simple policy, with no sockets between: the engines nearest to the node, of them the one at which this
// node has least in flight, another one after a failure, within the limits that hold for the nodes.
type baseline struct {
	*fleet
	day    *Day
	policy Policy

	mu       sync.Mutex // guards all that follows
	rng      *rand.Rand
	inFlight map[nodeEngine]int
	down     map[int]bool // nodes that are shut down or killed and have not restarted
}

// nodeEngine is a pair of a node and an engine.
type nodeEngine struct {
	node   int
	engine string
}

const (
	// noEngineWait is the time after which a node looks again where it found no engine (s).
	noEngineWait = 0.05
	// retryMargin is by how much a client waits longer than its backoff (s).
	retryMargin = 0.05
	// otherZoneCost is what an engine of another zone costs, in requests in flight.
	otherZoneCost = 2
	// maxRandomCost is the random part of an engine's cost, in requests in flight.
	maxRandomCost = 0.5
	// maxStall is how long a stream may go on after its attempt's time.
	maxStall = time.Minute
)

// PlayBaseline plays the day by the baseline policy, inside a synctest bubble.
func (d *Day) PlayBaseline(policy Policy) *Report {
	b := &baseline{
		fleet:    newFleet(d.Site, nil),
		day:      d,
		policy:   policy,
		rng:      rand.New(rand.NewPCG(d.Site.Seed, 0x91a1)),
		inFlight: map[nodeEngine]int{},
		down:     map[int]bool{},
	}
	over := make(chan struct{})
	b.fleet.playFaults(d, over, func(f Fault) { b.playNodeFault(f, over) })
	var resultsMu sync.Mutex
	var results []Result
	b.runClients(d.requests(), func(q *request) {
		r := b.runOperation(q)
		resultsMu.Lock()
		defer resultsMu.Unlock()
		results = append(results, r)
	})
	close(over)
	b.discovery.setSilent(false)
	for _, e := range b.engines {
		e.kill()
	}
	b.tasks.Wait()
	return &Report{Day: d, Results: results}
}

// playNodeFault takes nodes down with nobody in their place. A node that shuts down takes nothing more for as long as the product's
// may run on.
func (b *baseline) playNodeFault(f Fault, over <-chan struct{}) {
	nodes := b.site.affectedNodes(f)
	step := 0.0 // s between two nodes
	downtime := startDelay
	switch f.Kind {
	case Restarts:
		step = f.For / float64(len(nodes))
		downtime = b.site.killDelay() + startDelay
	case Kills:
	default:
		return
	}
	for i, node := range nodes {
		b.run(func() {
			if !sleep(step*float64(i), over) {
				return
			}
			b.setDown(node, true)
			sleep(downtime, over)
			b.setDown(node, false)
		})
	}
}

func (b *baseline) setDown(node int, isDown bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down[node] = isDown
}

// pickNode picks the node for a request by a random number, among those that run; false = none runs.
func (b *baseline) pickNode(chance float64) (node int, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := int(chance * float64(b.site.Nodes))
	for i := range b.site.Nodes {
		node = (first + i) % b.site.Nodes
		if !b.down[node] {
			return node, true
		}
	}
	return 0, false
}

// runOperation sends a request and retries it as clients do.
func (b *baseline) runOperation(q *request) Result {
	class := b.site.Classes[q.class]
	result := Result{At: q.at, Class: q.class, Tenant: q.tenant, RequestedWeight: class.PriorityWeight, Outcome: Rejected}
	began := time.Now()
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
		if tries == maxUnreachable {
			return result
		}
		time.Sleep(duration(noNodeWait))
		node, ok = b.pickNode(q.draws.node)
	}
	patience := duration(class.Patience * (minPatience + (1-minPatience)*q.draws.patience))
	for range b.site.ClientRetries + 1 {
		served := b.serve(node, q, time.Now().Add(patience))
		if !served.firstTokenAt.IsZero() {
			result.Outcome = b.site.streamOutcome(q, served.firstTokenAt, served.end)
			if served.firstTokenAt.Sub(began).Seconds() > class.firstTokenObjective(q) {
				result.Outcome = ServedLate
			}
			result.ServedWeight = class.served(result.Outcome)
			return result
		}
		if served.mayHaveRun && class.Effect == "once" || time.Since(began).Seconds() > class.Patience {
			result.Outcome = Failed
			return result
		}
		time.Sleep(duration(b.site.Backoff + retryMargin))
	}
	return result
}

// served is what a node made of a request.
type served struct {
	firstTokenAt, end time.Time // zero = the response is not complete
	mayHaveRun        bool      // an attempt without a complete response may have had its effect
}

// serve makes attempts until one streams to its end.
func (b *baseline) serve(node int, q *request, deadline time.Time) served {
	var owner, avoid *engine // owner has the state; avoid is the engine of the last attempt
	for remaining := b.site.MaxAttempts; remaining > 0 && time.Now().Before(deadline); remaining-- {
		e := b.pickEngine(node, b.suits(owner, avoid, remaining > 1))
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
			return served{firstTokenAt: firstTokenAt, end: time.Now()}
		case !firstTokenAt.IsZero():
			return served{mayHaveRun: true}
		case outcome == stateNotFound:
			owner = nil
		case outcome == rejectedByEngine:
			avoid = e
		default:
			avoid = e
			isRepeatable := b.site.Classes[q.class].Effect == "repeatable"
			if e.kind.Role != RolePrefill && !isRepeatable && e.state().up { // one that is down has refused the connection
				return served{mayHaveRun: true}
			}
		}
	}
	return served{}
}

// suits returns which engines may be sent the next attempt: for the prompt, where attempts remain after it, or for the response.
func (b *baseline) suits(owner, avoid *engine, canPrefillApart bool) func(*engine) bool {
	return func(e *engine) bool {
		switch {
		case e == avoid:
			return false
		case owner != nil:
			return e.kind.Role != RolePrefill
		case canPrefillApart:
			return e.kind.Role != RoleDecode
		}
		return e.kind.Role == RoleMixed || e.kind.Role == RoleDecode && b.site.LocalPrefill
	}
}

// pickEngine returns the suitable engine at which the node has least in flight; those of its own zone come first.
func (b *baseline) pickEngine(node int, suits func(*engine) bool) *engine {
	b.mu.Lock()
	defer b.mu.Unlock()
	var best *engine
	least := 1e9
	for _, e := range b.discovery.ready() {
		if !suits(e) || e.warmingUp() && (b.policy.AvoidWarmingUp || !e.hasSlowStartCapacity()) {
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

// firstToken is the stream of a baseline attempt: it notes when the first token came, unless the attempt was canceled before.
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

// cancel cancels an attempt by closing canceled, unless its first token has come.
func (s *firstToken) cancel(canceled chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.at.IsZero() {
		return false
	}
	close(canceled)
	return true
}

// attempt makes one attempt, and cancels it when its time is over before the first token. owner is the engine that has the state.
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
