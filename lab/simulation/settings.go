package simulation

import (
	"encoding/json"
	"fmt"
)

// object is a JSON object of a node's settings. The platform defines the names of its members.
type object map[string]any

// Settings returns the settings object with which the platform starts the node with the given rank.
func (s *Site) Settings(rank int) map[string]any {
	var zones, kinds []string
	for i := range s.Zones {
		zones = append(zones, zoneName(i))
	}
	for i := range s.Kinds {
		kinds = append(kinds, kindName(i))
	}
	mode := "pushed"
	if s.SharedDiscovery {
		mode = "on_request"
	}
	return object{
		"accounts":      s.accounts(),
		"balancers":     s.Nodes,
		"rank":          rank,
		"zone":          rank % len(s.Zones),
		"classes":       s.classSettings(),
		"family":        "twostage",
		"family_info":   s.familyInfo(),
		"localities":    zones,
		"machine_types": kinds,
		"registry_mode": mode,
		"tick_s":        0.002,
		"guarantees":    s.guarantees(),
		"limits":        s.limits(),
		"report":        object{"fields": []string{"util", "queue", "x0"}, "how": "inline"},
		"tariffs":       object{"waste": 0.03},
	}
}

func (s *Site) accounts() []any {
	accounts := []any{}
	for i, t := range s.Tenants {
		accounts = append(accounts, object{"name": tenantName(i), "quota_per_s": t.Quota, "share": t.Share})
	}
	return accounts
}

func (s *Site) classSettings() []any {
	classes := []any{}
	for i, c := range s.Classes {
		classes = append(classes, object{
			"name":         className(i),
			"effect":       c.Effect,
			"group":        c.Group,
			"key_ttl_s":    c.KeyTTL,
			"target_s":     c.LatencyObjective,
			"hard_limit_s": c.Patience,
			"worth":        c.PriorityWeight,
			"late_value":   c.LateValue,
			"streamed":     true,
		})
	}
	return classes
}

func (s *Site) familyInfo() object {
	roles := []string{}
	var perK, perToken, memory []float64
	for _, c := range s.Classes {
		perK = append(perK, c.LatencyObjectivePerK*1e6)
		perToken = append(perToken, c.TokenLatencyObjective)
	}
	for _, k := range s.Kinds {
		roles = append(roles, k.Role)
		memory = append(memory, k.MemoryTokens)
	}
	return object{
		"ahead":                         false,
		"aim_us_per_1000_prompt_tokens": perK,
		"let_go_by_s":                   s.StateReleaseLimit,
		"local_read":                    s.LocalPrefill,
		"resume":                        s.Resume,
		"stage_of_kind":                 roles,
		"token_aim_s":                   perToken,
		"tokens_by_kind":                memory,
		"transfer_price":                0.03,
	}
}

func (s *Site) guarantees() object {
	return object{
		"answer_slack_s": 0.008,
		"ask_every_s":    s.PollInterval,
		"cold_s":         s.SlowStartSeconds,
		"cold_share":     s.SlowStartShare,
		"drain_grace_s":  s.DrainGrace,
		"fall_multiple":  s.OverloadMultiple,
		"tip_after_s":    s.SlowStartWindow,
	}
}

func (s *Site) limits() object {
	return object{
		"cancel":            s.CancelStopsWork,
		"connect_timeout_s": 0.25,
		"keepalive_s":       20,
		"max_attempts":      s.MaxAttempts,
		"max_open":          20000,
		"may_probe":         s.Probes,
		"parallel_tries":    s.Hedging,
		"retry_after":       s.RetryAfter,
		"max_retry_after_s": 1,
	}
}

func className(i int) string  { return fmt.Sprintf("class-%d", i) }
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
func zoneName(i int) string   { return fmt.Sprintf("zone-%d", i) }
func kindName(i int) string   { return fmt.Sprintf("kind-%d", i) }

// config returns the text of a node's configuration file. The node listens on listen and polls discoveryAddress; list is the current
// endpoint list of discovery.
func (s *Site) config(rank int, listen, discoveryAddress string, list []byte) []byte {
	text, err := json.Marshal(object{
		"name":      listen,
		"listen":    listen,
		"discovery": discoveryAddress,
		"seed":      fmt.Sprintf("%016x", s.Seed*1000+uint64(rank)),
		"limits":    object{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"known":     json.RawMessage(list),
		"settings":  s.Settings(rank),
	})
	if err != nil {
		panic(err) // maps of strings and numbers always encode
	}
	return text
}
