// Package simulation plays runs of a whole fleet on virtual time (testing/synctest): nodes behind sockets in memory (lab/memnet),
// emulated engines that queue and slow down as they fill, discovery, clients and faults. Deployments and their settings are drawn
// from a seed. A baseline policy (baseline.go) serves the same requests, and the oracle (oracle.go) compares the service of the nodes
// with it. The product is reached through sockets and its configuration alone. All figures are of simulated engines.
package simulation

import "math"

// Roles of engines, in the words of the settings.
const (
	RolePrefill = "read"
	RoleDecode  = "write"
	RoleMixed   = "both"
)

// Kind is one kind of engine.
type Kind struct {
	Role                   string
	Slots                  int // requests served at once: streams, where the kind decodes
	Queue                  int // requests that may wait
	PrefillTokensPerSecond float64
	StepSeconds            float64 // per token of a lone stream
	Slope                  float64 // by which one more stream lengthens a step
	Memory                 float64 // tokens
}

// secondsPerToken returns the time per output token with so many streams (s).
func (k Kind) secondsPerToken(streams int) float64 {
	return k.StepSeconds * (1 + k.Slope*float64(max(0, streams-1)))
}

// Class is one class of requests, with the work that its requests bring. Times are in seconds.
type Class struct {
	Effect, Group         string
	KeyTTL                float64
	LatencyObjective      float64 // for the first token
	LatencyObjectivePerK  float64 // added for each thousand tokens of the prompt
	Patience              float64
	TokenLatencyObjective float64
	PriorityWeight        float64
	LateValue             float64 // share of the weight that a late response has
	Share                 float64 // of the requests
	PromptTokens          float64 // mean
	PrefixTokens          float64 // of the shared prefix within the prompt, mean
	ResponseTokens        float64 // mean
	Prefixes              int
	Spread                float64 // deviation of the logarithm of prompt and response
}

// Tenant is one account.
type Tenant struct{ Share, Quota float64 }

// EngineSpec is one engine of the site.
type EngineSpec struct {
	ID         string
	Kind       int
	Zone, Cell int
}

// Site is a deployment, and what its platform tells nodes of it. Times are in seconds.
type Site struct {
	Seed              uint64
	Nodes             int
	Zones             []float64 // share of the traffic of each
	Kinds             []Kind
	Classes           []Class
	Tenants           []Tenant
	Engines           []EngineSpec
	Rate              float64 // requests a second
	SharedDiscovery   bool    // all nodes poll one discovery service
	PollInterval      float64
	DiscoveryCapacity float64 // polls a second that a shared discovery answers
	DiscoveryDelay    float64 // after which discovery knows of a change
	CancelStopsWork   bool
	Hedging           bool
	Probes            bool
	Resume            bool
	RetryAfter        bool
	LocalPrefill      bool
	MaxAttempts       int
	SlowStartShare    float64
	SlowStartSeconds  float64
	OverloadMultiple  float64
	SlowStartWindow   float64
	DrainGrace        float64
	StateReleaseLimit float64
	Sockets           int
	MemoryMB          int
	ClientRetries     int
	Backoff           float64
	Load              float64 // the rate as a share of what the engines can serve
}

const (
	// prefillOverhead is what a prefill takes beside its tokens (s).
	prefillOverhead = 0.01
	// cachedPrefixShare is the part of the prefixes that is taken to be cached when capacity is estimated.
	cachedPrefixShare = 0.7
)

// work is the engine time that a request takes at a kind of engine (s).
type work struct {
	prefill float64
	decode  float64 // with all slots in use
}

// at returns the time that the request takes at a kind that does its part of it: prefill and mixed engines process the prompt,
// decode and mixed engines make the response.
func (w work) at(k Kind) float64 {
	switch k.Role {
	case RolePrefill:
		return w.prefill
	case RoleDecode:
		return w.decode
	}
	return w.prefill + w.decode
}

// work returns the mean over all requests.
func (s *Site) work(k Kind) work {
	var mean work
	for _, c := range s.Classes {
		w := c.work(k)
		mean.prefill += c.Share * w.prefill
		mean.decode += c.Share * w.decode
	}
	return mean
}

// work returns the mean over the requests of the class.
func (c Class) work(k Kind) work {
	growth := math.Exp(c.Spread * c.Spread / 2) // the mean of the log-normal distribution
	w := work{prefill: prefillOverhead + (c.PromptTokens*growth-cachedPrefixShare*c.PrefixTokens)/k.PrefillTokensPerSecond}
	if k.Role != RolePrefill {
		w.decode = c.ResponseTokens * growth * k.secondsPerToken(k.Slots) / float64(k.Slots)
	}
	return w
}

// requestsInFlight returns how many requests a node has in flight at a time.
func (s *Site) requestsInFlight() float64 {
	longest := 1.0
	for _, c := range s.Classes {
		for _, k := range s.Kinds {
			if k.Role != RolePrefill {
				longest = max(longest, 1+c.ResponseTokens*k.secondsPerToken(k.Slots))
			}
		}
	}
	return s.Rate / float64(s.Nodes) * longest
}

// Capacity returns how many requests a second the engines can serve; part says to what part each is there.
func (s *Site) Capacity(part func(EngineSpec) float64) float64 {
	var prefill, decode, mixed, mixedDecode float64
	for _, e := range s.Engines {
		k := s.Kinds[e.Kind]
		w := s.work(k)
		switch k.Role {
		case RolePrefill:
			prefill += part(e) / w.prefill
		case RoleDecode:
			decode += part(e) / w.decode
		default:
			mixed += part(e) / (w.prefill + w.decode)
			mixedDecode += part(e) / w.decode
		}
	}
	if prefill == 0 {
		return mixed
	}
	return min(prefill, decode+mixedDecode)
}
