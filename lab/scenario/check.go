package scenario

import (
	"fmt"
	"path"
	"slices"

	"dillroute/internal/config"
)

// Check checks what refers to names of the script, and returns config.Problems if something is wrong.
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

// checker collects what is wrong with a script.
type checker struct {
	script    *Script
	engineIDs []string
	problems  config.Problems
}

func (c *checker) add(pointer, format string, args ...any) {
	c.problems = append(c.problems, config.Problem{Pointer: pointer, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) checkGroup(at string, g Group) {
	if !c.hasKind(g.Kind) {
		c.add(at+"/kind", "no kind is named %q", g.Kind)
	}
	c.checkZone(at, g.Zone)
}

func (c *checker) checkFault(at string, f Fault) {
	if _, known := faultPlayers[f.Kind]; !known {
		c.add(at+"/kind", "%q is not known", f.Kind)
	}
	if f.At+f.Len > c.script.LengthSeconds {
		c.add(at+"/len_s", "it ends at %g, after the day's length, %g", f.At+f.Len, c.script.LengthSeconds)
	}
	if f.Class != "" && !slices.ContainsFunc(c.script.Classes, func(k Class) bool { return k.Name == f.Class }) {
		c.add(at+"/class", "no class is named %q", f.Class)
	}
	if (f.Kind == "role_change" || f.To != "") && !c.hasKind(f.To) {
		c.add(at+"/to", "no kind is named %q", f.To)
	}
	c.checkZone(at, f.Zone)
	for i, pattern := range f.Engines {
		c.checkPattern(fmt.Sprintf("%s/engines/%d", at, i), pattern)
	}
}

func (c *checker) checkZone(at, zone string) {
	if zone != "" && !slices.Contains(c.script.Zones, zone) {
		c.add(at+"/zone", "%q is not one of zones", zone)
	}
}

// checkPattern checks that a shell pattern names an engine.
func (c *checker) checkPattern(at, pattern string) {
	matches := func(id string) bool {
		ok, _ := path.Match(pattern, id)
		return ok
	}
	if _, err := path.Match(pattern, ""); err != nil {
		c.add(at, "the pattern %q is malformed", pattern)
	} else if !slices.ContainsFunc(c.engineIDs, matches) {
		c.add(at, "no engine is named %q", pattern)
	}
}

func (c *checker) hasKind(name string) bool {
	return slices.ContainsFunc(c.script.Kinds, func(k Kind) bool { return k.Name == name })
}
