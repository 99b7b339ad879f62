package scheduler

import (
	"strings"
	"testing"
)

func TestNewNamesTheInvalidField(t *testing.T) {
	for field, invalidate := range map[string]func(*Config){
		"NodeCount":   func(c *Config) { c.NodeCount = 0 },
		"NodeIndex":   func(c *Config) { c.NodeIndex = 5 },
		"Classes":     func(c *Config) { c.Classes = nil },
		"Classes[1]":  func(c *Config) { c.Classes[1].FirstTokenObjective = -1 },
		"Kinds":       func(c *Config) { c.Kinds = nil },
		"MaxAttempts": func(c *Config) { c.Limits.MaxAttempts = 0 },
		"Zone":        func(c *Config) { c.Zone = 3 },
		"Rules":       func(c *Config) { c.Rules.StateReleaseLimit = -1 },
	} {
		c := testConfig()
		invalidate(&c)
		if _, err := New(c, 1); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("got error %v, want an error that names %s", err, field)
		}
	}
}
