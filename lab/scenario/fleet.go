package scenario

import "fmt"

// FleetPlan says how large a fleet is and what happens to it.
type FleetPlan struct {
	Nodes, Engines          int
	SessionsPerSecond       float64 // sessions a second
	Length                  float64 // s
	NodeRestartsPerSecond   float64 // of single nodes, a second
	EngineRestartsPerSecond float64 // engines that die and come back cold, a second
	ListDelay               float64 // s by which the list is late
	ListServer              bool    // nodes ask one list server
	RestartAllNodes         bool    // every node is restarted once more, a fifth at a time
	Load                    float64 // requests a second as a part of what the engines can do, in place of PerS; 0 = PerS holds
	Faults                  []Fault
	Seed                    uint64
}

// Script writes the day of a fleet: readers, writers and a few mixed engines in cells of six, two classes as users have
// them, nodes restarted at random by the seed and, in the end, all of them within one second.
func (p FleetPlan) Script() *Script {
	s := &Script{Name: fmt.Sprintf("fleet of %d nodes and %d engines", p.Nodes, p.Engines), Seed: p.Seed, LengthSeconds: p.Length, Nodes: p.Nodes,
		Load:    Load{SessionsPerSecond: p.SessionsPerSecond, MaxRequests: 1_000_000},
		Tenants: []Tenant{{Name: "wellington", Share: 0.51}, {Name: "manawatu", Share: 0.42}, {Name: "wairarapa", Share: 0.07}},
		Clients: Clients{Retries: 2, Backoff: 0.3, DisconnectShare: 0.01, FailureDetectionDelay: 1.5},
		List:    List{Delay: p.ListDelay, Server: p.ListServer}, Limits: Limits{MaxAttempts: 4, LocalRead: true},
		Kinds: []Kind{{Name: "prefill", Role: "prefill", Slots: 8, Queue: 60, PrefillTokensPerSecond: 20000},
			{Name: "decode", Role: "decode", Slots: 64, Queue: 40, StepMS: 10, PerSeqMS: 0.2},
			{Name: "mixed", Role: "mixed", Slots: 48, Queue: 40, StepMS: 10, PerSeqMS: 0.2}},
		Classes: []Class{
			{Name: "roster-chat", Effect: "repeatable", Share: 0.82, LatencyObjective: 1, LatencyObjectivePerK: 0.04, Patience: 5, PatiencePerK: 0.08, TokenLatencyObjective: 0.06,
				NewTokens: 200, AnswerTokens: 15, Prefixes: 40, PrefixTokens: 600, PrefixShare: 0.8},
			{Name: "roster-commit", Effect: "once", Share: 0.18, LatencyObjective: 3, LatencyObjectivePerK: 0.12, Patience: 8, PatiencePerK: 0.24, TokenLatencyObjective: 0.08,
				NewTokens: 600, AnswerTokens: 20}}}
	for i := range p.Engines {
		kind := []string{"prefill", "decode", "decode", "prefill", "decode", "mixed"}[i%6]
		s.Engines = append(s.Engines, Group{Kind: kind, Count: 1, Cell: fmt.Sprint("c", i/6)})
	}
	whole := p.Length * 0.85
	if p.NodeRestartsPerSecond > 0 {
		s.Faults = append(s.Faults, Fault{Kind: "restarts", At: p.Length * 0.05, Len: whole, Size: p.NodeRestartsPerSecond, Extra: 0.3})
	}
	if p.EngineRestartsPerSecond > 0 {
		s.Faults = append(s.Faults, Fault{Kind: "churn", At: p.Length * 0.05, Len: whole, Size: p.EngineRestartsPerSecond, Extra: 2})
	}
	if p.RestartAllNodes {
		s.Faults = append(s.Faults, Fault{Kind: "balancer_roll", At: p.Length * 0.92, Len: 1, Part: 1, Size: 0.2, Extra: 0.1})
	}
	s.Faults = append(s.Faults, p.Faults...)
	s.defaults()
	if p.Load > 0 {
		s.Load.SessionsPerSecond = p.Load * s.Capacity()
	}
	return s
}

// readFixed is what a read costs beside its new tokens, in tokens, as the stand-ins have it.
const readFixed = 50

// Capacity is how many sessions a second the engines can serve, by the stage that is shorter: prompts read, and answers
// written with all slots in use. Beginnings are taken to be kept where they are read, and mixed engines to write: it is
// the capacity of a fleet whose homes hold. One that has lost them, or sends reads elsewhere, has less.
func (s *Script) Capacity() float64 {
	var read, write float64 // tokens a second
	s.each(func(_ string, k Kind, g Group) {
		if k.Role == "prefill" {
			read += k.PrefillTokensPerSecond * g.Speed
			return
		}
		slots := float64(k.Slots)
		write += slots / ((k.StepMS + k.PerSeqMS*slots) / 1000 / g.Speed)
	})
	var share, prompt, answer float64
	for _, c := range s.Classes {
		share += c.Share
		prompt += c.Share * c.Turns * (c.NewTokens + readFixed)
		answer += c.Share * c.Turns * c.AnswerTokens
	}
	return share * min(read/max(1, prompt), write/max(1, answer))
}

// RestartFaults restarts all readers in steps, so many at a time, one step every few seconds from a time on: a release.
func RestartFaults(readers []string, atATime int, from, every, down float64) []Fault {
	var ts []Fault
	for i := 0; i < len(readers); i += atATime {
		ts = append(ts, Fault{Kind: "crash", At: from + every*float64(i/atATime), Len: down,
			Engines: readers[i:min(len(readers), i+atATime)]})
	}
	return ts
}

// PrefillEngines lists the ids of the engines that only read prompts.
func (s *Script) PrefillEngines() []string {
	var ids []string
	s.each(func(id string, k Kind, _ Group) {
		if k.Role == "prefill" {
			ids = append(ids, id)
		}
	})
	return ids
}
