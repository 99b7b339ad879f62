package badday

import "fmt"

// FleetPlan says how large a fleet is and what happens to it.
type FleetPlan struct {
	Nodes, Engines int
	PerS           float64 // sessions a second
	Length         float64 // s
	Restarts       float64 // of single nodes, a second
	Churn          float64 // engines that die and come back cold, a second
	Notice         float64 // s by which the list is late
	ListServer     bool    // nodes ask one list server
	Roll           bool    // every node is restarted once more, a fifth at a time
	Seed           uint64
}

// Script writes the day of a fleet: readers, writers and a few mixed engines in cells of six, two classes as users have
// them, nodes restarted at random by the seed and, in the end, all of them within one second.
func (p FleetPlan) Script() *Script {
	s := &Script{Name: fmt.Sprintf("fleet of %d nodes and %d engines", p.Nodes, p.Engines), Seed: p.Seed, Length: p.Length, Nodes: p.Nodes,
		Load:    Load{PerS: p.PerS, MaxAsks: 1_000_000},
		Tenants: []Tenant{{Name: "wellington", Share: 0.51}, {Name: "manawatu", Share: 0.42}, {Name: "wairarapa", Share: 0.07}},
		Clients: Clients{Retries: 2, Backoff: 0.3, Hangups: 0.01, Notice: 1.5},
		List:    List{Notice: p.Notice, Server: p.ListServer}, Limits: Limits{MaxAttempts: 4, LocalRead: true},
		Kinds: []Kind{{Name: "prefill", Role: "prefill", Slots: 8, Queue: 60, ReadPerS: 20000},
			{Name: "decode", Role: "decode", Slots: 64, Queue: 40, StepMS: 10, PerSeqMS: 0.2},
			{Name: "mixed", Role: "mixed", Slots: 48, Queue: 40, StepMS: 10, PerSeqMS: 0.2}},
		Classes: []Class{
			{Name: "roster-chat", Effect: "repeatable", Share: 0.82, Aim: 1, AimPerK: 0.04, Patience: 5, PatiencePerK: 0.08, TokenAim: 0.06,
				NewTokens: 200, AnswerTokens: 15, Prefixes: 40, PrefixTokens: 600, PrefixShare: 0.8},
			{Name: "roster-commit", Effect: "once", Share: 0.18, Aim: 3, AimPerK: 0.12, Patience: 8, PatiencePerK: 0.24, TokenAim: 0.08,
				NewTokens: 600, AnswerTokens: 20}}}
	for i := range p.Engines {
		kind := []string{"prefill", "decode", "decode", "prefill", "decode", "mixed"}[i%6]
		s.Engines = append(s.Engines, Group{Kind: kind, Count: 1, Cell: fmt.Sprint("c", i/6)})
	}
	whole := p.Length * 0.85
	if p.Restarts > 0 {
		s.Troubles = append(s.Troubles, Trouble{Kind: "restarts", At: p.Length * 0.05, Len: whole, Size: p.Restarts, Extra: 0.3})
	}
	if p.Churn > 0 {
		s.Troubles = append(s.Troubles, Trouble{Kind: "churn", At: p.Length * 0.05, Len: whole, Size: p.Churn, Extra: 2})
	}
	if p.Roll {
		s.Troubles = append(s.Troubles, Trouble{Kind: "balancer_roll", At: p.Length * 0.92, Len: 1, Part: 1, Size: 0.2, Extra: 0.1})
	}
	s.defaults()
	return s
}
