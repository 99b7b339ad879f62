package config

import (
	"dillroute/scheduler"
)

// The scheduler's values for the words of the configuration.
var (
	effects = map[string]scheduler.Effect{"repeatable": scheduler.Idempotent, "by_key": scheduler.IdempotentByKey,
		"once": scheduler.AtMostOnce}
	dedupScopes = map[string]scheduler.DedupScope{"all": scheduler.DedupFleet, "zone": scheduler.DedupZone, "cell": scheduler.DedupCell}
	roles       = map[string]scheduler.Role{"prefill": scheduler.Prefill, "decode": scheduler.Decode, "mixed": scheduler.Mixed}
	reports     = map[string]scheduler.ReportStyle{"off": scheduler.ReportOff, "inline": scheduler.ReportInline}
)

// Scheduler returns the configuration of the node's scheduler.
func (c *Config) Scheduler() scheduler.Config {
	zone, _ := indexOf(c.Zones, c.Node.Zone)
	s := scheduler.Config{NodeIndex: c.Node.Index, NodeCount: c.Node.Count, Zone: zone, ZoneCount: len(c.Zones),
		ReportStyle: reports[c.Reports], DecodeEnginesPrefill: c.DecodeEnginesPrefill, Tick: c.Tick,
		Limits: scheduler.Limits{MaxAttempts: c.Limits.MaxAttempts, Cancel: true, HedgedRequests: c.Limits.HedgedRequests,
			RetryAfter: true, MaxRetryAfter: c.Limits.MaxRetryAfter},
		Rules: scheduler.Rules{AnswerSlack: c.Rules.AnswerSlack, SlowStartShare: c.Rules.SlowStartShare,
			SlowStartDuration: c.Rules.SlowStartDuration,
			DrainGrace:        c.Rules.DrainGrace, OverloadMultiple: c.Rules.OverloadMultiple, SlowStartWindow: c.Rules.SlowStartWindow,
			StateReleaseLimit: c.Rules.StateReleaseLimit}}
	for _, k := range c.Classes {
		s.Classes = append(s.Classes, scheduler.Class{
			Effect: effects[k.Effect], DedupScope: dedupScopes[k.DedupScope], DedupWindow: k.DedupWindow,
			FirstTokenObjective: k.FirstTokenObjective, ObjectivePer1KTokens: k.ObjectivePer1KTokens, ClientTimeout: k.ClientTimeout,
			OutputTokenObjective: k.OutputTokenObjective, PriorityWeight: k.PriorityWeight, LateValue: k.LateValue})
	}
	for _, k := range c.Kinds {
		s.Kinds = append(s.Kinds, scheduler.Kind{Role: roles[k.Role], Memory: k.Memory})
	}
	for _, t := range c.Tenants {
		s.Tenants = append(s.Tenants, scheduler.Tenant{Quota: t.Quota})
	}
	return s
}
