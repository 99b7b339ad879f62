package scenario

import "fmt"

// FleetPlan describes a large fleet and the faults that it meets.
type FleetPlan struct {
	Nodes, Engines          int
	SessionsPerSecond       float64
	Length                  float64 // s
	NodeRestartsPerSecond   float64 // of single nodes, at random
	EngineRestartsPerSecond float64 // of single engines, at random; they start cold
	ListDelay               float64 // s
	ListServer              bool    // nodes poll one list server
	RestartAllNodes         bool    // near the end, a fifth at a time
	Load                    float64 // as a part of what the engines can do, instead of SessionsPerSecond; 0 = that holds
	Faults                  []Fault
	Seed                    uint64
}

// cellPattern is the kinds of the engines of each cell.
var cellPattern = []string{"prefill", "decode", "decode", "prefill", "decode", "mixed"}

// Script returns the script of a plan: prefill, decode and a few mixed engines in cells, two classes as users have them, nodes
// restarted at random from the seed and, near the end, all of them within one second.
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

// faults returns the faults of the plan's figures, and then those that it lists.
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

// prefillFixedTokens is what a prefill costs beside its new tokens, in tokens, at emulated engines.
const prefillFixedTokens = 50

// Capacity returns how many sessions a second the engines can serve, by the stage with less capacity: prompts processed, and
// responses made with all slots in use. Prefixes are taken to be cached where their prompts are processed, and mixed engines to
// decode: it is the capacity of a fleet whose prefix affinity holds. A fleet that has lost it, or that spreads its prompts, has less.
func (s *Script) Capacity() float64 {
	var prefill, decode float64 // tokens a second
	s.eachEngine(func(_ string, k Kind, g Group) {
		if k.Role == "prefill" {
			prefill += k.PrefillTokensPerSecond * g.Speed
		} else {
			decode += k.decodeTokensPerSecond(g.Speed)
		}
	})
	var share, prompt, answer float64
	for _, c := range s.Classes {
		share += c.Share
		prompt += c.Share * c.Turns * (c.NewTokens + prefillFixedTokens)
		answer += c.Share * c.Turns * c.AnswerTokens
	}
	return share * min(prefill/max(1, prompt), decode/max(1, answer))
}

// RestartFaults returns the faults of a release: all engines restart in steps, so many at a time, with one step every few seconds
// from a time on (s). Each is down for a time.
func RestartFaults(engines []string, atATime int, from, every, down float64) []Fault {
	var faults []Fault
	for i := 0; i < len(engines); i += atATime {
		faults = append(faults, Fault{
			Kind:    "crash",
			At:      from + every*float64(i/atATime),
			Len:     down,
			Engines: engines[i:min(len(engines), i+atATime)],
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
