package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
)

const (
	// maxPromptTokens is the maximum length of a prompt (tokens).
	maxPromptTokens = 60000
	// heavyFactor is the factor by which HeavyPrompts multiplies the length of prompts.
	heavyFactor = 6
	// overrunFactor is the factor by which TenantOverrun multiplies the requests of a tenant.
	overrunFactor = 3
	// disconnectShare is the fraction of the clients that disconnect without a fault.
	disconnectShare = 0.01
	// maxResponseFactor is the maximum length of a response, as a multiple of its class's median.
	maxResponseFactor = 4
	// maxTokensFactor is the limit that a client sets for the length of its response, as a multiple of its class's median. For a
	// longer response, the limit is the length of that response.
	maxTokensFactor = 3
	// maxPrefixShare is the maximum fraction of a prompt that is its prefix.
	maxPrefixShare = 0.9
)

// request is a request of a user, which the client may send several times.
type request struct {
	op                string
	at                float64 // time from the start of the run (s)
	class, tenant     int
	zone              int
	session           string
	prefix            string // "" = none
	prefixTokens      float64
	promptTokens      float64
	responseTokens    int
	maxResponseTokens int
	draws             draws
	disconnectAfter   float64 // s; 0 = never
}

// draws are a request's own random numbers, from 0 to 1, so that its client behaves the same with both policies.
type draws struct{ node, patience, disconnect, backoff float64 }

// requests generates the requests of the run.
func (s *Scenario) requests() []*request {
	rng := rand.New(rand.NewPCG(s.Site.Seed, 0xc11e))
	classShares := make([]float64, len(s.Site.Classes))
	for i, c := range s.Site.Classes {
		classShares[i] = c.Share
	}
	var requests []*request
	for at := 0.0; ; {
		rate, tenantShares := s.traffic(at)
		at += rng.ExpFloat64() / rate
		if at >= s.Length {
			return requests
		}
		q := &request{ // the order of the fields is that of the draws
			op:     fmt.Sprintf("op%d", len(requests)),
			at:     at,
			class:  drawIndex(rng, classShares),
			tenant: drawIndex(rng, tenantShares),
			zone:   drawIndex(rng, s.Site.Zones),
		}
		s.drawSizes(rng, q)
		s.drawClient(rng, q)
		requests = append(requests, q)
	}
}

// traffic returns the request rate at a time (requests/s), and the weights by which tenants share it.
func (s *Scenario) traffic(at float64) (rate float64, tenantShares []float64) {
	rate = s.Site.Rate
	if f, ok := s.active(Burst, at); ok {
		rate *= 1 + f.Fraction
	}
	for _, t := range s.Site.Tenants {
		tenantShares = append(tenantShares, t.Share)
	}
	if _, ok := s.active(TenantOverrun, at); ok {
		rate += (overrunFactor - 1) * tenantShares[0] * s.Site.Rate
		tenantShares[0] *= overrunFactor
	}
	return rate, tenantShares
}

// drawSizes generates the prompt, the response, the session and the prefix of a request.
func (s *Scenario) drawSizes(rng *rand.Rand, q *request) {
	c := s.Site.Classes[q.class]
	prompt := c.PromptTokens * math.Exp(c.Spread*rng.NormFloat64())
	if f, ok := s.active(HeavyPrompts, q.at); ok && rng.Float64() < f.Fraction {
		prompt *= heavyFactor
	}
	q.promptTokens = min(prompt, maxPromptTokens)
	factor := min(maxResponseFactor, math.Exp(c.Spread*rng.NormFloat64()))
	q.responseTokens = max(4, int(factor*c.ResponseTokens))
	q.maxResponseTokens = max(q.responseTokens, int(maxTokensFactor*c.ResponseTokens))
	q.session = fmt.Sprintf("s%x", rng.Uint64())
	if c.PrefixTokens > 0 {
		q.prefixTokens = min(c.PrefixTokens, maxPrefixShare*q.promptTokens)
		q.prefix = fmt.Sprintf("%x-%x", q.class, rng.IntN(c.PrefixCount))
	}
}

// drawClient generates the behavior of a request's client.
func (s *Scenario) drawClient(rng *rand.Rand, q *request) {
	q.draws = draws{node: rng.Float64(), patience: rng.Float64(), disconnect: rng.Float64(), backoff: rng.Float64()}
	share := disconnectShare
	if f, ok := s.active(ClientsDisconnect, q.at); ok {
		share = f.Fraction
	}
	if q.draws.disconnect < share {
		q.disconnectAfter = s.Site.Classes[q.class].LatencyObjective * (0.05 + 1.2*rng.Float64())
	}
}

// drawIndex returns a random index of weights; the probability of an index is proportional to its weight.
func drawIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
