// Package simulation plays whole days of a fleet on virtual time (testing/synctest): nodes behind in-memory sockets, stand-in
// engines that queue and slow down as they fill, discovery, clients and faults. Deployments and their settings are drawn from a
// seed. The same day is also served by a plain policy of its own (plain.go), against which the nodes' service is judged
// (oracle.go). It reaches the product through sockets and its configuration alone. Its figures are of simulated engines.
package simulation

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
)

// Roles of engines, as the settings word them.
const (
	RoleRead  = "read"
	RoleWrite = "write"
	RoleMixed = "both"
)

// Kind is one kind of engine.
type Kind struct {
	Role     string
	Slots    int     // requests served at once: streams, for whatever writes
	Queue    int     // that may wait
	ReadPerS float64 // prompt tokens a second
	StepS    float64 // seconds a token of a lone stream
	Slope    float64 // by which one more stream lengthens a step
	Memory   float64 // tokens
}

// pace returns seconds a token with so many streams.
func (k Kind) pace(streams int) float64 {
	return k.StepS * (1 + k.Slope*float64(max(0, streams-1)))
}

// Class is one class of requests, with the work that its requests bring.
type Class struct {
	Effect, Group       string
	KeyTTL              float64
	Aim, AimPerK        float64
	Patience            float64
	TokenAim            float64
	Worth, Late         float64
	Share               float64 // of the requests
	Prompt, Prefix, Out float64 // mean tokens: of the prompt, of the shared beginning within it, of the answer
	Prefixes            int
	Spread              float64 // deviation of the logarithm of prompt and answer
}

// Tenant is one account.
type Tenant struct{ Share, Quota float64 }

// EngineSpec is one engine of the site.
type EngineSpec struct {
	ID         string
	Kind       int
	Zone, Cell int
}

// Site is a deployment, and what its platform tells nodes of it.
type Site struct {
	Seed          uint64
	Nodes         int
	Zones         []float64 // part of the traffic of each
	Kinds         []Kind
	Classes       []Class
	Tenants       []Tenant
	Engines       []EngineSpec
	Rate          float64 // requests a second
	Asked         bool    // discovery is one service that all nodes ask
	AskEvery      float64
	AskCapacity   float64 // calls a second that a shared discovery answers
	NoticeS       float64 // after which discovery knows of a change
	Cancel        bool
	Copies        bool
	Probes        bool
	Resume        bool
	RetryAfter    bool
	LocalRead     bool
	MaxAttempts   int
	ColdShare     float64
	ColdFor       float64
	FallMultiple  float64
	TipAfter      float64
	DrainGrace    float64
	LetGoBy       float64
	Sockets       int
	MemoryMB      int
	ClientRetries int
	Backoff       float64
	Load          float64 // the rate against what the engines can do
}

// pick returns one of some values.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

func between(rng *rand.Rand, low, high float64) float64 { return low + (high-low)*rng.Float64() }

// Draw draws a deployment for so many nodes. Its traffic is what its engines can bear, with room to spare, up to mostRate.
func Draw(seed uint64, nodes int, mostRate float64) Site {
	rng := rand.New(rand.NewPCG(seed, 0x5174))
	s := Site{Seed: seed, Nodes: nodes, Asked: rng.IntN(2) == 0, AskEvery: between(rng, 4, 12), NoticeS: between(rng, 0.3, 2.5),
		Cancel: rng.IntN(3) > 0, Copies: rng.IntN(2) == 0, Probes: rng.IntN(2) == 0, Resume: rng.IntN(2) == 0, RetryAfter: rng.IntN(2) == 0,
		LocalRead: rng.IntN(2) == 0, MaxAttempts: 1 + rng.IntN(5), ColdShare: between(rng, 0.25, 0.5), ColdFor: between(rng, 5, 14),
		FallMultiple: between(rng, 2.5, 4), TipAfter: between(rng, 1, 2), DrainGrace: between(rng, 0.2, 0.4), LetGoBy: between(rng, 0.4, 1),
		Sockets: pick(rng, 256, 512, 1024), MemoryMB: pick(rng, 32, 96, 192), ClientRetries: rng.IntN(3), Backoff: pick(rng, 0.0, 0.1, 0.4),
		Load: between(rng, 0.4, 0.65)}
	s.drawClasses(rng)
	s.drawZones(rng)
	s.drawEngines(rng, mostRate)
	s.AskCapacity = float64(nodes) / min(countsAsTold, s.AskEvery) * between(rng, 2, 4)
	return s
}

func (s *Site) drawClasses(rng *rand.Rand) {
	effects := pick(rng, []string{"repeatable"}, []string{"once"}, []string{"by_key"}, []string{"repeatable", "once", "by_key"})
	n := 1 + rng.IntN(5)
	sum := 0.0
	for range n {
		c := Class{Effect: pick(rng, effects...), Group: pick(rng, "all", "zone", "cell"), KeyTTL: between(rng, 0.5, 3), Share: between(rng, 0.3, 1),
			Prompt: math.Exp(between(rng, math.Log(120), math.Log(5000))), Out: math.Exp(between(rng, math.Log(25), math.Log(200))),
			Worth: pick(rng, 1.0, 1, 2, 3), Late: pick(rng, 0, 0.1, 0.3), Prefixes: 1 + rng.IntN(12), Spread: between(rng, 0.1, 0.8)}
		c.Prefix = c.Prompt * pick(rng, 0, 0.3, 0.8)
		c.AimPerK = between(rng, 0.04, 0.12)
		c.Aim = pick(rng, between(rng, 0.3, 1), between(rng, 0.8, 3), between(rng, 3, 20))
		c.Patience = c.Aim * between(rng, 2.5, 5)
		c.TokenAim = between(rng, 0.045, 0.09)
		sum += c.Share
		s.Classes = append(s.Classes, c)
	}
	for i := range s.Classes {
		s.Classes[i].Share /= sum
	}
	s.Tenants = pick(rng, []Tenant{{1, 0}}, []Tenant{{0.6, 0}, {0.4, 0}}, []Tenant{{0.5, 0}, {0.3, 0}, {0.2, 0}})
}

func (s *Site) drawZones(rng *rand.Rand) {
	n := min(s.Nodes, 1+rng.IntN(4))
	sum := 0.0
	for range n {
		w := between(rng, 0.3, 1)
		s.Zones = append(s.Zones, w)
		sum += w
	}
	for i := range s.Zones {
		s.Zones[i] /= sum
	}
}

// work returns the mean engine seconds that a request takes at a kind: of a read, and of a stream at full slots.
func (s *Site) work(k Kind) (read, write float64) {
	for _, c := range s.Classes {
		r, w := c.work(k)
		read, write = read+c.Share*r, write+c.Share*w
	}
	return read, write
}

// work returns the mean engine seconds that a request of the class takes at a kind.
func (c Class) work(k Kind) (read, write float64) {
	grow := math.Exp(c.Spread * c.Spread / 2)
	read = readOverhead + (c.Prompt*grow-0.7*c.Prefix)/k.ReadPerS
	if k.Role != RoleRead {
		write = c.Out * grow * k.pace(k.Slots) / float64(k.Slots)
	}
	return read, write
}

// load returns the engine seconds of a request at an engine that does its share of it: a reader or a mixed engine reads, a
// writer or a mixed engine writes.
func load(k Kind, read, write float64) float64 {
	switch k.Role {
	case RoleRead:
		return read
	case RoleWrite:
		return write
	}
	return read + write
}

// readOverhead is what a read takes beside its tokens (s).
const readOverhead = 0.01

// drawEngines draws kinds and as many engines as the traffic needs: readers few and writers many, the reverse, mixed engines
// alone, and no mixed ones.
func (s *Site) drawEngines(rng *rand.Rand, mostRate float64) {
	speed := pick(rng, 0.5, 1, 1.5)
	reader := Kind{Role: RoleRead, Slots: 1, Queue: 15 + rng.IntN(40), ReadPerS: speed * between(rng, 12000, 25000), Memory: between(rng, 160e3, 290e3)}
	writer := Kind{Role: RoleWrite, Slots: 40 + rng.IntN(70), Queue: 10 + rng.IntN(35), ReadPerS: speed * between(rng, 5000, 8600),
		StepS: between(rng, 0.01, 0.02), Slope: between(rng, 0.005, 0.012), Memory: between(rng, 110e3, 210e3)}
	mixed := Kind{Role: RoleMixed, Slots: 30 + rng.IntN(50), Queue: 10 + rng.IntN(35), ReadPerS: speed * between(rng, 9000, 16000),
		StepS: between(rng, 0.01, 0.02), Slope: between(rng, 0.006, 0.014), Memory: between(rng, 200e3, 300e3)}
	form := rng.IntN(4)
	switch form {
	case 0:
		s.Kinds = []Kind{mixed}
	case 1:
		s.Kinds = []Kind{reader, writer}
	default:
		s.Kinds = []Kind{reader, writer, mixed}
	}
	most := min(100, max(6, s.Nodes*2))
	engines := 5 + rng.IntN(most-4)
	var counts []int
	if form == 0 {
		counts = []int{engines}
	} else {
		read, _ := s.work(reader)
		_, write := s.work(writer)
		part := read / (read + write) * pick(rng, 0.8, 1.2, 1.8)
		readers := max(1, min(engines-2, int(math.Round(part*float64(engines)))))
		counts = []int{readers, engines - readers}
		if form == 3 {
			n := max(1, (engines-readers)/3)
			counts = []int{readers, engines - readers - n, n}
		} else if form == 2 {
			counts = []int{readers, max(1, engines-readers-1), 1}
		}
	}
	cellSize := 4 + rng.IntN(4)
	for kind, n := range counts {
		for i := range n {
			cell := i * ((engines + cellSize - 1) / cellSize) / max(1, n)
			s.Engines = append(s.Engines, EngineSpec{ID: fmt.Sprintf("e%d-%03d", kind, i), Kind: kind, Zone: cell % len(s.Zones), Cell: cell})
		}
	}
	s.Rate = s.Load * s.Capacity(func(EngineSpec) float64 { return 1 })
	if s.Rate > mostRate { // as many requests as may be played: engines that are as much slower stand for more of them
		slower := mostRate / s.Rate
		for i := range s.Kinds {
			k := &s.Kinds[i]
			k.Slots = max(2, int(math.Round(float64(k.Slots)*slower)))
			k.Queue = max(2, int(math.Round(float64(k.Queue)*slower)))
			k.ReadPerS *= max(slower, 0.35)
			k.Slope /= slower
		}
		s.Rate = min(mostRate, s.Load*s.Capacity(func(EngineSpec) float64 { return 1 }))
	}
	for s.held() > float64(s.Sockets)/5 { // at most a third of the descriptors are held by clients, in a burst too
		s.Sockets *= 2
	}
	for i := range s.Tenants {
		s.Tenants[i].Quota = s.Tenants[i].Share * s.Rate / s.Load * 0.85
	}
}

// held is how many requests a node holds at a time.
func (s *Site) held() float64 {
	time := 1.0
	for _, c := range s.Classes {
		for _, k := range s.Kinds {
			if k.Role != RoleRead {
				time = max(time, 1+c.Out*k.pace(k.Slots))
			}
		}
	}
	return s.Rate / float64(s.Nodes) * time
}

// Capacity is how many requests a second the engines can serve, each to the part given.
func (s *Site) Capacity(part func(EngineSpec) float64) float64 {
	var readers, writers, mixed, mixedWrite float64
	for _, e := range s.Engines {
		k := s.Kinds[e.Kind]
		read, write := s.work(k)
		switch k.Role {
		case RoleRead:
			readers += part(e) / read
		case RoleWrite:
			writers += part(e) / write
		default:
			mixed += part(e) / (read + write)
			mixedWrite += part(e) / write
		}
	}
	if readers == 0 {
		return mixed
	}
	return min(readers, writers+mixedWrite)
}

// Settings is the object with which the platform starts the node of a number.
func (s *Site) Settings(rank int) map[string]any {
	classes, accounts, stages := []any{}, []any{}, []string{}
	var aims, paces, memory []float64
	for i, c := range s.Classes {
		classes = append(classes, map[string]any{"name": className(i), "effect": c.Effect, "group": c.Group, "key_ttl_s": c.KeyTTL, "target_s": c.Aim,
			"hard_limit_s": c.Patience, "worth": c.Worth, "late_value": c.Late, "streamed": true})
		aims, paces = append(aims, c.AimPerK*1e6), append(paces, c.TokenAim)
	}
	for i, t := range s.Tenants {
		accounts = append(accounts, map[string]any{"name": tenantName(i), "quota_per_s": t.Quota, "share": t.Share})
	}
	for _, k := range s.Kinds {
		stages, memory = append(stages, k.Role), append(memory, k.Memory)
	}
	mode := "pushed"
	if s.Asked {
		mode = "on_request"
	}
	var zones, kinds []string
	for i := range s.Zones {
		zones = append(zones, zoneName(i))
	}
	for i := range s.Kinds {
		kinds = append(kinds, kindName(i))
	}
	return map[string]any{"accounts": accounts, "balancers": s.Nodes, "rank": rank, "zone": rank % len(s.Zones), "classes": classes,
		"family": "twostage", "localities": zones, "machine_types": kinds, "registry_mode": mode, "tick_s": 0.002,
		"family_info": map[string]any{"ahead": false, "aim_us_per_1000_prompt_tokens": aims, "let_go_by_s": s.LetGoBy, "local_read": s.LocalRead,
			"resume": s.Resume, "stage_of_kind": stages, "token_aim_s": paces, "tokens_by_kind": memory, "transfer_price": 0.03},
		"guarantees": map[string]any{"answer_slack_s": 0.008, "ask_every_s": s.AskEvery, "cold_s": s.ColdFor, "cold_share": s.ColdShare,
			"drain_grace_s": s.DrainGrace, "fall_multiple": s.FallMultiple, "tip_after_s": s.TipAfter},
		"limits": map[string]any{"cancel": s.Cancel, "connect_timeout_s": 0.25, "keepalive_s": 20, "max_attempts": s.MaxAttempts, "max_open": 20000,
			"may_probe": s.Probes, "parallel_tries": s.Copies, "retry_after": s.RetryAfter, "max_retry_after_s": 1},
		"report": map[string]any{"fields": []string{"util", "queue", "x0"}, "how": "inline"}, "tariffs": map[string]any{"waste": 0.03}}
}

func className(i int) string  { return fmt.Sprintf("class-%d", i) }
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i) }
func kindName(i int) string   { return fmt.Sprintf("kind-%d", i) }

// config is the text of the configuration file of a node.
func (s *Site) config(rank int, listen, discovery string, known []byte) []byte {
	b, err := json.Marshal(map[string]any{"name": listen, "listen": listen, "discovery": discovery, "seed": fmt.Sprintf("%016x", s.Seed*1000+uint64(rank)),
		"limits": map[string]any{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets}, "known": json.RawMessage(known), "settings": s.Settings(rank)})
	if err != nil {
		panic(err) // of maps made here: always encodes
	}
	return b
}
