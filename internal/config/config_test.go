package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"dillroute/api"
)

const validConfig = `{"listen":"127.0.0.1:0","node":{"name":"n"},"kinds":[{"name":"p","role":"prefill"}],
 "classes":[{"name":"c","effect":"once","aim_s":1,"patience_s":5,"token_aim_s":0.06}],
 "models":[{"name":"m","class":"c"}],"tenants":[{"name":"t","keys":["long-enough"]}],"engines":{"file":"l.json"}}`

func TestAllProblemsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"listen"`, `"lisen"`, `"once"`, `"twice"`, `"aim_s":1`, `"aim_s":-1`,
		`"class":"c"`, `"klass":"c"`).Replace(validConfig)
	_, err := Parse([]byte(text))
	for _, want := range []string{"/lisen: unknown field; did you mean \"listen\"?", "/listen: is missing", "/classes/0/effect:",
		"/classes/0/aim_s:", "/models/0/klass: unknown field; did you mean \"class\"?", "/models/0/class: is missing"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in:\n%v", want, err)
		}
	}
}

func TestUnresolvedNamesAreProblems(t *testing.T) {
	for old, c := range map[string][2]string{
		`"class":"c"`:                   {`"class":"d"`, `/models/0/class: no class is named "d"`},
		`"patience_s":5`:                {`"patience_s":0.5`, "/classes/0/patience_s:"},
		`"effect":"once"`:               {`"effect":"by_key"`, "/classes/0/key_window_s:"},
		`"node":{"name":"n"}`:           {`"node":{"name":"n","rank":3}`, "/node/rank:"},
		`"engines":`:                    {`"match":[{"model":"[","class":"c"}],"engines":`, "/match/0/model:"},
		`"keys":["long-enough"]}`:       {`"keys":["long-enough"]},{"name":"u","keys":["long-enough"]}`, "/tenants/1/keys/0:"},
		`{"name":"p","role":"prefill"}`: {`{"name":"p","role":"prefill"},{"name":"p","role":"decode"}`, "/kinds/1/name:"},
	} {
		_, err := Parse([]byte(strings.Replace(validConfig, old, c[0], 1)))
		if err == nil || !strings.Contains(err.Error(), c[1]) {
			t.Errorf("%s: %v, want %s", c[0], err, c[1])
		}
	}
}

func TestSyntaxErrorsNameLineAndColumn(t *testing.T) {
	_, err := Parse([]byte("{\n \"listen\": \"x:1\",,\n}"))
	if err == nil || !strings.Contains(err.Error(), "line 2, column 18") {
		t.Fatal(err)
	}
}

// The schema documents the defaults and the code applies its own copy. The two must be equal.
func TestSchemaStatesTheDefaults(t *testing.T) {
	var schema any
	if err := json.Unmarshal(api.ConfigSchema, &schema); err != nil {
		t.Fatal(err)
	}
	c, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	b, _ := json.Marshal(c)
	var have map[string]any
	json.Unmarshal(b, &have)
	n := 0
	var walk func(path string, s map[string]any, v any)
	walk = func(path string, s map[string]any, v any) {
		if d, ok := s["default"]; ok {
			n++
			if path == "/classes/worth" || path == "/classes/late_value" || path == "/classes/max_tokens" || path == "/classes/group" {
				return // set by setClassDefaults; checked below
			}
			if v != d {
				t.Errorf("%s: default %v in the schema, %v in the code", path, d, v)
			}
		}
		m, _ := v.(map[string]any)
		if props, ok := s["properties"].(map[string]any); ok && m != nil {
			for name, p := range props {
				walk(path+"/"+name, p.(map[string]any), m[name])
			}
		}
	}
	walk("", schema.(map[string]any), have)
	if n < 30 {
		t.Fatalf("only %d defaults were compared", n)
	}
	if k := c.Classes[0]; k.PriorityWeight != 1 || k.MaxTokens != 800 || k.DedupScope != "all" {
		t.Errorf("defaults of a class: %+v", k)
	}
}

func TestMergeReportsAppliedAndRestartRequired(t *testing.T) {
	old, err := Parse([]byte(validConfig))
	if err != nil {
		t.Fatal(err)
	}
	next, err := Parse([]byte(strings.NewReplacer(`"long-enough"`, `"another-key"`, `"127.0.0.1:0"`, `"127.0.0.1:1"`).Replace(validConfig)))
	if err != nil {
		t.Fatal(err)
	}
	m, applied, restartRequired := old.Merge(next)
	if len(applied) != 1 || applied[0] != "/tenants" || len(restartRequired) != 1 || restartRequired[0] != "/listen" ||
		m.Tenants[0].Keys[0] != "another-key" || m.Listen != old.Listen {
		t.Fatal(applied, restartRequired, m.Tenants, m.Listen)
	}
	next, err = Parse([]byte(strings.Replace(validConfig, `"once"`, `"repeatable"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if _, applied, restartRequired := old.Merge(next); len(applied) != 0 || len(restartRequired) != 1 || restartRequired[0] != "/classes" {
		t.Fatal(applied, restartRequired)
	}
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/node*.json")
	if err != nil || len(files) == 0 {
		t.Fatal("no examples found", err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
	if _, err := Load(filepath.Join(t.TempDir(), "none.json")); !os.IsNotExist(err) && err == nil {
		t.Error("a missing file was loaded")
	}
}
