package config

import (
	"reflect"
)

// Merge returns the configuration of a running node after a reload, and the JSON pointers of the changes that were applied and of those
// that require a restart. If the merged configuration is invalid, c stays in force and all changes require a restart.
func (c *Config) Merge(next *Config) (merged *Config, applied, restartRequired []string) {
	m := *c
	apply := func(pointer string, old, new any, set func()) {
		if !reflect.DeepEqual(old, new) {
			set()
			applied = append(applied, pointer)
		}
	}
	needsRestart := func(pointer string, old, new any) {
		if !reflect.DeepEqual(old, new) {
			restartRequired = append(restartRequired, pointer)
		}
	}
	apply("/models", c.Models, next.Models, func() { m.Models = next.Models })
	apply("/match", c.Match, next.Match, func() { m.Match = next.Match })
	apply("/session_header", c.SessionHeader, next.SessionHeader, func() { m.SessionHeader = next.SessionHeader })
	apply("/log", c.Log, next.Log, func() { m.Log = next.Log })
	apply("/limits/max_open", c.Limits.MaxOpen, next.Limits.MaxOpen, func() { m.Limits.MaxOpen = next.Limits.MaxOpen })
	apply("/limits/shutdown_s", c.Limits.Shutdown, next.Limits.Shutdown, func() { m.Limits.Shutdown = next.Limits.Shutdown })
	apply("/limits/stall_s", c.Limits.Stall, next.Limits.Stall, func() { m.Limits.Stall = next.Limits.Stall })
	if sameTenants(c.Tenants, next.Tenants) {
		apply("/tenants", c.Tenants, next.Tenants, func() { m.Tenants = next.Tenants })
	} else {
		needsRestart("/tenants", c.Tenants, next.Tenants)
	}
	limits := next.Limits
	limits.MaxOpen = c.Limits.MaxOpen
	limits.Shutdown = c.Limits.Shutdown
	limits.Stall = c.Limits.Stall
	needsRestart("/limits", c.Limits, limits)
	needsRestart("/listen", c.Listen, next.Listen)
	needsRestart("/listen_shared", c.ListenShared, next.ListenShared)
	needsRestart("/admin", c.Admin, next.Admin)
	needsRestart("/node", c.Node, next.Node)
	needsRestart("/zones", c.Zones, next.Zones)
	needsRestart("/kinds", c.Kinds, next.Kinds)
	needsRestart("/classes", c.Classes, next.Classes)
	needsRestart("/rules", c.Rules, next.Rules)
	needsRestart("/local_read", c.DecodeEnginesPrefill, next.DecodeEnginesPrefill)
	needsRestart("/reports", c.Reports, next.Reports)
	needsRestart("/tick_s", c.Tick, next.Tick)
	needsRestart("/engines", c.Engines, next.Engines)
	needsRestart("/state_dir", c.StateDir, next.StateDir)
	m.setClassDefaults()
	if err := m.check(); err != nil { // fails, for example, if a model or match rule names a class that only a restart adds
		return c, nil, append(applied, restartRequired...)
	}
	return &m, applied, restartRequired
}

// sameTenants reports whether two lists differ only in keys: the scheduler receives the tenants and their quotas only when it starts.
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
