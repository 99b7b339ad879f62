package config

import (
	"fmt"
	"path"
	"slices"
)

// Defaults of classes.
const (
	defaultDedupScope     = "all"
	defaultMaxTokens      = 800
	defaultPriorityWeight = 1
)

// setClassDefaults sets the fields of classes that the file omits. The schema's defaults do not apply to list entries.
func (c *Config) setClassDefaults() {
	for i := range c.Classes {
		class := &c.Classes[i]
		if class.DedupScope == "" {
			class.DedupScope = defaultDedupScope
		}
		if class.MaxTokens == 0 {
			class.MaxTokens = defaultMaxTokens
		}
		if class.PriorityWeight == 0 {
			class.PriorityWeight = defaultPriorityWeight
		}
	}
}

// check finds problems that a schema cannot: duplicate names, unresolved names, and values that contradict each other. The error is
// of type Problems.
func (c *Config) check() error {
	k := &checker{config: c, classes: map[string]int{}}
	k.checkClasses()
	k.checkKinds()
	k.checkModels()
	k.checkMatches()
	k.checkTenants()
	k.checkNode()
	if len(k.problems) > 0 {
		return k.problems
	}
	return nil
}

// checker collects the problems of a configuration.
type checker struct {
	config   *Config
	classes  map[string]int // index by name
	problems Problems
}

func (k *checker) add(pointer, format string, args ...any) {
	k.problems = append(k.problems, Problem{Pointer: pointer, Text: fmt.Sprintf(format, args...)})
}

// addName records the name of a list entry and reports a duplicate. list is the JSON pointer of the list.
func (k *checker) addName(names map[string]int, list string, index int, name string) {
	if first, twice := names[name]; twice {
		k.add(fmt.Sprintf("%s/%d/name", list, index), "the name %q is already used by %s/%d", name, list, first)
	}
	names[name] = index
}

func (k *checker) checkClasses() {
	for i, class := range k.config.Classes {
		k.addName(k.classes, "/classes", i, class.Name)
		if class.Effect == "by_key" && class.DedupWindow == 0 {
			k.add(fmt.Sprintf("/classes/%d/key_window_s", i), "must be above 0 for a by_key class")
		}
		if class.ClientTimeout < class.FirstTokenObjective {
			k.add(fmt.Sprintf("/classes/%d/patience_s", i), "%g is less than aim_s, which is %g", class.ClientTimeout,
				class.FirstTokenObjective)
		}
	}
}

func (k *checker) checkKinds() {
	kinds := map[string]int{}
	for i, kind := range k.config.Kinds {
		k.addName(kinds, "/kinds", i, kind.Name)
	}
}

// checkClassName reports a class name that is not defined.
func (k *checker) checkClassName(pointer, class string) {
	if _, ok := k.classes[class]; !ok {
		k.add(pointer, "no class is named %q", class)
	}
}

func (k *checker) checkModels() {
	models := map[string]int{}
	for i, model := range k.config.Models {
		k.checkClassName(fmt.Sprintf("/models/%d/class", i), model.Class)
		k.addName(models, "/models", i, model.Name)
	}
}

func (k *checker) checkMatches() {
	for i, match := range k.config.Match {
		k.checkClassName(fmt.Sprintf("/match/%d/class", i), match.Class)
		if _, err := path.Match(match.Model, ""); err != nil {
			k.add(fmt.Sprintf("/match/%d/model", i), "the pattern %q is malformed", match.Model)
		}
	}
}

func (k *checker) checkTenants() {
	owners := map[string]int{}
	for i, tenant := range k.config.Tenants {
		for j, key := range tenant.Keys {
			if first, twice := owners[key]; twice {
				k.add(fmt.Sprintf("/tenants/%d/keys/%d", i, j), "the key is already used by /tenants/%d", first)
			}
			owners[key] = i
		}
	}
}

func (k *checker) checkNode() {
	node := k.config.Node
	if node.Index >= node.Count {
		k.add("/node/rank", "%d is not less than nodes, which is %d", node.Index, node.Count)
	}
	if _, ok := indexOf(k.config.Zones, node.Zone); !ok && node.Zone != "" {
		k.add("/node/zone", "%q is not in zones", node.Zone)
	}
}

// indexOf returns the index of a name, or 0 and false.
func indexOf(names []string, name string) (int, bool) {
	i := slices.Index(names, name)
	return max(0, i), i >= 0
}

// ClassIndex returns the index of a class, or 0 and false.
func (c *Config) ClassIndex(name string) (int, bool) {
	i := slices.IndexFunc(c.Classes, func(class Class) bool { return class.Name == name })
	return max(0, i), i >= 0
}

// KindIndex returns the index of a kind of engine, or 0 and false.
func (c *Config) KindIndex(name string) (int, bool) {
	i := slices.IndexFunc(c.Kinds, func(kind Kind) bool { return kind.Name == name })
	return max(0, i), i >= 0
}
