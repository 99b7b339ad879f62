// Package simulation runs a whole fleet on virtual time (testing/synctest): nodes on in-memory sockets (lab/memnet), emulated engines
// that queue requests and slow down with load, discovery, clients and faults. Deployments and their settings are drawn from a seed. A
// baseline policy (baseline.go) serves the same requests, and the oracle (oracle.go) compares the service of the nodes with it. The
// product is accessed only through sockets and its configuration. All results are those of simulated engines.
package simulation

import "math"

// Roles of engines, as values of the settings.
const (
	RolePrefill = "read"
	RoleDecode  = "write"
	RoleMixed   = "both"
)

// Kind is one kind of engine.
type Kind struct {
	Role                   string
	Slots                  int // requests served at the same time: streams, if the kind decodes
	QueueLimit             int // maximum number of waiting requests
	PrefillTokensPerSecond float64
	StepSeconds            float64 // time per token of a single stream
	Slope                  float64 // fraction of StepSeconds that each further stream adds to a step
	MemoryTokens           float64 // capacity of its memory
}

// secondsPerToken returns the time per output token with the given number of streams (s).
func (k Kind) secondsPerToken(streams int) float64 {
	return k.StepSeconds * (1 + k.Slope*float64(max(0, streams-1)))
}

// Class is a class of requests and the distribution of its work. Times are in seconds.
type Class struct {
	Effect, Group         string
	KeyTTL                float64
	LatencyObjective      float64 // for the first token
	LatencyObjectivePerK  float64 // added to LatencyObjective per thousand tokens of the prompt
	Patience              float64 // how long a client waits for the first token
	TokenLatencyObjective float64 // per output token
	PriorityWeight        float64
	LateValue             float64 // fraction of PriorityWeight with which a late response counts
	Share                 float64 // fraction of the requests
	PromptTokens          float64 // median
	PrefixTokens          float64 // length of the shared prefix, unless the prompt is too short for it
	ResponseTokens        float64 // median
	PrefixCount           int     // number of different prefixes
	Spread                float64 // standard deviation of the logarithm of prompt and response lengths
}

// Tenant is a tenant with its share of the requests and its quota (requests/s).
type Tenant struct{ Share, Quota float64 }

// EngineSpec describes one engine of a site. Kind is an index into Site.Kinds, Zone into Site.Zones.
type EngineSpec struct {
	ID         string
	Kind       int
	Zone, Cell int
}

// Site is a deployment, including the settings that its platform gives to the nodes. Times are in seconds.
type Site struct {
	Seed              uint64
	Nodes             int
	Zones             []float64 // share of the requests, by zone
	Kinds             []Kind
	Classes           []Class
	Tenants           []Tenant
	Engines           []EngineSpec
	Rate              float64 // requests per second
	SharedDiscovery   bool    // all nodes poll one discovery service
	PollInterval      float64
	DiscoveryCapacity float64 // maximum number of polls per second that a shared discovery answers
	DiscoveryDelay    float64 // time until discovery lists a change
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
	Load              float64 // the request rate as a fraction of the engines' capacity
}

const (
	// prefillOverhead is the fixed time of a prefill, independent of its tokens (s).
	prefillOverhead = 0.01
	// cachedPrefixShare is the fraction of the prefix tokens that are assumed to be cached when the engines' work is estimated.
	cachedPrefixShare = 0.7
)

// work is the time that a request uses of one engine of a kind (s).
type work struct {
	prefill float64
	decode  float64 // its share of the engine's time, with all slots in use
}

// secondsOn returns the time that the request uses at an engine of a kind, by its role: prefill and mixed engines process the prompt,
// decode and mixed engines generate the response.
func (w work) secondsOn(k Kind) float64 {
	switch k.Role {
	case RolePrefill:
		return w.prefill
	case RoleDecode:
		return w.decode
	}
	return w.prefill + w.decode
}

// work returns the mean work of all requests at an engine of a kind.
func (s *Site) work(k Kind) work {
	var mean work
	for _, c := range s.Classes {
		w := c.work(k)
		mean.prefill += c.Share * w.prefill
		mean.decode += c.Share * w.decode
	}
	return mean
}

// work returns the mean work of the requests of the class at an engine of a kind.
func (c Class) work(k Kind) work {
	growth := math.Exp(c.Spread * c.Spread / 2) // the mean of the log-normal distribution, as a multiple of its median
	w := work{prefill: prefillOverhead + (c.PromptTokens*growth-cachedPrefixShare*c.PrefixTokens)/k.PrefillTokensPerSecond}
	if k.Role != RolePrefill {
		w.decode = c.ResponseTokens * growth * k.secondsPerToken(k.Slots) / float64(k.Slots)
	}
	return w
}

// requestsInFlight returns an estimate of the number of requests that a node has in flight.
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

// Capacity returns the number of requests per second that the engines can serve. availability returns which fraction of an engine is
// available.
func (s *Site) Capacity(availability func(EngineSpec) float64) float64 {
	var prefill, decode, mixed, mixedDecode float64
	for _, e := range s.Engines {
		k := s.Kinds[e.Kind]
		w := s.work(k)
		switch k.Role {
		case RolePrefill:
			prefill += availability(e) / w.prefill
		case RoleDecode:
			decode += availability(e) / w.decode
		default:
			mixed += availability(e) / (w.prefill + w.decode)
			mixedDecode += availability(e) / w.decode
		}
	}
	if prefill == 0 {
		return mixed
	}
	return min(prefill, decode+mixedDecode)
}
