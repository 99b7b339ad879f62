package simulation

import (
	"fmt"
	"math/rand/v2"
)

// Scenario describes one run: a deployment and the faults injected into it.
type Scenario struct {
	Site   Site
	Length float64 // duration of the run (s)
	Faults []Fault
}

// Fault is a fault with its time and scope.
type Fault struct {
	Kind         FaultKind
	At, Duration float64 // start and duration (s)
	Fraction     float64 // fraction of the engines, nodes or requests that it affects
	Role         string  // affects only engines of this role; "" = any role
	Zone         int     // affects only engines of this zone, if HasZone
	HasZone      bool
}

// FaultKind is the type of a fault. Engine faults use the values of EngineFault.
type FaultKind string

// Faults other than those of EngineFault.
const (
	// EngineCrash kills engines at the same time; they restart cold when the fault ends.
	EngineCrash FaultKind = "crash"
	// RollingRestart drains and restarts engines one after another.
	RollingRestart FaultKind = "release"
	// NodeRestarts shuts nodes down gracefully, one after another, and restarts them.
	NodeRestarts FaultKind = "restarts"
	// NodeKills kills nodes at the same time and restarts them.
	NodeKills FaultKind = "kills"
	// DiscoverySilent stops all responses of discovery.
	DiscoverySilent FaultKind = "list silent"
	// DiscoverySlow reduces the capacity of a shared discovery service to slowDiscoveryShare.
	DiscoverySlow FaultKind = "list slow"
	// DiscoveryDelayed delays endpoint list changes.
	DiscoveryDelayed FaultKind = "list late"
	// ListFlaps lists engines alternately as draining and as up.
	ListFlaps FaultKind = "list flaps"
	// Burst increases the request rate by the fault's fraction.
	Burst FaultKind = "burst"
	// HeavyPrompts multiplies the length of a fraction of the prompts by heavyFactor.
	HeavyPrompts FaultKind = "heavy prompts"
	// RetryStorm makes clients retry more often and without backoff.
	RetryStorm FaultKind = "retry storm"
	// ClientsDisconnect makes a fraction of the clients disconnect before the response.
	ClientsDisconnect FaultKind = "clients leave"
	// IdleClients opens connections that send nothing.
	IdleClients FaultKind = "idle clients"
	// SlowClients makes a fraction of the clients send their requests in two parts.
	SlowClients FaultKind = "slow clients"
	// TenantOverrun makes the first tenant send overrunFactor times its share.
	TenantOverrun FaultKind = "tenant overrun"
)

// String returns the fault as reports print it.
func (f Fault) String() string {
	where := ""
	if f.Role != "" {
		where = " of role " + f.Role
	}
	if f.HasZone {
		where += " in " + zoneName(f.Zone)
	}
	return fmt.Sprintf("%s (%.2f%s) from %.1f s for %.1f s", f.Kind, f.Fraction, where, f.At, f.Duration)
}

// lastEnd returns the time at which the last fault ends (s).
func (s *Scenario) lastEnd() float64 {
	end := 0.0
	for _, f := range s.Faults {
		end = max(end, f.At+f.Duration)
	}
	return end
}

// active returns the fault of the given kind that is active at a time; false = none is.
func (s *Scenario) active(kind FaultKind, at float64) (Fault, bool) {
	for _, f := range s.Faults {
		if f.Kind == kind && at >= f.At && at < f.At+f.Duration {
			return f, true
		}
	}
	return Fault{}, false
}

// drawnLength is the duration of a run that is drawn from a seed (s).
const drawnLength = 45

// drawnFaults are the faults to draw from; EngineCrash is listed twice, so that it is drawn twice as often.
var drawnFaults = []FaultKind{
	FaultKind(Hangs), FaultKind(Silent), FaultKind(RejectsAll), FaultKind(FailsAll), FaultKind(SlowsDown), FaultKind(LosesStates),
	FaultKind(LosesPrefixes), EngineCrash, EngineCrash, RollingRestart, NodeRestarts, NodeKills, DiscoverySilent, DiscoverySlow,
	DiscoveryDelayed, ListFlaps, Burst, HeavyPrompts, RetryStorm, ClientsDisconnect, IdleClients, SlowClients, TenantOverrun,
}

// DrawScenario draws a deployment and one or two faults from a seed.
func DrawScenario(seed uint64, nodes int, maxRate float64) Scenario {
	scenario := Scenario{Site: Draw(seed, nodes, maxRate), Length: drawnLength}
	rng := rand.New(rand.NewPCG(seed, 0xda1))
	for range 1 + rng.IntN(2) {
		f := Fault{ // the order of the fields is that of the draws
			Kind:     drawnFaults[rng.IntN(len(drawnFaults))],
			At:       uniform(rng, 8, 14),
			Duration: uniform(rng, 4, 12),
			Fraction: pick(rng, 0.1, 0.2, 0.4),
		}
		switch f.Kind {
		case EngineCrash:
			f.drawScope(rng, &scenario.Site)
		case NodeRestarts, RollingRestart:
			f.Fraction = 1
		case NodeKills:
			f.Fraction = uniform(rng, 0.3, 0.8)
		case Burst:
			f.Fraction = uniform(rng, 0.4, 0.9)
		}
		scenario.Faults = append(scenario.Faults, f)
	}
	return scenario
}

// drawScope draws whether a crash affects all engines of a role, all engines of a zone, or a fraction of all engines.
func (f *Fault) drawScope(rng *rand.Rand, s *Site) {
	switch rng.IntN(3) {
	case 0:
		f.Role = s.Kinds[rng.IntN(len(s.Kinds))].Role
		f.Fraction = 1
	case 1:
		f.Zone = rng.IntN(len(s.Zones))
		f.HasZone = true
		f.Fraction = 1
	}
}
