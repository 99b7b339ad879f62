package scheduler

import "fmt"

// check returns an error that names the first field of the Config with an invalid value.
func (c *Config) check() error {
	if err := c.checkNode(); err != nil {
		return err
	}
	if len(c.Classes) == 0 {
		return fmt.Errorf("scheduler: Classes is empty")
	}
	if len(c.Kinds) == 0 {
		return fmt.Errorf("scheduler: Kinds is empty")
	}
	if c.Limits.MaxAttempts < 1 {
		return fmt.Errorf("scheduler: Limits.MaxAttempts is %d", c.Limits.MaxAttempts)
	}
	if c.Zone < 0 || c.ZoneCount > 0 && c.Zone >= c.ZoneCount {
		return fmt.Errorf("scheduler: Zone %d is not below ZoneCount %d", c.Zone, c.ZoneCount)
	}
	if !(c.Tick >= 0) {
		return fmt.Errorf("scheduler: Tick is %g", c.Tick)
	}
	for i, class := range c.Classes {
		if err := class.check(i); err != nil {
			return err
		}
	}
	for i, kind := range c.Kinds {
		if kind.Role < Prefill || kind.Role > Mixed || !(kind.Memory >= 0) {
			return fmt.Errorf("scheduler: Kinds[%d] has an unknown Role or negative Memory", i)
		}
	}
	if !c.Rules.allNonNegative() {
		return fmt.Errorf("scheduler: Rules has a negative value")
	}
	return nil
}

// checkNode checks the node's index and the number of nodes.
func (c *Config) checkNode() error {
	if c.NodeCount < 1 {
		return fmt.Errorf("scheduler: NodeCount is %d", c.NodeCount)
	}
	if c.NodeIndex < 0 || c.NodeIndex >= c.NodeCount {
		return fmt.Errorf("scheduler: NodeIndex %d is not below NodeCount %d", c.NodeIndex, c.NodeCount)
	}
	return nil
}

func (c *Class) check(index int) error {
	if !allNonNegative(c.FirstTokenObjective, c.ObjectivePer1KTokens, c.ObjectivePerHintSecond, c.OutputTokenObjective,
		c.ClientTimeout, c.DedupWindow) {
		return fmt.Errorf("scheduler: Classes[%d] has a negative time", index)
	}
	if c.Effect < Idempotent || c.Effect > AtMostOnce {
		return fmt.Errorf("scheduler: Classes[%d].Effect is %d", index, int(c.Effect))
	}
	return nil
}

func (r *Rules) allNonNegative() bool {
	return allNonNegative(r.SlowStartDuration, r.SlowStartShare, r.OverloadMultiple, r.SlowStartWindow, r.StateReleaseLimit,
		r.PollInterval, r.DrainGrace, r.AnswerSlack)
}

// allNonNegative reports whether each value is a number of at least 0.
func allNonNegative(values ...float64) bool {
	for _, value := range values {
		if !(value >= 0) {
			return false
		}
	}
	return true
}
