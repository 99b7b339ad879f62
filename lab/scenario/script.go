// Package scenario plays a scripted fault scenario through real nodes on loopback: clients, stand-in engines, a list that
// comes late, and troubles by the names that the bench gives its kinds. The rules are judged from what passed on
// the sockets.
package scenario

import (
	"cmp"
	"fmt"
	"path"
	"slices"

	"dillroute/api"
	"dillroute/internal/config"
)

// Script is a bad day. api/scenario.schema.json describes each field; times are in seconds from the start.
type Script struct {
	Name          string   `json:"name"`
	Seed          uint64   `json:"seed"`
	LengthSeconds float64  `json:"length_s"`
	Nodes         int      `json:"nodes"`
	Zones         []string `json:"zones,omitempty"`
	Load          Load     `json:"load"`
	Kinds         []Kind   `json:"kinds"`
	Engines       []Group  `json:"engines"`
	Classes       []Class  `json:"classes"`
	Tenants       []Tenant `json:"tenants,omitempty"`
	Clients       Clients  `json:"clients"`
	List          List     `json:"list"`
	Rules         Rules    `json:"rules"`
	Limits        Limits   `json:"limits"`
	Faults        []Fault  `json:"troubles"`
}

// Load is how much is asked. Shape holds pairs of a time (share of the day) and a factor, joined by lines.
type Load struct {
	SessionsPerSecond float64      `json:"per_s"`
	MaxRequests       int          `json:"max_asks"`
	Shape             [][2]float64 `json:"shape,omitempty"`
}

// Kind is a kind of stand-in engine.
type Kind struct {
	Name                    string  `json:"name"`
	Role                    string  `json:"role"`
	Slots                   int     `json:"slots"`
	Queue                   int     `json:"queue"`
	MemoryTokens            int     `json:"memory_tokens"`
	PrefillTokensPerSecond  float64 `json:"read_per_s"`
	StepMS                  float64 `json:"step_ms"`
	PerSeqMS                float64 `json:"per_seq_ms"`
	TransferTokensPerSecond float64 `json:"move_per_s"`
	SlowStartShare          float64 `json:"cold_share"`
	SlowStartSeconds        float64 `json:"cold_s"`
	ReportMS                float64 `json:"report_ms"`
}

// Group is some engines of a kind in a cell.
type Group struct {
	Kind  string  `json:"kind"`
	Count int     `json:"count"`
	Cell  string  `json:"cell"`
	Zone  string  `json:"zone,omitempty"`
	Speed float64 `json:"speed"`
}

// Class is a class of requests and how they look.
type Class struct {
	Name                  string  `json:"name"`
	Effect                string  `json:"effect"`
	Group                 string  `json:"group"`
	KeyTTL                float64 `json:"key_window_s"`
	Share                 float64 `json:"share"`
	LatencyObjective      float64 `json:"aim_s"`
	LatencyObjectivePerK  float64 `json:"aim_per_1k_prompt_s"`
	Patience              float64 `json:"patience_s"`
	PatiencePerK          float64 `json:"patience_per_1k_prompt_s"`
	TokenLatencyObjective float64 `json:"token_aim_s"`
	MaxTokens             int     `json:"max_tokens"`
	NewTokens             float64 `json:"new_tokens"`    // of a turn, mean of a log-normal distribution
	NewSigma              float64 `json:"new_sigma"`     // its sigma
	AnswerTokens          float64 `json:"answer_tokens"` // mean
	AnswerSigma           float64 `json:"answer_sigma"`
	Prefixes              int     `json:"prefixes"` // shared beginnings
	PrefixTokens          int     `json:"prefix_tokens"`
	PrefixShare           float64 `json:"prefix_share"` // part of sessions that begin with one
	Turns                 float64 `json:"turns"`        // mean number in a session
	Think                 float64 `json:"think_s"`      // between them
	NoStreamShare         float64 `json:"whole"`        // part asked for without a stream
}

// Tenant is an account, its part of the requests, and what it is allotted over all nodes.
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Quota float64 `json:"quota_per_s"`
}

// Clients say how clients behave.
type Clients struct {
	Retries               int     `json:"retries"`
	Backoff               float64 `json:"backoff_s"`
	DisconnectShare       float64 `json:"hangups"`        // part that leaves in mid-stream
	FailureDetectionDelay float64 `json:"front_notice_s"` // a dead node is still tried for this long
	AttemptShare          float64 `json:"try_share"`      // part of the patience that a try is given
}

// List says how late the engine list is.
type List struct {
	Delay  float64 `json:"notice_s"`
	Server bool    `json:"server"` // nodes ask one list server, in place of a file each
}

// Rules are the figures of the rules for the nodes and for the checker.
type Rules struct {
	AnswerSlack       float64 `json:"answer_slack_s"`
	DrainGrace        float64 `json:"drain_grace_s"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	SlowStartWindow   float64 `json:"tip_after_s"`
	StateReleaseLimit float64 `json:"let_go_by_s"`
	SlowStartShare    float64 `json:"cold_share"`
	SlowStartSeconds  float64 `json:"cold_s"`
}

// Limits are the allowances that the nodes are given.
type Limits struct {
	MaxAttempts int  `json:"max_attempts"`
	LocalRead   bool `json:"local_read"`
}

// Fault is something that goes wrong. The meaning of Size, Part and Extra depends on Kind; see docs/operate/scenario.md.
type Fault struct {
	Kind    string   `json:"kind"`
	At      float64  `json:"at_s"`
	Len     float64  `json:"len_s"`
	Engines []string `json:"engines,omitempty"` // ids or shell patterns; else Part of them, drawn
	Part    float64  `json:"part,omitempty"`
	Size    float64  `json:"size,omitempty"`
	Extra   float64  `json:"extra,omitempty"`
	Class   string   `json:"class,omitempty"`
	Zone    string   `json:"zone,omitempty"`
	To      string   `json:"to,omitempty"` // role_change: the kind that engines become
}

var schema = config.MustSchema(api.ScenarioSchema)

// Parse reads a script, fills defaults and checks names.
func Parse(text []byte) (*Script, error) {
	s := &Script{}
	if err := schema.Decode(text, s); err != nil {
		return nil, err
	}
	s.defaults()
	return s, s.Check()
}

func (s *Script) defaults() {
	set := func(v *float64, d float64) { *v = cmp.Or(*v, d) }
	s.Nodes = cmp.Or(s.Nodes, 2)
	if len(s.Tenants) == 0 {
		s.Tenants = []Tenant{{Name: "day"}}
	}
	for i := range s.Tenants {
		set(&s.Tenants[i].Share, 1)
	}
	s.Load.MaxRequests = cmp.Or(s.Load.MaxRequests, 20000)
	set(&s.Clients.Backoff, 0.3)
	set(&s.Clients.FailureDetectionDelay, 1)
	set(&s.Clients.AttemptShare, 1)
	set(&s.List.Delay, 0.5)
	set(&s.Rules.AnswerSlack, 0.05)
	set(&s.Rules.DrainGrace, 0.25)
	set(&s.Rules.OverloadMultiple, 4)
	set(&s.Rules.SlowStartWindow, 1.5)
	set(&s.Rules.StateReleaseLimit, 1)
	set(&s.Rules.SlowStartShare, 0.25)
	set(&s.Rules.SlowStartSeconds, 5)
	s.Limits.MaxAttempts = cmp.Or(s.Limits.MaxAttempts, 4)
	for i := range s.Kinds {
		k := &s.Kinds[i]
		k.Slots, k.Queue = cmp.Or(k.Slots, 32), cmp.Or(k.Queue, 32)
		k.MemoryTokens = cmp.Or(k.MemoryTokens, 200_000)
		set(&k.PrefillTokensPerSecond, 20_000)
		set(&k.StepMS, 10)
		set(&k.PerSeqMS, 0.2)
		set(&k.TransferTokensPerSecond, 200_000)
		set(&k.SlowStartShare, s.Rules.SlowStartShare)
		set(&k.SlowStartSeconds, s.Rules.SlowStartSeconds)
		set(&k.ReportMS, 200)
	}
	for i := range s.Engines {
		s.Engines[i].Count = cmp.Or(s.Engines[i].Count, 1)
		set(&s.Engines[i].Speed, 1)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		c.Group = cmp.Or(c.Group, "all")
		c.MaxTokens = cmp.Or(c.MaxTokens, 200)
		set(&c.Share, 1)
		set(&c.NewTokens, 300)
		set(&c.NewSigma, 0.6)
		set(&c.AnswerTokens, 20)
		set(&c.AnswerSigma, 0.5)
		set(&c.Turns, 1)
		set(&c.Think, 0.5)
	}
}

// Check looks at what refers to names.
func (s *Script) Check() error {
	var ps config.Problems
	add := func(pointer, format string, args ...any) {
		ps = append(ps, config.Problem{Pointer: pointer, Text: fmt.Sprintf(format, args...)})
	}
	for i, g := range s.Engines {
		if !slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == g.Kind }) {
			add(fmt.Sprintf("/engines/%d/kind", i), "no kind is named %q", g.Kind)
		}
		if g.Zone != "" && !slices.Contains(s.Zones, g.Zone) {
			add(fmt.Sprintf("/engines/%d/zone", i), "%q is not one of zones", g.Zone)
		}
	}
	for i, t := range s.Faults {
		at := fmt.Sprintf("/troubles/%d", i)
		if _, ok := troubles[t.Kind]; !ok {
			add(at+"/kind", "%q is not known", t.Kind)
		}
		if t.At+t.Len > s.LengthSeconds {
			add(at+"/len_s", "it ends at %g, after the day's length, %g", t.At+t.Len, s.LengthSeconds)
		}
		if t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }) {
			add(at+"/class", "no class is named %q", t.Class)
		}
		if isKind := slices.ContainsFunc(s.Kinds, func(k Kind) bool { return k.Name == t.To }); (t.Kind == "role_change" || t.To != "") && !isKind {
			add(at+"/to", "no kind is named %q", t.To)
		}
		if t.Zone != "" && !slices.Contains(s.Zones, t.Zone) {
			add(at+"/zone", "%q is not one of zones", t.Zone)
		}
		for j, pattern := range t.Engines {
			if _, err := path.Match(pattern, ""); err != nil {
				add(fmt.Sprintf("%s/engines/%d", at, j), "the pattern %q is malformed", pattern)
			} else if !slices.ContainsFunc(s.members(), func(m string) bool { ok, _ := path.Match(pattern, m); return ok }) {
				add(fmt.Sprintf("%s/engines/%d", at, j), "no engine is named %q", pattern)
			}
		}
	}
	if len(ps) > 0 {
		return ps
	}
	return nil
}

// members lists the ids of all engines: kind-cell-number.
func (s *Script) members() []string {
	var ids []string
	s.each(func(id string, _ Kind, _ Group) { ids = append(ids, id) })
	return ids
}

func (s *Script) each(f func(id string, k Kind, g Group)) {
	counts := map[string]int{}
	for _, g := range s.Engines {
		i := slices.IndexFunc(s.Kinds, func(k Kind) bool { return k.Name == g.Kind })
		if i < 0 {
			continue
		}
		for range g.Count {
			base := g.Kind + "-" + cmp.Or(g.Cell, "0")
			counts[base]++
			f(fmt.Sprintf("%s-%d", base, counts[base]), s.Kinds[i], g)
		}
	}
}
