// Package scenario runs scripted fault scenarios against real nodes on loopback, with clients, emulated engines, and an endpoint list that
// reaches the nodes with a delay. Its kinds of faults have the names that the bench uses in its day files (see Convert).
// The rules are checked against what passes on the sockets (lab/rules). Nodes are started only through a Launch function.
package scenario

import (
	"cmp"
	"fmt"
	"slices"

	"dillroute/api"
	"dillroute/internal/config"
)

// Script is a fault scenario. api/scenario.schema.json describes each field; times are in seconds from the start.
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

// Load describes the rate at which sessions start. Shape holds pairs of a time (share of the run) and a factor of the rate, interpolated
// linearly.
type Load struct {
	SessionsPerSecond float64      `json:"per_s"`
	MaxRequests       int          `json:"max_asks"`
	Shape             [][2]float64 `json:"shape,omitempty"`
}

// Kind is a kind of emulated engine.
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

// Group is a group of engines of one kind in one cell.
type Group struct {
	Kind  string  `json:"kind"`
	Count int     `json:"count"`
	Cell  string  `json:"cell"`
	Zone  string  `json:"zone,omitempty"`
	Speed float64 `json:"speed"`
}

// Class is a class of requests, with the distributions of their sizes.
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
	NewTokens             float64 `json:"new_tokens"`    // size of a turn, mean of a log-normal distribution
	NewSigma              float64 `json:"new_sigma"`     // sigma of that distribution
	AnswerTokens          float64 `json:"answer_tokens"` // size of a response, mean of a log-normal distribution
	AnswerSigma           float64 `json:"answer_sigma"`
	Prefixes              int     `json:"prefixes"` // number of shared prefixes
	PrefixTokens          int     `json:"prefix_tokens"`
	PrefixShare           float64 `json:"prefix_share"` // share of the sessions that begin with a shared prefix
	Turns                 float64 `json:"turns"`        // mean number per session
	Think                 float64 `json:"think_s"`      // mean time between turns (s)
	NoStreamShare         float64 `json:"whole"`        // share of the requests that ask for a response without a stream
}

// Tenant describes a tenant: its share of the sessions and its quota over all nodes (requests per second; 0 = no limit).
type Tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Quota float64 `json:"quota_per_s"`
}

// Clients describes how clients behave.
type Clients struct {
	Retries               int     `json:"retries"`
	Backoff               float64 `json:"backoff_s"`
	DisconnectShare       float64 `json:"hangups"`        // share of the requests whose client disconnects during the stream
	FailureDetectionDelay float64 `json:"front_notice_s"` // time for which clients still send requests to a dead node
	AttemptShare          float64 `json:"try_share"`      // share of the patience that a client waits for one attempt
}

// List describes how the endpoint list is delivered, and with what delay.
type List struct {
	Delay  float64 `json:"notice_s"`
	Server bool    `json:"server"` // nodes poll one list server instead of reading a file each
}

// Rules holds the parameters of the rules, for the nodes and for the checker.
type Rules struct {
	AnswerSlack       float64 `json:"answer_slack_s"`
	DrainGrace        float64 `json:"drain_grace_s"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	SlowStartWindow   float64 `json:"tip_after_s"`
	StateReleaseLimit float64 `json:"let_go_by_s"`
	SlowStartShare    float64 `json:"cold_share"`
	SlowStartSeconds  float64 `json:"cold_s"`
}

// Limits is the object "limits" of a script. It holds settings that all nodes receive.
type Limits struct {
	MaxAttempts  int  `json:"max_attempts"`
	LocalPrefill bool `json:"local_read"`
}

// Fault is a fault that the run injects. The meaning of Size, Part and Extra depends on Kind; see docs/operate/scenario.md.
type Fault struct {
	Kind    string   `json:"kind"`
	At      float64  `json:"at_s"`
	Len     float64  `json:"len_s"`
	Engines []string `json:"engines,omitempty"` // ids or shell patterns; none = a share (Part) of all engines, drawn at random
	Part    float64  `json:"part,omitempty"`
	Size    float64  `json:"size,omitempty"`
	Extra   float64  `json:"extra,omitempty"`
	Class   string   `json:"class,omitempty"`
	Zone    string   `json:"zone,omitempty"`
	To      string   `json:"to,omitempty"` // the new kind of the engines, for role_change
}

var schema = config.MustSchema(api.ScenarioSchema)

// Parse reads a script, sets defaults and checks the script.
func Parse(text []byte) (*Script, error) {
	s := &Script{}
	if err := schema.Decode(text, s); err != nil {
		return nil, err
	}
	s.defaults()
	return s, s.Check()
}

// engineIDs returns the ids of all engines, in the form kind-cell-number.
func (s *Script) engineIDs() []string {
	var ids []string
	s.eachEngine(func(id string, _ Kind, _ Group) { ids = append(ids, id) })
	return ids
}

// eachEngine calls f for each engine, in the order of the script.
func (s *Script) eachEngine(f func(id string, k Kind, g Group)) {
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
