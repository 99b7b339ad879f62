package settings

import (
	"strings"
	"testing"

	"dillroute/scheduler"
)

func TestParseConvertsTheObject(t *testing.T) {
	s, err := Parse([]byte(`{"balancers":3,"rank":1,"registry_mode":"on_request","localities":["z"],"machine_types":["r","w","x"],
 "classes":[{"name":"c","effect":"once","group":"cell","hard_limit_s":4},{"name":"d","effect":"repeatable","hard_limit_s":9}],
 "accounts":[{"name":"a","quota_per_s":2}],
 "family_info":{"stage_of_kind":["read","write"],"aim_us_per_1000_prompt_tokens":[2000000],"tokens_by_kind":[5]}}`))
	if err != nil {
		t.Fatal(err)
	}
	config := s.Scheduler
	if config.NodeCount != 3 || config.NodeIndex != 1 || !config.PollsDiscovery || config.ZoneCount != 1 {
		t.Errorf("unexpected node settings: %+v", config)
	}
	if s.LongestClientTimeout != 9 || len(s.Tenants) != 1 || config.Tenants[0].Quota != 2 {
		t.Errorf("unexpected classes or tenants: %+v", s)
	}
	class := config.Classes[0]
	if class.Effect != scheduler.AtMostOnce || class.DedupScope != scheduler.DedupCell || class.ObjectivePer1KTokens != 2 {
		t.Errorf("unexpected class: %+v", class)
	}
	for i, want := range []scheduler.Kind{
		{Role: scheduler.Prefill, Memory: 5},
		{Role: scheduler.Decode},
		{Role: scheduler.Mixed}, // the object states no stage for this kind
	} {
		if got := config.Kinds[i]; got != want {
			t.Errorf("kind %d: got %+v, want %+v", i, got, want)
		}
	}
}

func TestParseErrorNamesTheInvalidField(t *testing.T) {
	digits := strings.Repeat("0123456789", 7)
	for _, c := range []struct{ text, want string }{
		{`{"classes":[{"effect":"twice"}]}`, `classes[0].effect: unknown value "twice"`},
		{`{"classes":[{"effect":"once","group":"moon"}]}`, `classes[0].group: unknown value "moon"`},
		{`{"machine_types":["m"],"family_info":{"stage_of_kind":["neither"]}}`, `family_info.stage_of_kind[0]: unknown value "neither"`},
		{`{"report":{"how":"by_post"}}`, `report.how: unknown value "by_post"`},
		{`{"report":{"how":"` + digits + `"}}`, `report.how: unknown value "` + digits[:maxQuotedLength] + `..."`},
	} {
		if _, err := Parse([]byte(c.text)); err == nil || err.Error() != c.want {
			t.Errorf("%s: got error %v, want %s", c.text, err, c.want)
		}
	}
}
