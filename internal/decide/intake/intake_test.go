package intake

import "testing"

func TestWhoseAndOfWhichClass(t *testing.T) {
	table := NewTable([]Class{{Patience: 5, PatiencePerK: 2, MaxTokens: 800}, {Patience: 9}},
		map[string]int{"roster-chat": 0, "roster-commit": 1},
		[]Rule{{Model: "roster-c[h]at", Header: "X-Urgent", Value: "yes", Class: 1}, {Header: "X-Any", AnyValue: true, Class: 1}},
		[][]string{{"key-one"}, {"key-two", "key-three"}}, [][]string{nil, nil,
			{"2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"}}) // SHA-256 of foo
	for key, want := range map[string]int{"key-one": 0, "key-three": 1, "foo": 2, "": -1, "key-on": -1} {
		if got, ok := table.Tenant(key); ok != (want >= 0) || ok && got != want {
			t.Errorf("key %q: %d, %v", key, got, ok)
		}
	}
	for _, c := range []struct {
		model, header, value string
		class                int
		known                bool
	}{{"roster-chat", "", "", 0, true}, {"roster-chat", "X-Urgent", "yes", 1, true}, {"roster-chat", "X-Urgent", "no", 0, true},
		{"roster-chat", "X-Any", "x", 1, true}, {"nobody", "X-Any", "x", 0, false}} {
		class, known := table.Class(c.model, func(name string) string {
			if name == c.header {
				return c.value
			}
			return ""
		})
		if class != c.class || known != c.known {
			t.Errorf("%+v: %d, %v", c, class, known)
		}
	}
	if p := table.Patience(0, 1500, 0); p != 8 {
		t.Error(p)
	}
	if p := table.Patience(0, 1500, 3); p != 3 {
		t.Error(p)
	}
	if p := table.Patience(0, 0, 30); p != 5 {
		t.Error("a client cannot make the node wait longer than its class", p)
	}
	if table.MaxTokens(0, 0) != 800 || table.MaxTokens(0, 5) != 5 {
		t.Error("max tokens")
	}
}
