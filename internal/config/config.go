package config

import (
	"fmt"
	"path/filepath"

	"dillroute/api"
)

// Config is a node's configuration; api/config.schema.json describes each field. Times are in seconds.
type Config struct {
	Listen               string   `json:"listen"`
	ListenShared         bool     `json:"listen_shared"`
	Admin                string   `json:"admin"`
	Node                 Node     `json:"node"`
	Zones                []string `json:"zones"`
	Kinds                []Kind   `json:"kinds"`
	Classes              []Class  `json:"classes"`
	Models               []Model  `json:"models"`
	Match                []Match  `json:"match"`
	Tenants              []Tenant `json:"tenants"`
	SessionHeader        string   `json:"session_header"`
	Limits               Limits   `json:"limits"`
	Rules                Rules    `json:"rules"`
	DecodeEnginesPrefill bool     `json:"local_read"`
	Reports              string   `json:"reports"`
	Tick                 float64  `json:"tick_s"`
	Engines              Engines  `json:"engines"`
	StateDir             string   `json:"state_dir"`
	Log                  Log      `json:"log"`
}

// Node identifies this node among all nodes.
type Node struct {
	Name  string `json:"name"`
	Index int    `json:"rank"`
	Count int    `json:"nodes"`
	Zone  string `json:"zone"`
}

// Kind is a kind of engine: its role and its memory in tokens.
type Kind struct {
	Name   string  `json:"name"`
	Role   string  `json:"role"`
	Memory float64 `json:"memory_tokens"`
}

// Class is a class of requests.
type Class struct {
	Name                     string  `json:"name"`
	Effect                   string  `json:"effect"`
	DedupScope               string  `json:"group"`
	DedupWindow              float64 `json:"key_window_s"`
	FirstTokenObjective      float64 `json:"aim_s"`
	ObjectivePer1KTokens     float64 `json:"aim_per_1k_prompt_s"`
	ClientTimeout            float64 `json:"patience_s"`
	ClientTimeoutPer1KTokens float64 `json:"patience_per_1k_prompt_s"`
	OutputTokenObjective     float64 `json:"token_aim_s"`
	MaxTokens                int     `json:"max_tokens"`
	PriorityWeight           float64 `json:"worth"`
	LateValue                float64 `json:"late_value"`
}

// Model is a model that clients may name.
type Model struct {
	Name  string `json:"name"`
	Class string `json:"class"`
}

// Match is a rule that determines a request's class before its model does.
type Match struct {
	Model  string  `json:"model"`
	Header string  `json:"header"`
	Value  *string `json:"value"`
	Class  string  `json:"class"`
}

// Tenant is an account, identified by its API keys.
type Tenant struct {
	Name       string   `json:"name"`
	Keys       []string `json:"keys"`
	KeysSHA256 []string `json:"keys_sha256"`
	Quota      float64  `json:"quota_per_s"`
}

// Limits bound the resources of a node and its timeouts.
type Limits struct {
	MaxAttempts       int     `json:"max_attempts"`
	HedgedRequests    bool    `json:"parallel_tries"`
	MaxOpen           int     `json:"max_open"`
	MaxConnections    int     `json:"max_connections"`
	Descriptors       int     `json:"files"`
	MaxBody           int64   `json:"max_body_bytes"`
	MaxBufferedBody   int64   `json:"max_held_bytes"`
	MaxEvent          int     `json:"max_event_bytes"`
	MaxResponse       int     `json:"max_answer_bytes"`
	HeadTimeout       float64 `json:"head_s"`
	BodyTimeout       float64 `json:"body_s"`
	IdleTimeout       float64 `json:"idle_s"`
	WriteTimeout      float64 `json:"write_s"`
	ConnectTimeout    float64 `json:"connect_s"`
	StallTimeout      float64 `json:"stall_s"`
	EngineIdleTimeout float64 `json:"engine_idle_s"`
	EngineIdleConns   int     `json:"engine_idle_connections"`
	MaxRetryAfter     float64 `json:"max_retry_after_s"`
	ShutdownTimeout   float64 `json:"shutdown_s"`
}

// Rules are the parameters of the five rules.
type Rules struct {
	AnswerSlack       float64 `json:"answer_slack_s"`
	DrainGrace        float64 `json:"drain_grace_s"`
	SlowStartShare    float64 `json:"cold_share"`
	SlowStartDuration float64 `json:"cold_s"`
	OverloadMultiple  float64 `json:"fall_multiple"`
	SlowStartWindow   float64 `json:"tip_after_s"`
	StateReleaseLimit float64 `json:"let_go_by_s"`
}

// Engines is the source of the engine list: a file, or Consul.
type Engines struct {
	File         string  `json:"file"`
	PollInterval float64 `json:"poll_s"`
	Consul       string  `json:"consul"`
	Service      string  `json:"service"`
	MaxWait      float64 `json:"wait_s"`
	Key          string  `json:"key"`
}

// Log is the format and the level of the node's log.
type Log struct {
	Format string `json:"format"`
	Level  string `json:"level"`
}

var nodeSchema = MustSchema(api.ConfigSchema)

// defaults returns the defaults that the schema states; a test compares the two.
func defaults() Config {
	return Config{
		Node: Node{Count: 1}, SessionHeader: "X-Session-Id", DecodeEnginesPrefill: true, Reports: "inline", Tick: 0.0005,
		Limits: Limits{MaxAttempts: 4, MaxOpen: 20000, MaxConnections: 20000, MaxBody: 4 << 20, MaxBufferedBody: 1 << 30,
			MaxEvent: 1 << 20, MaxResponse: 8 << 20, HeadTimeout: 10, BodyTimeout: 30, IdleTimeout: 60, WriteTimeout: 10,
			ConnectTimeout: 0.25, StallTimeout: 20, EngineIdleTimeout: 30, EngineIdleConns: 64, MaxRetryAfter: 1, ShutdownTimeout: 30},
		Rules: Rules{AnswerSlack: 0.05, DrainGrace: 0.25, SlowStartShare: 0.25, SlowStartDuration: 14, OverloadMultiple: 4,
			SlowStartWindow: 1.5, StateReleaseLimit: 1},
		Engines: Engines{PollInterval: 1, Service: "engines", MaxWait: 30}, Log: Log{Format: "json", Level: "info"},
	}
}

// Load reads and checks a node's configuration file. Relative paths in it are resolved against its directory.
func Load(file string) (*Config, error) {
	c := defaults()
	if err := nodeSchema.DecodeFile(file, &c); err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	c.setClassDefaults()
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s:\n%w", file, err)
	}
	for _, p := range []*string{&c.Engines.File, &c.StateDir} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(filepath.Dir(file), *p)
		}
	}
	return &c, nil
}

// Parse checks and decodes the text of a configuration. Relative paths in it are not resolved.
func Parse(text []byte) (*Config, error) {
	c := defaults()
	if err := nodeSchema.Decode(text, &c); err != nil {
		return nil, err
	}
	c.setClassDefaults()
	return &c, c.check()
}
