package scenario

import "fmt"

// FleetPlan describes a large fleet, its load and its faults. Script turns it into a script.
type FleetPlan struct {
	Nodes, Engines          int
	SessionsPerSecond       float64
	Length                  float64 // s
	NodeRestartsPerSecond   float64 // rate of restarts of single nodes, at random
	EngineRestartsPerSecond float64 // rate of restarts of single engines, at random, with slow start
	ListDelay               float64 // s
	ListServer              bool    // nodes poll one list server
	RestartAllNodes         bool    // all nodes restart near the end, a fifth at a time
	Load                    float64 // share of the engines' capacity; 0 = SessionsPerSecond applies
	Faults                  []Fault
	Seed                    uint64
}

// cellPattern lists the kinds of the engines in a cell.
var cellPattern = []string{"prefill", "decode", "decode", "prefill", "decode", "mixed"}

// Script returns the script of a plan. It has prefill, decode and a few mixed engines in cells, two classes that resemble those of users,
// and the faults of the plan. If the plan says so, nodes restart at random times, which the seed determines, and all nodes restart within
// one second near the end.
func (p FleetPlan) Script() *Script {
	s := &Script{
		Name:          fmt.Sprintf("fleet of %d nodes and %d engines", p.Nodes, p.Engines),
		Seed:          p.Seed,
		LengthSeconds: p.Length,
		Nodes:         p.Nodes,
		Load:          Load{SessionsPerSecond: p.SessionsPerSecond, MaxRequests: 1_000_000},
		Tenants: []Tenant{
			{Name: "wellington", Share: 0.51},
			{Name: "manawatu", Share: 0.42},
			{Name: "wairarapa", Share: 0.07},
		},
		Clients: Clients{Retries: 2, Backoff: 0.3, DisconnectShare: 0.01, FailureDetectionDelay: 1.5},
		List:    List{Delay: p.ListDelay, Server: p.ListServer},
		Limits:  Limits{MaxAttempts: 4, LocalPrefill: true},
		Kinds: []Kind{
			{Name: "prefill", Role: "prefill", Slots: 8, Queue: 60, PrefillTokensPerSecond: 20000},
			{Name: "decode", Role: "decode", Slots: 64, Queue: 40, StepMS: 10, PerSeqMS: 0.2},
			{Name: "mixed", Role: "mixed", Slots: 48, Queue: 40, StepMS: 10, PerSeqMS: 0.2},
		},
		Classes: fleetClasses(),
		Faults:  p.faults(),
	}
	for i := range p.Engines {
		cell := fmt.Sprint("c", i/len(cellPattern))
		s.Engines = append(s.Engines, Group{Kind: cellPattern[i%len(cellPattern)], Count: 1, Cell: cell})
	}
	s.defaults()
	if p.Load > 0 {
		s.Load.SessionsPerSecond = p.Load * s.Capacity()
	}
	return s
}

func fleetClasses() []Class {
	return []Class{
		{
			Name:                  "roster-chat",
			Effect:                "repeatable",
			Share:                 0.82,
			LatencyObjective:      1,
			LatencyObjectivePerK:  0.04,
			Patience:              5,
			PatiencePerK:          0.08,
			TokenLatencyObjective: 0.06,
			NewTokens:             200,
			AnswerTokens:          15,
			Prefixes:              40,
			PrefixTokens:          600,
			PrefixShare:           0.8,
		},
		{
			Name:                  "roster-commit",
			Effect:                "once",
			Share:                 0.18,
			LatencyObjective:      3,
			LatencyObjectivePerK:  0.12,
			Patience:              8,
			PatiencePerK:          0.24,
			TokenLatencyObjective: 0.08,
			NewTokens:             600,
			AnswerTokens:          20,
		},
	}
}

// faults returns the faults that follow from the plan's rates and RestartAllNodes, and then those in Faults.
func (p FleetPlan) faults() []Fault {
	var faults []Fault
	begin, length := p.Length*0.05, p.Length*0.85
	if p.NodeRestartsPerSecond > 0 {
		faults = append(faults, Fault{Kind: "restarts", At: begin, Len: length, Size: p.NodeRestartsPerSecond, Extra: 0.3})
	}
	if p.EngineRestartsPerSecond > 0 {
		faults = append(faults, Fault{Kind: "churn", At: begin, Len: length, Size: p.EngineRestartsPerSecond, Extra: 2})
	}
	if p.RestartAllNodes {
		faults = append(faults, Fault{Kind: "balancer_roll", At: p.Length * 0.92, Len: 1, Part: 1, Size: 0.2, Extra: 0.1})
	}
	return append(faults, p.Faults...)
}

// prefillFixedTokens is the cost of a prefill at an emulated engine in addition to its new tokens, expressed as a number of tokens.
const prefillFixedTokens = 50

// Capacity returns how many sessions per second the engines can serve. The stage with less capacity determines it: prefill, or decode
// with all slots in use. It assumes that mixed engines only decode and that each prompt is prefilled where its prefix is cached, as in
// a fleet with working prefix affinity. A fleet that has lost its affinity, or that spreads prompts with the same prefix over many
// engines, has less capacity.
func (s *Script) Capacity() float64 {
	var prefill, decode float64 // tokens per second
	s.eachEngine(func(_ string, k Kind, g Group) {
		if k.Role == "prefill" {
			prefill += k.PrefillTokensPerSecond * g.Speed
		} else {
			decode += k.decodeTokensPerSecond(g.Speed)
		}
	})
	var totalShare, promptTokens, responseTokens float64
	for _, c := range s.Classes {
		totalShare += c.Share
		promptTokens += c.Share * c.Turns * (c.NewTokens + prefillFixedTokens)
		responseTokens += c.Share * c.Turns * c.AnswerTokens
	}
	return totalShare * min(prefill/max(1, promptTokens), decode/max(1, responseTokens))
}

// RestartFaults returns the faults of a software release: all of the given engines restart in batches. The first batch stops at start and
// the others follow at the interval. Each engine is down for the downtime (all in seconds).
func RestartFaults(engines []string, batchSize int, start, interval, downtime float64) []Fault {
	var faults []Fault
	for i := 0; i < len(engines); i += batchSize {
		faults = append(faults, Fault{
			Kind:    "crash",
			At:      start + interval*float64(i/batchSize),
			Len:     downtime,
			Engines: engines[i:min(len(engines), i+batchSize)],
		})
	}
	return faults
}

// PrefillEngines returns the ids of the engines that process prompts only.
func (s *Script) PrefillEngines() []string {
	var ids []string
	s.eachEngine(func(id string, k Kind, _ Group) {
		if k.Role == "prefill" {
			ids = append(ids, id)
		}
	})
	return ids
}
