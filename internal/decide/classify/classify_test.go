package classify

import "testing"

func testTable() *Table {
	classes := []Class{
		{ClientTimeout: 5, ClientTimeoutPer1KTokens: 2, MaxTokens: 800, OutputTokenObjective: 0.05},
		{ClientTimeout: 9},
	}
	models := map[string]int{"roster-chat": 0, "roster-commit": 1}
	rules := []Rule{
		{Model: "roster-c[h]at", Header: "X-Urgent", Value: "yes", Class: 1},
		{Header: "X-Any", AnyValue: true, Class: 1},
	}
	keys := [][]string{{"key-one"}, {"key-two", "key-three"}}
	hashOfFoo := "2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"
	return NewTable(classes, models, rules, keys, [][]string{nil, nil, {hashOfFoo}})
}

func TestTenantOfKey(t *testing.T) {
	table := testTable()
	for key, want := range map[string]int{"key-one": 0, "key-three": 1, "foo": 2, "": -1, "key-on": -1} {
		if got, ok := table.Tenant(key); ok != (want >= 0) || ok && got != want {
			t.Errorf("key %q: got %d, %v, want %d", key, got, ok, want)
		}
	}
}

func TestClassOfModelAndHeader(t *testing.T) {
	table := testTable()
	for _, c := range []struct {
		model, header, value string
		class                int
		known                bool
	}{
		{"roster-chat", "", "", 0, true},
		{"roster-chat", "X-Urgent", "yes", 1, true},
		{"roster-chat", "X-Urgent", "no", 0, true},
		{"roster-chat", "X-Any", "x", 1, true},
		{"nobody", "X-Any", "x", 0, false},
	} {
		class, known := table.Class(c.model, func(name string) string {
			if name == c.header {
				return c.value
			}
			return ""
		})
		if class != c.class || known != c.known {
			t.Errorf("model %q, %s: %q: got %d, %v, want %d, %v", c.model, c.header, c.value, class, known, c.class, c.known)
		}
	}
}

func TestClientWait(t *testing.T) {
	table := testTable()
	for _, c := range []struct {
		promptTokens, maxTokens int
		stated                  float64
		complete                bool
		want                    Timeouts
	}{
		{1500, 100, 0, false, Timeouts{FirstToken: 8}},
		{1500, 100, 3, false, Timeouts{FirstToken: 3}},
		{0, 100, 30, false, Timeouts{FirstToken: 5}}, // a client cannot make the node wait longer than its class
		{0, 100, 0, true, Timeouts{FirstToken: 5, CompleteResponse: 15}},
		{0, 20, 4, true, Timeouts{FirstToken: 3, CompleteResponse: 4}},
		{0, 100, 4, true, Timeouts{FirstToken: 2, CompleteResponse: 4}},
	} {
		if got := table.ClientWait(0, c.promptTokens, c.maxTokens, c.stated, c.complete); got != c.want {
			t.Errorf("%+v: got %+v", c, got)
		}
	}
}

func TestMaxTokens(t *testing.T) {
	table := testTable()
	if got := table.MaxTokens(0, 0); got != 800 {
		t.Errorf("none stated: got %d, want 800", got)
	}
	if got := table.MaxTokens(0, 5); got != 5 {
		t.Errorf("5 stated: got %d", got)
	}
}
