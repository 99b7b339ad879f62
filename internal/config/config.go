package config

import (
	"fmt"
	"path"
	"path/filepath"
	"reflect"

	"dillroute/api"
	"dillroute/scheduler"
)

// Config is a node's configuration; api/config.schema.json describes each field. Times are in seconds.
type Config struct {
	Listen        string   `json:"listen"`
	ListenShared  bool     `json:"listen_shared"`
	Admin         string   `json:"admin"`
	Node          Node     `json:"node"`
	Zones         []string `json:"zones"`
	Kinds         []Kind   `json:"kinds"`
	Classes       []Class  `json:"classes"`
	Models        []Model  `json:"models"`
	Match         []Match  `json:"match"`
	Tenants       []Tenant `json:"tenants"`
	SessionHeader string   `json:"session_header"`
	Limits        Limits   `json:"limits"`
	Rules         Rules    `json:"rules"`
	LocalRead     bool     `json:"local_read"`
	Reports       string   `json:"reports"`
	Tick          float64  `json:"tick_s"`
	Engines       Engines  `json:"engines"`
	StateDir      string   `json:"state_dir"`
	Log           Log      `json:"log"`
}

// Node says which node this is.
type Node struct {
	Name  string `json:"name"`
	Rank  int    `json:"rank"`
	Nodes int    `json:"nodes"`
	Zone  string `json:"zone"`
}

// Kind is one kind of engine.
type Kind struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Memory float64 `json:"memory_tokens"`
}

// Class is one class of request.
type Class struct {
	Name         string  `json:"name"`
	Effect       string  `json:"effect"`
	Group        string  `json:"group"`
	KeyWindow    float64 `json:"key_window_s"`
	Aim          float64 `json:"aim_s"`
	AimPerK      float64 `json:"aim_per_1k_prompt_s"`
	Patience     float64 `json:"patience_s"`
	PatiencePerK float64 `json:"patience_per_1k_prompt_s"`
	TokenAim     float64 `json:"token_aim_s"`
	MaxTokens    int     `json:"max_tokens"`
	Worth        float64 `json:"worth"`
	LateValue    float64 `json:"late_value"`
}

// Model is a model that clients may name.
type Model struct {
	Name  string `json:"name"`
	Class string `json:"class"`
}

// Match is a rule that settles a request's class before its model does.
type Match struct {
	Model  string  `json:"model"`
	Header string  `json:"header"`
	Value  *string `json:"value"`
	Class  string  `json:"class"`
}

// Tenant is an account, known by its keys.
type Tenant struct {
	Name       string   `json:"name"`
	Keys       []string `json:"keys"`
	KeysSHA256 []string `json:"keys_sha256"`
	Quota      float64  `json:"quota_per_s"`
}

// Limits bound what the node holds and how long it waits.
type Limits struct {
	MaxAttempts     int     `json:"max_attempts"`
	ParallelTries   bool    `json:"parallel_tries"`
	MaxOpen         int     `json:"max_open"`
	MaxConnections  int     `json:"max_connections"`
	Files           int     `json:"files"`
	MaxBody         int64   `json:"max_body_bytes"`
	MaxHeld         int64   `json:"max_held_bytes"`
	MaxEvent        int     `json:"max_event_bytes"`
	MaxAnswer       int     `json:"max_answer_bytes"`
	Head            float64 `json:"head_s"`
	Body            float64 `json:"body_s"`
	Idle            float64 `json:"idle_s"`
	Write           float64 `json:"write_s"`
	Connect         float64 `json:"connect_s"`
	Stall           float64 `json:"stall_s"`
	EngineIdle      float64 `json:"engine_idle_s"`
	EngineIdleConns int     `json:"engine_idle_connections"`
	MaxRetryAfter   float64 `json:"max_retry_after_s"`
	Shutdown        float64 `json:"shutdown_s"`
}

// Rules are the figures of the operators' rules.
type Rules struct {
	AnswerSlack  float64 `json:"answer_slack_s"`
	DrainGrace   float64 `json:"drain_grace_s"`
	ColdShare    float64 `json:"cold_share"`
	Cold         float64 `json:"cold_s"`
	FallMultiple float64 `json:"fall_multiple"`
	TipAfter     float64 `json:"tip_after_s"`
	LetGoBy      float64 `json:"let_go_by_s"`
}

// Engines says where the engine list is: a file, or a list server.
type Engines struct {
	File    string  `json:"file"`
	Poll    float64 `json:"poll_s"`
	Consul  string  `json:"consul"`
	Service string  `json:"service"`
	Wait    float64 `json:"wait_s"`
	Key     string  `json:"key"`
}

// Log says how the node logs.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

var nodeSchema = MustSchema(api.ConfigSchema)

// defaults are those that the schema states; a test compares the two.
func defaults() Config {
	return Config{
		Node: Node{Nodes: 1}, SessionHeader: "X-Session-Id", LocalRead: true, Reports: "inline", Tick: 0.0005,
		Limits: Limits{MaxAttempts: 4, MaxOpen: 20000, MaxConnections: 20000, MaxBody: 4 << 20, MaxHeld: 1 << 30,
			MaxEvent: 1 << 20, MaxAnswer: 8 << 20, Head: 10, Body: 30, Idle: 60, Write: 10, Connect: 0.25, Stall: 20,
			EngineIdle: 30, EngineIdleConns: 64, MaxRetryAfter: 1, Shutdown: 30},
		Rules: Rules{AnswerSlack: 0.05, DrainGrace: 0.25, ColdShare: 0.25, Cold: 14, FallMultiple: 4, TipAfter: 1.5,
			LetGoBy: 1},
		Engines: Engines{Poll: 1, Service: "engines", Wait: 30}, Log: Log{Format: "json", Level: "info"},
	}
}

// Load reads and checks a node's configuration. Relative paths in it are taken from its folder.
func Load(file string) (*Config, error) {
	c := defaults()
	if err := nodeSchema.DecodeFile(file, &c); err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	if err := c.settle(); err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	for _, p := range []*string{&c.Engines.File, &c.StateDir} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(file), *p)
		}
	}
	return &c, nil
}

// Parse checks a configuration that is at hand; its paths are left as they are.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	if err := nodeSchema.Decode(text, &c); err != nil {
		return nil, err
	}
	return &c, c.settle()
}

// settle fills the defaults within lists and checks what a schema cannot: names that refer to others.
func (c *Config) settle() error {
	var ps Problems
	add := func(pointer, format string, args ...any) {
		ps = append(ps, Problem{pointer, fmt.Sprintf(format, args...)})
	}
	classes, kinds := map[string]int{}, map[string]int{}
	for i := range c.Classes {
		k := &c.Classes[i]
		if first, twice := classes[k.Name]; twice {
			add(fmt.Sprintf("/classes/%d/name", i), "%q is /classes/%d already", k.Name, first)
		}
		classes[k.Name] = i
		if k.Group == "" {
			k.Group = "all"
		}
		if k.MaxTokens == 0 {
			k.MaxTokens = 800
		}
		if k.Worth == 0 {
			k.Worth = 1
		}
		if k.Effect == "by_key" && k.KeyWindow == 0 {
			add(fmt.Sprintf("/classes/%d/key_window_s", i), "a by_key class needs it above 0")
		}
		if k.Patience < k.Aim {
			add(fmt.Sprintf("/classes/%d/patience_s", i), "%g is less than aim_s, %g", k.Patience, k.Aim)
		}
	}
	for i, k := range c.Kinds {
		if first, twice := kinds[k.Name]; twice {
			add(fmt.Sprintf("/kinds/%d/name", i), "%q is /kinds/%d already", k.Name, first)
		}
		kinds[k.Name] = i
	}
	refer := func(pointer, class string) {
		if _, ok := classes[class]; !ok {
			add(pointer, "no class is named %q", class)
		}
	}
	models := map[string]int{}
	for i, m := range c.Models {
		refer(fmt.Sprintf("/models/%d/class", i), m.Class)
		if first, twice := models[m.Name]; twice {
			add(fmt.Sprintf("/models/%d/name", i), "%q is /models/%d already", m.Name, first)
		}
		models[m.Name] = i
	}
	for i, m := range c.Match {
		refer(fmt.Sprintf("/match/%d/class", i), m.Class)
		if _, err := path.Match(m.Model, ""); err != nil {
			add(fmt.Sprintf("/match/%d/model", i), "the pattern %q is malformed", m.Model)
		}
	}
	keys := map[string]int{}
	for i, t := range c.Tenants {
		for j, k := range t.Keys {
			if first, twice := keys[k]; twice {
				add(fmt.Sprintf("/tenants/%d/keys/%d", i, j), "the key belongs to /tenants/%d already", first)
			}
			keys[k] = i
		}
	}
	if c.Node.Rank >= c.Node.Nodes {
		add("/node/rank", "%d is not under nodes, %d", c.Node.Rank, c.Node.Nodes)
	}
	if _, ok := indexOf(c.Zones, c.Node.Zone); !ok && c.Node.Zone != "" {
		add("/node/zone", "%q is not one of zones", c.Node.Zone)
	}
	if len(ps) > 0 {
		return ps
	}
	return nil
}

func indexOf(names []string, name string) (int, bool) {
	for i, n := range names {
		if n == name {
			return i, true
		}
	}
	return 0, false
}

// ClassIndex returns the place of a class.
func (c *Config) ClassIndex(name string) (int, bool) {
	for i := range c.Classes {
		if c.Classes[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

// KindIndex returns the place of a kind.
func (c *Config) KindIndex(name string) (int, bool) {
	for i := range c.Kinds {
		if c.Kinds[i].Name == name {
			return i, true
		}
	}
	return 0, false
}

var (
	effects = map[string]scheduler.Effect{"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentByKey, "once": scheduler.AtMostOnce}
	groups  = map[string]scheduler.DedupScope{"all": scheduler.DedupFleet, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell}
	roles   = map[string]scheduler.Role{"prefill": scheduler.Prefill, "decode": scheduler.Decode, "mixed": scheduler.Mixed}
	reports = map[string]scheduler.ReportStyle{"off": scheduler.ReportOff, "inline": scheduler.ReportInline}
)

// Scheduler returns the settings of the routing module.
func (c *Config) Scheduler() scheduler.Config {
	zone, _ := indexOf(c.Zones, c.Node.Zone)
	b := scheduler.Config{NodeIndex: c.Node.Rank, NodeCount: c.Node.Nodes, Zone: zone, ZoneCount: len(c.Zones),
		ReportStyle: reports[c.Reports], DecodeEnginesPrefill: c.LocalRead, Tick: c.Tick,
		Limits: scheduler.Limits{MaxAttempts: c.Limits.MaxAttempts, Cancel: true, HedgedRequests: c.Limits.ParallelTries,
			RetryAfter: true, MaxRetryAfter: c.Limits.MaxRetryAfter},
		Rules: scheduler.Rules{AnswerSlack: c.Rules.AnswerSlack, SlowStartShare: c.Rules.ColdShare, SlowStartDuration: c.Rules.Cold,
			DrainGrace: c.Rules.DrainGrace, OverloadMultiple: c.Rules.FallMultiple, SlowStartWindow: c.Rules.TipAfter,
			StateReleaseLimit: c.Rules.LetGoBy}}
	for _, k := range c.Classes {
		b.Classes = append(b.Classes, scheduler.Class{Effect: effects[k.Effect], DedupScope: groups[k.Group], DedupWindow: k.KeyWindow,
			FirstTokenObjective: k.Aim, ObjectivePer1KTokens: k.AimPerK, ClientTimeout: k.Patience, OutputTokenObjective: k.TokenAim, PriorityWeight: k.Worth,
			LateValue: k.LateValue})
	}
	for _, k := range c.Kinds {
		b.Kinds = append(b.Kinds, scheduler.Kind{Role: roles[k.Role], Memory: k.Memory})
	}
	for _, t := range c.Tenants {
		b.Tenants = append(b.Tenants, scheduler.Tenant{Quota: t.Quota})
	}
	return b
}

// Merge returns the configuration that a running node goes on with when it is given a new one, the changes that
// take effect, and those that need a restart, by their JSON pointers.
func (c *Config) Merge(next *Config) (merged *Config, taken, refused []string) {
	m := *c
	take := func(pointer string, old, new any, set func()) {
		if !reflect.DeepEqual(old, new) {
			set()
			taken = append(taken, pointer)
		}
	}
	refuse := func(pointer string, old, new any) {
		if !reflect.DeepEqual(old, new) {
			refused = append(refused, pointer)
		}
	}
	take("/models", c.Models, next.Models, func() { m.Models = next.Models })
	take("/match", c.Match, next.Match, func() { m.Match = next.Match })
	take("/session_header", c.SessionHeader, next.SessionHeader, func() { m.SessionHeader = next.SessionHeader })
	take("/log", c.Log, next.Log, func() { m.Log = next.Log })
	take("/limits/max_open", c.Limits.MaxOpen, next.Limits.MaxOpen, func() { m.Limits.MaxOpen = next.Limits.MaxOpen })
	take("/limits/shutdown_s", c.Limits.Shutdown, next.Limits.Shutdown, func() { m.Limits.Shutdown = next.Limits.Shutdown })
	take("/limits/stall_s", c.Limits.Stall, next.Limits.Stall, func() { m.Limits.Stall = next.Limits.Stall })
	if sameTenants(c.Tenants, next.Tenants) {
		take("/tenants", c.Tenants, next.Tenants, func() { m.Tenants = next.Tenants })
	} else {
		refuse("/tenants", c.Tenants, next.Tenants)
	}
	rest := next.Limits
	rest.MaxOpen, rest.Shutdown, rest.Stall = c.Limits.MaxOpen, c.Limits.Shutdown, c.Limits.Stall
	refuse("/limits", c.Limits, rest)
	refuse("/listen", c.Listen, next.Listen)
	refuse("/listen_shared", c.ListenShared, next.ListenShared)
	refuse("/admin", c.Admin, next.Admin)
	refuse("/node", c.Node, next.Node)
	refuse("/zones", c.Zones, next.Zones)
	refuse("/kinds", c.Kinds, next.Kinds)
	refuse("/classes", c.Classes, next.Classes)
	refuse("/rules", c.Rules, next.Rules)
	refuse("/local_read", c.LocalRead, next.LocalRead)
	refuse("/reports", c.Reports, next.Reports)
	refuse("/tick_s", c.Tick, next.Tick)
	refuse("/engines", c.Engines, next.Engines)
	refuse("/state_dir", c.StateDir, next.StateDir)
	// Models and rules may name classes that this node does not have yet.
	if err := m.settle(); err != nil {
		return c, nil, append(taken, refused...)
	}
	return &m, taken, refused
}

// sameTenants tells whether two lists differ in keys alone: the module is told of tenants and quotas at its
// start.
func sameTenants(a, b []Tenant) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Name != b[i].Name || a[i].Quota != b[i].Quota {
			return false
		}
	}
	return true
}
