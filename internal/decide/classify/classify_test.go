package classify

import "testing"

func TestTenantClassAndTimeouts(t *testing.T) {
	table := NewTable([]Class{{ClientTimeout: 5, ClientTimeoutPer1KTokens: 2, MaxTokens: 800, OutputTokenObjective: 0.05}, {ClientTimeout: 9}},
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
	for _, c := range []struct {
		prompt, max int
		stated      float64
		whole       bool
		want        Timeouts
	}{
		{1500, 100, 0, false, Timeouts{FirstToken: 8}}, {1500, 100, 3, false, Timeouts{FirstToken: 3}},
		{0, 100, 30, false, Timeouts{FirstToken: 5}}, // a client cannot make the node wait longer than its class
		{0, 100, 0, true, Timeouts{FirstToken: 5, CompleteResponse: 15}}, {0, 20, 4, true, Timeouts{FirstToken: 3, CompleteResponse: 4}},
		{0, 100, 4, true, Timeouts{FirstToken: 2, CompleteResponse: 4}},
	} {
		if w := table.ClientWait(0, c.prompt, c.max, c.stated, c.whole); w != c.want {
			t.Errorf("%+v: %+v", c, w)
		}
	}
	if table.MaxTokens(0, 0) != 800 || table.MaxTokens(0, 5) != 5 {
		t.Error("max tokens")
	}
}
