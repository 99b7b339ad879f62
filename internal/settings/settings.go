// Package settings reads the settings object with which the users' platform starts a node, the same for the bench's
// adapter and for a node in service, and turns it into the module's configuration. It decides nothing.
package settings

import (
	"encoding/json"
	"fmt"

	"dillroute/scheduler"
)

// Settings are the object as far as it is used. Times are in seconds.
type Settings struct {
	Scheduler            scheduler.Config
	Classes              []string // names, in the order of Brain's
	Tenants              []string
	Zones                []string
	Kinds                []string
	MaxOpen              int
	EngineIdleTimeout    float64 // after which an idle connection is closed by an engine at the latest; 0 = not told
	ConnectTimeout       float64 // within which a connection must be made; 0 = not told
	LongestClientTimeout float64 // the longest that a client of any class waits
	ClientsResume        bool    // clients come again for the rest of a stream that broke
}

// facts mirrors the object, as far as it is used.
type facts struct {
	Balancers int `json:"balancers"`
	Rank      int `json:"rank"`
	Zone      int `json:"zone"`
	Classes   []struct {
		Name       string  `json:"name"`
		Effect     string  `json:"effect"`
		Group      string  `json:"group"`
		KeyTTL     float64 `json:"key_ttl_s"`
		Target     float64 `json:"target_s"`
		AimStretch float64 `json:"aim_stretch"`
		HardLimit  float64 `json:"hard_limit_s"`
		Worth      float64 `json:"worth"`
		LateValue  float64 `json:"late_value"`
	} `json:"classes"`
	Accounts []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"accounts"`
	Localities   []string `json:"localities"`
	MachineTypes []string `json:"machine_types"`
	RegistryMode string   `json:"registry_mode"`
	Tick         float64  `json:"tick_s"`
	Family       struct {
		Ahead     bool      `json:"ahead"`
		Resume    bool      `json:"resume"`
		LocalRead bool      `json:"local_read"`
		AimPerK   []float64 `json:"aim_us_per_1000_prompt_tokens"`
		TokenAim  []float64 `json:"token_aim_s"`
		LetGoBy   float64   `json:"let_go_by_s"`
		Stage     []string  `json:"stage_of_kind"`
		Tokens    []float64 `json:"tokens_by_kind"`
		Transfer  float64   `json:"transfer_price"`
	} `json:"family_info"`
	Guarantees struct {
		AnswerSlack  float64 `json:"answer_slack_s"`
		AskEvery     float64 `json:"ask_every_s"`
		Cold         float64 `json:"cold_s"`
		ColdShare    float64 `json:"cold_share"`
		DrainGrace   float64 `json:"drain_grace_s"`
		FallMultiple float64 `json:"fall_multiple"`
		TipAfter     float64 `json:"tip_after_s"`
	} `json:"guarantees"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		Connect       float64 `json:"connect_timeout_s"`
		KeepAlive     float64 `json:"keepalive_s"`
		MaxOpen       int     `json:"max_open"`
		MaxAttempts   int     `json:"max_attempts"`
		MayProbe      bool    `json:"may_probe"`
		ParallelTries bool    `json:"parallel_tries"`
		RetryAfter    bool    `json:"retry_after"`
		MaxRetryAfter float64 `json:"max_retry_after_s"`
	} `json:"limits"`
	Report struct {
		How    string   `json:"how"`
		Fields []string `json:"fields"`
	} `json:"report"`
	Tariffs struct {
		Probe     float64 `json:"probe"`
		Waste     float64 `json:"waste"`
		CrossZone float64 `json:"cross_zone"`
		LateFail  float64 `json:"late_fail"`
	} `json:"tariffs"`
}

// word looks a word up.
func word[T any](field, v string, words map[string]T) (T, error) {
	x, ok := words[v]
	if !ok {
		return x, fmt.Errorf("%s: unknown word %q", field, clip(v))
	}
	return x, nil
}

// at returns an element, 0 where there is none.
func at(xs []float64, i int) float64 {
	if i < len(xs) {
		return xs[i]
	}
	return 0
}

// Parse reads the object.
func Parse(text []byte) (*Settings, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, err
	}
	c, err := f.config()
	if err != nil {
		return nil, err
	}
	s := &Settings{Scheduler: c, Zones: f.Localities, Kinds: f.MachineTypes, MaxOpen: f.Limits.MaxOpen,
		EngineIdleTimeout: f.Limits.KeepAlive, ConnectTimeout: f.Limits.Connect, ClientsResume: f.Family.Resume}
	for _, k := range f.Classes {
		s.Classes = append(s.Classes, k.Name)
		s.LongestClientTimeout = max(s.LongestClientTimeout, k.HardLimit)
	}
	for _, a := range f.Accounts {
		s.Tenants = append(s.Tenants, a.Name)
	}
	return s, nil
}

// config makes the module's part.
func (f *facts) config() (c scheduler.Config, err error) {
	c = scheduler.Config{NodeIndex: f.Rank, NodeCount: f.Balancers, Zone: f.Zone, ZoneCount: len(f.Localities),
		PollsDiscovery: f.RegistryMode == "on_request", ReservationOffered: f.Family.Ahead, DecodeEnginesPrefill: f.Family.LocalRead,
		Tick: f.Tick,
		Limits: scheduler.Limits{MaxAttempts: f.Limits.MaxAttempts, Cancel: f.Limits.Cancel, Probe: f.Limits.MayProbe,
			HedgedRequests: f.Limits.ParallelTries, RetryAfter: f.Limits.RetryAfter,
			MaxRetryAfter: f.Limits.MaxRetryAfter},
		Rules: scheduler.Rules{AnswerSlack: f.Guarantees.AnswerSlack, PollInterval: f.Guarantees.AskEvery,
			SlowStartShare: f.Guarantees.ColdShare, SlowStartDuration: f.Guarantees.Cold, DrainGrace: f.Guarantees.DrainGrace,
			OverloadMultiple: f.Guarantees.FallMultiple, SlowStartWindow: f.Guarantees.TipAfter, StateReleaseLimit: f.Family.LetGoBy},
		Prices: scheduler.Prices{Probe: f.Tariffs.Probe, Waste: f.Tariffs.Waste, CrossZone: f.Tariffs.CrossZone,
			LateFailure: f.Tariffs.LateFail, Transfer: f.Family.Transfer}}
	for i, k := range f.Classes {
		cl := scheduler.Class{DedupWindow: k.KeyTTL, FirstTokenObjective: k.Target, ObjectivePerHintSecond: k.AimStretch, ClientTimeout: k.HardLimit,
			PriorityWeight: k.Worth, LateValue: k.LateValue,
			ObjectivePer1KTokens: at(f.Family.AimPerK, i) / 1e6, OutputTokenObjective: at(f.Family.TokenAim, i)}
		cl.Effect, err = word(fmt.Sprintf("classes[%d].effect", i), k.Effect,
			map[string]scheduler.Effect{"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentByKey, "once": scheduler.AtMostOnce})
		if err != nil {
			return c, err
		}
		cl.DedupScope, err = word(fmt.Sprintf("classes[%d].group", i), k.Group,
			map[string]scheduler.DedupScope{"": scheduler.DedupFleet, "all": scheduler.DedupFleet, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell})
		if err != nil {
			return c, err
		}
		c.Classes = append(c.Classes, cl)
	}
	for i := range f.MachineTypes {
		k := scheduler.Kind{Memory: at(f.Family.Tokens, i)}
		stage := "both"
		if i < len(f.Family.Stage) {
			stage = f.Family.Stage[i]
		}
		k.Role, err = word(fmt.Sprintf("family_info.stage_of_kind[%d]", i), stage,
			map[string]scheduler.Role{"read": scheduler.Prefill, "write": scheduler.Decode, "both": scheduler.Mixed})
		if err != nil {
			return c, err
		}
		c.Kinds = append(c.Kinds, k)
	}
	for _, a := range f.Accounts {
		c.Tenants = append(c.Tenants, scheduler.Tenant{Quota: a.Quota})
	}
	c.ReportStyle, err = word("report.how", f.Report.How, map[string]scheduler.ReportStyle{"": scheduler.ReportOff,
		"off": scheduler.ReportOff, "inline": scheduler.ReportInline, "on_probe": scheduler.ReportOnProbe})
	return c, err
}

// SetReportField puts a figure of a load report where its name belongs, by the settings' names and by those of the users' pages;
// a name that is not known is passed over.
func SetReportField(rep *scheduler.LoadReport, name string, x float64) {
	switch name {
	case "active", "inflight":
		rep.Active, rep.Has = x, rep.Has|scheduler.HasActive
	case "waiting", "queue":
		rep.Waiting, rep.Has = x, rep.Has|scheduler.HasWaiting
	case "cpu", "util":
		rep.Utilization, rep.Has = x, rep.Has|scheduler.HasUtilization
	case "avg_ms", "latency_ms":
		rep.LatencyMS, rep.Has = x, rep.Has|scheduler.HasLatency
	case "x0":
		rep.MemoryShare, rep.Has = x, rep.Has|scheduler.HasMemoryShare
	case "x1":
		rep.TokensWaiting, rep.Has = x*1000, rep.Has|scheduler.HasTokensWaiting
	}
}

// clip shortens a word for an error.
func clip(s string) string {
	if len(s) > 60 {
		return s[:60] + "..."
	}
	return s
}
