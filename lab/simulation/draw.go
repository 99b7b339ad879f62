package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// pick returns one of the values, chosen at random.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

func uniform(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// Draw draws a deployment with the given number of nodes from a seed. Its request rate is a fraction of its engines' capacity, and at
// most maxRate.
func Draw(seed uint64, nodes int, maxRate float64) Site {
	rng := rand.New(rand.NewPCG(seed, 0x5174))
	s := Site{ // the order of the fields is that of the draws
		Seed:              seed,
		Nodes:             nodes,
		SharedDiscovery:   rng.IntN(2) == 0,
		PollInterval:      uniform(rng, 4, 12),
		DiscoveryDelay:    uniform(rng, 0.3, 2.5),
		CancelStopsWork:   rng.IntN(3) > 0,
		Hedging:           rng.IntN(2) == 0,
		Probes:            rng.IntN(2) == 0,
		Resume:            rng.IntN(2) == 0,
		RetryAfter:        rng.IntN(2) == 0,
		LocalPrefill:      rng.IntN(2) == 0,
		MaxAttempts:       1 + rng.IntN(5),
		SlowStartShare:    uniform(rng, 0.25, 0.5),
		SlowStartSeconds:  uniform(rng, 5, 14),
		OverloadMultiple:  uniform(rng, 2.5, 4),
		SlowStartWindow:   uniform(rng, 1, 2),
		DrainGrace:        uniform(rng, 0.2, 0.4),
		StateReleaseLimit: uniform(rng, 0.4, 1),
		Sockets:           pick(rng, 256, 512, 1024),
		MemoryMB:          pick(rng, 32, 96, 192),
		ClientRetries:     rng.IntN(3),
		Backoff:           pick(rng, 0.0, 0.1, 0.4),
		Load:              uniform(rng, 0.4, 0.65),
	}
	s.drawClasses(rng)
	s.drawZones(rng)
	s.drawEngines(rng, maxRate)
	s.DiscoveryCapacity = float64(nodes) / min(changeDeliveredAfter, s.PollInterval) * uniform(rng, 2, 4)
	return s
}

func (s *Site) drawClasses(rng *rand.Rand) {
	effects := pick(rng, []string{"repeatable"}, []string{"once"}, []string{"by_key"}, []string{"repeatable", "once", "by_key"})
	count := 1 + rng.IntN(5)
	sum := 0.0
	for range count {
		c := drawClass(rng, effects)
		sum += c.Share
		s.Classes = append(s.Classes, c)
	}
	for i := range s.Classes {
		s.Classes[i].Share /= sum
	}
	s.Tenants = pick(rng,
		[]Tenant{{Share: 1}},
		[]Tenant{{Share: 0.6}, {Share: 0.4}},
		[]Tenant{{Share: 0.5}, {Share: 0.3}, {Share: 0.2}})
}

func drawClass(rng *rand.Rand, effects []string) Class {
	c := Class{ // the order of the fields is that of the draws
		Effect:         pick(rng, effects...),
		Group:          pick(rng, "all", "zone", "cell"),
		KeyTTL:         uniform(rng, 0.5, 3),
		Share:          uniform(rng, 0.3, 1),
		PromptTokens:   math.Exp(uniform(rng, math.Log(120), math.Log(5000))),
		ResponseTokens: math.Exp(uniform(rng, math.Log(25), math.Log(200))),
		PriorityWeight: pick(rng, 1.0, 1, 2, 3),
		LateValue:      pick(rng, 0, 0.1, 0.3),
		PrefixCount:    1 + rng.IntN(12),
		Spread:         uniform(rng, 0.1, 0.8),
	}
	c.PrefixTokens = c.PromptTokens * pick(rng, 0, 0.3, 0.8)
	c.LatencyObjectivePerK = uniform(rng, 0.04, 0.12)
	c.LatencyObjective = pick(rng, uniform(rng, 0.3, 1), uniform(rng, 0.8, 3), uniform(rng, 3, 20))
	c.Patience = c.LatencyObjective * uniform(rng, 2.5, 5)
	c.TokenLatencyObjective = uniform(rng, 0.045, 0.09)
	return c
}

func (s *Site) drawZones(rng *rand.Rand) {
	count := min(s.Nodes, 1+rng.IntN(4))
	sum := 0.0
	for range count {
		weight := uniform(rng, 0.3, 1)
		s.Zones = append(s.Zones, weight)
		sum += weight
	}
	for i := range s.Zones {
		s.Zones[i] /= sum
	}
}

// fleetForm is the combination of engine kinds in a site.
type fleetForm int

const (
	mixedOnly      fleetForm = iota
	noMixed                  // prefill and decode engines
	oneMixed                 // prefill and decode engines, and one mixed engine
	thirdMixed               // prefill engines, and of all others a third mixed and the rest decode engines
	fleetFormCount           // number of forms
)

// drawEngines draws the kinds and the number of engines, and sets the request rate and the quotas accordingly.
func (s *Site) drawEngines(rng *rand.Rand, maxRate float64) {
	prefill, decode, mixed := drawKinds(rng)
	form := fleetForm(rng.IntN(int(fleetFormCount)))
	switch form {
	case mixedOnly:
		s.Kinds = []Kind{mixed}
	case noMixed:
		s.Kinds = []Kind{prefill, decode}
	default:
		s.Kinds = []Kind{prefill, decode, mixed}
	}
	maxEngines := min(100, max(6, s.Nodes*2))
	engines := 5 + rng.IntN(maxEngines-4)
	counts := []int{engines}
	if form != mixedOnly {
		prefillWork := s.work(prefill).prefill
		decodeWork := s.work(decode).decode
		share := prefillWork / (prefillWork + decodeWork) * pick(rng, 0.8, 1.2, 1.8)
		counts = form.counts(engines, share)
	}
	s.placeEngines(counts, engines, 4+rng.IntN(4))
	s.setRate(maxRate)
	for s.requestsInFlight() > float64(s.Sockets)/5 { // up to a fifth of the descriptors; about a third in a burst
		s.Sockets *= 2
	}
	for i := range s.Tenants {
		s.Tenants[i].Quota = s.Tenants[i].Share * s.Rate / s.Load * 0.85
	}
}

// drawKinds draws a kind of engine for each role; the order of the fields is that of the draws.
func drawKinds(rng *rand.Rand) (prefill, decode, mixed Kind) {
	speed := pick(rng, 0.5, 1, 1.5)
	prefill = Kind{
		Role:                   RolePrefill,
		Slots:                  1,
		QueueLimit:             15 + rng.IntN(40),
		PrefillTokensPerSecond: speed * uniform(rng, 12000, 25000),
		MemoryTokens:           uniform(rng, 160e3, 290e3),
	}
	decode = Kind{
		Role:                   RoleDecode,
		Slots:                  40 + rng.IntN(70),
		QueueLimit:             10 + rng.IntN(35),
		PrefillTokensPerSecond: speed * uniform(rng, 5000, 8600),
		StepSeconds:            uniform(rng, 0.01, 0.02),
		Slope:                  uniform(rng, 0.005, 0.012),
		MemoryTokens:           uniform(rng, 110e3, 210e3),
	}
	mixed = Kind{
		Role:                   RoleMixed,
		Slots:                  30 + rng.IntN(50),
		QueueLimit:             10 + rng.IntN(35),
		PrefillTokensPerSecond: speed * uniform(rng, 9000, 16000),
		StepSeconds:            uniform(rng, 0.01, 0.02),
		Slope:                  uniform(rng, 0.006, 0.014),
		MemoryTokens:           uniform(rng, 200e3, 300e3),
	}
	return prefill, decode, mixed
}

// counts returns the number of engines of each kind; prefillShare is the fraction of prefill engines.
func (f fleetForm) counts(engines int, prefillShare float64) []int {
	prefill := max(1, min(engines-2, int(math.Round(prefillShare*float64(engines)))))
	decode := engines - prefill
	switch f {
	case thirdMixed:
		mixed := max(1, decode/3)
		return []int{prefill, decode - mixed, mixed}
	case oneMixed:
		return []int{prefill, max(1, decode-1), 1}
	}
	return []int{prefill, decode}
}

// placeEngines adds the engines of each kind, distributed over cells, and the cells over zones.
func (s *Site) placeEngines(counts []int, engines, cellSize int) {
	cells := (engines + cellSize - 1) / cellSize
	for kind, count := range counts {
		for i := range count {
			cell := i * cells / max(1, count)
			s.Engines = append(s.Engines, EngineSpec{
				ID:   fmt.Sprintf("e%d-%03d", kind, i),
				Kind: kind,
				Zone: cell % len(s.Zones),
				Cell: cell,
			})
		}
	}
}

// setRate sets the request rate from the capacity of the engines. If the rate exceeds maxRate, the engines are made slower to match
// it: several engines of a real deployment are then represented by one.
func (s *Site) setRate(maxRate float64) {
	fullyAvailable := func(EngineSpec) float64 { return 1 }
	s.Rate = s.Load * s.Capacity(fullyAvailable)
	if s.Rate <= maxRate {
		return
	}
	scale := maxRate / s.Rate
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Slots = max(2, int(math.Round(float64(k.Slots)*scale)))
		k.QueueLimit = max(2, int(math.Round(float64(k.QueueLimit)*scale)))
		k.PrefillTokensPerSecond *= max(scale, 0.35)
		k.Slope /= scale
	}
	s.Rate = min(maxRate, s.Load*s.Capacity(fullyAvailable))
}
