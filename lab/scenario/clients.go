package scenario

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/record"
)

const (
	// idleStep is the time between two checks of the session rate while it is 0 (s).
	idleStep = 0.1
	// maxStep is the longest time between two checks of the session rate while it is positive (s).
	maxStep = 0.5
	// maxTurnTokens is the maximum size of a turn.
	maxTurnTokens = 20000
	// hotPrefixTokens is the minimum size of the hot prefix.
	hotPrefixTokens = 1500
	// ownPrefixTokens is the size of a session's own prefix.
	ownPrefixTokens = 16
	// impatientPatienceShare is the share of its patience that an impatient client waits.
	impatientPatienceShare = 0.3
)

// startSessions starts sessions until the end of the script, as a Poisson process whose rate follows the script.
func (r *run) startSessions() {
	rng := rand.New(rand.NewPCG(r.script.Seed, 2))
	at := 0.0
	started := uint64(0)
	for {
		rate := r.sessionRate(at)
		step := idleStep
		if rate > 0 {
			step = min(maxStep, rng.ExpFloat64()/rate)
		}
		at += step
		if at >= r.script.LengthSeconds || !r.sleepUntil(at) {
			return
		}
		if rate == 0 || step == maxStep {
			continue
		}
		started++
		seed := started
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.runSession(seed)
		}()
	}
}

// sessionRate returns the number of sessions that start per second at a time of the run (s). It is 0 once the clients have begun the
// maximum number of requests; retries do not count.
func (r *run) sessionRate(at float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	rate := r.script.Load.SessionsPerSecond * r.loadFactor * r.script.Load.factorAt(at/r.script.LengthSeconds)
	if r.requests >= r.script.Load.MaxRequests || !(rate > 0) {
		return 0
	}
	return rate
}

// factorAt returns the factor of the session rate when this share of the run has passed.
func (l *Load) factorAt(share float64) float64 {
	if len(l.Shape) == 0 {
		return 1
	}
	last := l.Shape[0]
	for _, point := range l.Shape {
		if point[0] < share {
			last = point
			continue
		}
		if point[0] == last[0] {
			return point[1]
		}
		return last[1] + (point[1]-last[1])*(share-last[0])/(point[0]-last[0])
	}
	return last[1]
}

// drawByShare returns a random item with a probability proportional to its share.
func drawByShare[T any](rng *rand.Rand, items []T, shareOf func(T) float64) *T {
	total := 0.0
	for _, item := range items {
		total += shareOf(item)
	}
	x := rng.Float64() * total
	for i := range items {
		x -= shareOf(items[i])
		if x < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}

func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// session is a conversation of one client: each turn is sent with all earlier turns and their responses.
type session struct {
	rng    *rand.Rand
	seed   uint64
	class  *Class
	tenant *Tenant
}

// runSession sends the turns of a session in sequence. The session ends early if a response is missing or incorrect.
func (r *run) runSession(seed uint64) {
	rng := rand.New(rand.NewPCG(r.script.Seed^0xabcdef, seed))
	s := &session{
		rng:    rng,
		seed:   seed,
		class:  drawByShare(rng, r.script.Classes, func(c Class) float64 { return c.Share }),
		tenant: drawByShare(rng, r.script.Tenants, func(t Tenant) float64 { return t.Share }),
	}
	messages := []emulator.Message{{Role: "system", Content: r.systemPrompt(s)}}
	for turn := 0; ; turn++ {
		prompt := emulator.PromptText(seed*31+uint64(turn), r.drawTurnTokens(s)+4)
		messages = append(messages, emulator.Message{Role: "user", Content: prompt})
		drawnTokens := lognormal(rng, s.class.AnswerTokens, s.class.AnswerSigma)
		responseTokens := int(max(2, min(float64(s.class.MaxTokens), drawnTokens)))
		text, correct := r.runOperation(s, fmt.Sprintf("s%d.%d", seed, turn), messages, responseTokens)
		if !correct || rng.Float64() >= 1-1/max(1, s.class.Turns) {
			return
		}
		messages = append(messages[:len(messages):len(messages)], emulator.Message{Role: "assistant", Content: text})
		next := time.Since(r.start).Seconds() + s.class.Think*rng.ExpFloat64()
		if !r.sleepUntil(next) || time.Since(r.start) > seconds(r.script.LengthSeconds) {
			return
		}
	}
}

// drawTurnTokens counts a request and generates the size of its turn in tokens.
func (r *run) drawTurnTokens(s *session) int {
	r.mu.Lock()
	tail, heavy := r.heavyTails[s.class.Name]
	r.requests++
	r.mu.Unlock()
	size := lognormal(s.rng, s.class.NewTokens, s.class.NewSigma)
	if heavy && s.rng.Float64() < tail.share {
		size *= tail.factor
	}
	return int(min(size, maxTurnTokens))
}

// systemPrompt returns a random system prompt for a session: the hot prefix, a shared prefix, or one that only this session uses.
func (r *run) systemPrompt(s *session) string {
	r.mu.Lock()
	hotShare, hotSeed := r.hotShare, r.hotSeed
	r.mu.Unlock()
	if hotShare > 0 && s.rng.Float64() < hotShare {
		return emulator.PromptText(hotSeed, max(hotPrefixTokens, s.class.PrefixTokens))
	}
	if s.class.Prefixes > 0 && s.rng.Float64() < s.class.PrefixShare {
		x := s.rng.Float64()
		prefix := int(x * x * float64(s.class.Prefixes)) // squared, so that a few prefixes are common
		return emulator.PromptText(uint64(1000+prefix), s.class.PrefixTokens)
	}
	return emulator.PromptText(s.seed*7919, ownPrefixTokens)
}

// newRequest generates the request of an operation.
func (r *run) newRequest(s *session, op string, messages []emulator.Message, responseTokens int) client.Request {
	promptTokens := 0
	for _, m := range messages {
		promptTokens += len(m.Content)/4 + 4
	}
	patience := (s.class.Patience + s.class.PatiencePerK*float64(promptTokens)/1000) * r.script.Clients.AttemptShare
	r.mu.Lock()
	if r.impatientShare > 0 && s.rng.Float64() < r.impatientShare {
		patience *= impatientPatienceShare
	}
	r.mu.Unlock()
	request := client.Request{
		Model:     s.class.Name,
		Messages:  messages,
		MaxTokens: s.class.MaxTokens,
		Session:   fmt.Sprintf("session-%d", s.seed),
		Patience:  seconds(patience),
		NoStream:  s.rng.Float64() < s.class.NoStreamShare,
		Key:       apiKey(*s.tenant),
		Tenant:    s.tenant.Name,
		Mark:      emulator.Mark{Operation: op, Class: s.class.Name, ResponseTokens: responseTokens},
	}
	if s.rng.Float64() < r.script.Clients.DisconnectShare {
		request.DisconnectAfter = 1 + s.rng.IntN(max(1, responseTokens))
		request.NoStream = false
	}
	return request
}

// runOperation sends a request, with the retries of the script's clients. It returns the text of the response if the request was served,
// and whether that text is correct.
func (r *run) runOperation(s *session, op string, messages []emulator.Message, responseTokens int) (text string, correct bool) {
	request := r.newRequest(s, op, messages, responseTokens)
	for attempt := 0; ; attempt++ {
		request.Mark.Attempt = attempt
		slot := r.pickNode(s.rng)
		r.mu.Lock()
		address := slot.address
		r.mu.Unlock()
		result := r.client.Do(r.ctx, slot.name, address, request)
		if result.Outcome == record.Served {
			return result.Text, result.TextCorrect
		}
		if attempt >= r.script.Clients.Retries || !mayRetry(s.class, result) || request.DisconnectAfter > 0 {
			return "", false
		}
		backoff := seconds(r.script.Clients.Backoff * (0.5 + s.rng.Float64()))
		select {
		case <-time.After(max(result.RetryAfter, backoff)):
		case <-r.ctx.Done():
			return "", false
		}
	}
}

// pickNode returns a random node, as a simple load balancer does. A node that is down may be drawn until the balancer has detected its
// failure.
func (r *run) pickNode(rng *rand.Rand) *nodeSlot {
	r.mu.Lock()
	defer r.mu.Unlock()
	var candidates []*nodeSlot
	for _, slot := range r.nodes {
		if slot.node != nil || time.Since(slot.stoppedAt) < seconds(r.script.Clients.FailureDetectionDelay) {
			candidates = append(candidates, slot)
		}
	}
	if len(candidates) == 0 {
		candidates = r.nodes
	}
	return candidates[rng.IntN(len(candidates))]
}

// mayRetry reports whether a client may retry. It may after a rejection or if no node was reached, otherwise only if a repetition is
// harmless. A request that was canceled for a reason other than a timeout is not retried.
func mayRetry(c *Class, result client.Result) bool {
	if errors.Is(result.Err, context.Canceled) && result.Outcome != record.TimedOut {
		return false
	}
	return result.Outcome == record.Rejected || result.Outcome == record.Unreachable || c.Effect == "repeatable"
}
