package scenario

import (
	"fmt"
	"path"
	"slices"

	"dillroute/internal/config"
)

// Check checks that each fault is of a known kind and ends before the scenario does, and that all names to which the script refers exist.
// It returns config.Problems if it finds any.
func (s *Script) Check() error {
	c := &checker{script: s, engineIDs: s.engineIDs()}
	for i, g := range s.Engines {
		c.checkGroup(fmt.Sprintf("/engines/%d", i), g)
	}
	for i, f := range s.Faults {
		c.checkFault(fmt.Sprintf("/troubles/%d", i), f)
	}
	if len(c.problems) > 0 {
		return c.problems
	}
	return nil
}

// checker collects the problems of a script.
type checker struct {
	script    *Script
	engineIDs []string
	problems  config.Problems
}

func (c *checker) add(pointer, format string, args ...any) {
	c.problems = append(c.problems, config.Problem{Pointer: pointer, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkGroup(pointer string, g Group) {
	if !c.hasKind(g.Kind) {
		c.add(pointer+"/kind", "no kind is named %q", g.Kind)
	}
	c.checkZone(pointer, g.Zone)
}

func (c *checker) checkFault(pointer string, f Fault) {
	if _, known := faultInjectors[f.Kind]; !known {
		c.add(pointer+"/kind", "%q is not known", f.Kind)
	}
	if f.At+f.Len > c.script.LengthSeconds {
		c.add(pointer+"/len_s", "the fault ends at %g s, after the end of the scenario at %g s", f.At+f.Len, c.script.LengthSeconds)
	}
	if f.Class != "" && !slices.ContainsFunc(c.script.Classes, func(k Class) bool { return k.Name == f.Class }) {
		c.add(pointer+"/class", "no class is named %q", f.Class)
	}
	if (f.Kind == "role_change" || f.To != "") && !c.hasKind(f.To) {
		c.add(pointer+"/to", "no kind is named %q", f.To)
	}
	c.checkZone(pointer, f.Zone)
	for i, pattern := range f.Engines {
		c.checkPattern(fmt.Sprintf("%s/engines/%d", pointer, i), pattern)
	}
}

func (c *checker) checkZone(pointer, zone string) {
	if zone != "" && !slices.Contains(c.script.Zones, zone) {
		c.add(pointer+"/zone", "%q is not one of zones", zone)
	}
}

// checkPattern checks that a shell pattern matches the id of an engine.
func (c *checker) checkPattern(pointer, pattern string) {
	matches := func(id string) bool {
		ok, _ := path.Match(pattern, id)
		return ok
	}
	if _, err := path.Match(pattern, ""); err != nil {
		c.add(pointer, "the pattern %q is malformed", pattern)
	} else if !slices.ContainsFunc(c.engineIDs, matches) {
		c.add(pointer, "no engine is named %q", pattern)
	}
}

func (c *checker) hasKind(name string) bool {
	return slices.ContainsFunc(c.script.Kinds, func(k Kind) bool { return k.Name == name })
}
