package scheduler

import "fmt"

// check names the first field of the Config that cannot be.
func (c *Config) check() error {
	switch {
	case c.NodeCount < 1:
		return fmt.Errorf("scheduler: Balancers is %d", c.NodeCount)
	case c.NodeIndex < 0 || c.NodeIndex >= c.NodeCount:
		return fmt.Errorf("scheduler: Rank %d is not under Balancers %d", c.NodeIndex, c.NodeCount)
	case len(c.Classes) == 0:
		return fmt.Errorf("scheduler: Classes is empty")
	case len(c.Kinds) == 0:
		return fmt.Errorf("scheduler: Kinds is empty")
	case c.Limits.MaxAttempts < 1:
		return fmt.Errorf("scheduler: Limits.MaxAttempts is %d", c.Limits.MaxAttempts)
	case c.Zone < 0 || c.ZoneCount > 0 && c.Zone >= c.ZoneCount:
		return fmt.Errorf("scheduler: Zone %d is not under Zones %d", c.Zone, c.ZoneCount)
	case !(c.Tick >= 0):
		return fmt.Errorf("scheduler: Tick is %g", c.Tick)
	}
	for i, k := range c.Classes {
		if !(k.FirstTokenObjective >= 0 && k.ObjectivePer1KTokens >= 0 && k.ObjectivePerHintSecond >= 0 &&
			k.OutputTokenObjective >= 0 && k.ClientTimeout >= 0 && k.DedupWindow >= 0) {
			return fmt.Errorf("scheduler: Classes[%d] has a negative time", i)
		}
		if k.Effect < Idempotent || k.Effect > AtMostOnce {
			return fmt.Errorf("scheduler: Classes[%d].Effect is %d", i, k.Effect)
		}
	}
	for i, k := range c.Kinds {
		if k.Role < Prefill || k.Role > Mixed || !(k.Memory >= 0) {
			return fmt.Errorf("scheduler: Kinds[%d] has an unknown Role or negative Memory", i)
		}
	}
	u := c.Rules
	if !(u.SlowStartDuration >= 0 && u.SlowStartShare >= 0 && u.OverloadMultiple >= 0 && u.SlowStartWindow >= 0 &&
		u.StateReleaseLimit >= 0 &&
		u.PollInterval >= 0 && u.DrainGrace >= 0 && u.AnswerSlack >= 0) {
		return fmt.Errorf("scheduler: Rules has a negative figure")
	}
	return nil
}
