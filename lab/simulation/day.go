package simulation

import (
	"fmt"
	"math/rand/v2"
)

// Day is a deployment with the faults of one run.
type Day struct {
	Site   Site
	Length float64 // s
	Faults []Fault
}

// Fault is one fault, for some time.
type Fault struct {
	Kind    FaultKind
	At, For float64 // s
	Part    float64 // of the engines, nodes or requests that it affects
	Role    string  // only engines of this role; "" = of any
	Zone    int     // only engines of this zone, if Zoned
	Zoned   bool
}

// FaultKind names a fault. The faults of engines have the names of EngineFault.
type FaultKind string

// Faults beside those of single engines.
const (
	// Crash kills engines together; they start again, cold.
	Crash FaultKind = "crash"
	// Release drains engines and starts them anew, one after another.
	Release FaultKind = "release"
	// Restarts shuts nodes down gracefully, in steps, and starts them again.
	Restarts FaultKind = "restarts"
	// Kills kills nodes together and starts them again.
	Kills FaultKind = "kills"
	// ListSilent makes discovery answer nothing.
	ListSilent FaultKind = "list silent"
	// ListSlow leaves a shared discovery a part of its capacity.
	ListSlow FaultKind = "list slow"
	// ListLate delays what discovery knows.
	ListLate FaultKind = "list late"
	// ListFlaps lists engines as draining and as up again, over and over.
	ListFlaps FaultKind = "list flaps"
	// Burst raises the rate of requests.
	Burst FaultKind = "burst"
	// HeavyPrompts makes a part of the prompts many times as long.
	HeavyPrompts FaultKind = "heavy prompts"
	// RetryStorm makes clients retry at once, and often.
	RetryStorm FaultKind = "retry storm"
	// ClientsLeave makes a part of the clients disconnect before the response.
	ClientsLeave FaultKind = "clients leave"
	// IdleClients opens connections that send nothing.
	IdleClients FaultKind = "idle clients"
	// SlowClients makes a part of the clients send requests in pieces.
	SlowClients FaultKind = "slow clients"
	// TenantOverrun makes one tenant send several times its share.
	TenantOverrun FaultKind = "tenant overrun"
)

// String returns the fault as reports print it.
func (f Fault) String() string {
	where := ""
	if f.Role != "" {
		where = " of role " + f.Role
	}
	if f.Zoned {
		where += " in " + zoneName(f.Zone)
	}
	return fmt.Sprintf("%s (%.2f%s) from %.1f s for %.1f s", f.Kind, f.Part, where, f.At, f.For)
}

// lastEnd returns when the last fault has ended (s).
func (d *Day) lastEnd() float64 {
	end := 0.0
	for _, f := range d.Faults {
		end = max(end, f.At+f.For)
	}
	return end
}

// active returns the fault of a kind that is active at a time.
func (d *Day) active(kind FaultKind, at float64) (Fault, bool) {
	for _, f := range d.Faults {
		if f.Kind == kind && at >= f.At && at < f.At+f.For {
			return f, true
		}
	}
	return Fault{}, false
}

// drawnLength is the length of a drawn day (s).
const drawnLength = 45

// drawnFaults are the faults that days are drawn from; crashes are drawn twice as often.
var drawnFaults = []FaultKind{
	FaultKind(Hangs), FaultKind(Silent), FaultKind(RejectsAll), FaultKind(FailsAll), FaultKind(SlowsDown), FaultKind(LosesStates),
	FaultKind(LosesPrefixes), Crash, Crash, Release, Restarts, Kills, ListSilent, ListSlow, ListLate, ListFlaps, Burst, HeavyPrompts,
	RetryStorm, ClientsLeave, IdleClients, SlowClients, TenantOverrun,
}

// DrawDay draws a deployment and one or two faults.
func DrawDay(seed uint64, nodes int, maxRate float64) Day {
	day := Day{Site: Draw(seed, nodes, maxRate), Length: drawnLength}
	rng := rand.New(rand.NewPCG(seed, 0xda1))
	for range 1 + rng.IntN(2) {
		f := Fault{ // the order of the fields is that of the draws
			Kind: drawnFaults[rng.IntN(len(drawnFaults))],
			At:   between(rng, 8, 14),
			For:  between(rng, 4, 12),
			Part: pick(rng, 0.1, 0.2, 0.4),
		}
		switch f.Kind {
		case Crash:
			f.drawWhere(rng, &day.Site)
		case Restarts, Release:
			f.Part = 1
		case Kills:
			f.Part = between(rng, 0.3, 0.8)
		case Burst:
			f.Part = between(rng, 0.4, 0.9)
		}
		day.Faults = append(day.Faults, f)
	}
	return day
}

// drawWhere draws whether a crash affects all engines of a role, all of a zone, or a part of all.
func (f *Fault) drawWhere(rng *rand.Rand, s *Site) {
	switch rng.IntN(3) {
	case 0:
		f.Role = s.Kinds[rng.IntN(len(s.Kinds))].Role
		f.Part = 1
	case 1:
		f.Zone = rng.IntN(len(s.Zones))
		f.Zoned = true
		f.Part = 1
	}
}
