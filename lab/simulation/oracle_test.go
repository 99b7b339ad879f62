package simulation

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// slowStartScenario returns a scenario in which all engines of a site crash together and restart cold, with enough requests to load them.
func slowStartScenario() Scenario {
	scenario := DrawScenario(186, 1, 150)
	scenario.Site.SlowStartSeconds = 14
	return scenario
}

func runBaseline(t *testing.T, scenario Scenario, p Policy) (r *Report) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) { r = scenario.RunBaseline(p) })
	return r
}

// The oracle must report a policy that rejects all requests, a third of them, or all of them for a time. It must also report a policy
// that sends nothing to engines in slow start. It must not report the baseline policy itself.
func TestOracleReportsBadPolicies(t *testing.T) {
	scenario := slowStartScenario()
	baseline := runBaseline(t, scenario, Policy{})
	if shortfalls := Shortfalls(runBaseline(t, scenario, Policy{}), baseline); len(shortfalls) > 0 {
		t.Errorf("the baseline policy falls short of itself: %v", shortfalls)
	}
	for name, p := range map[string]Policy{
		"rejects all":                  {RejectAll: true},
		"rejects a third":              {RejectThird: true},
		"rejects all for 5 s":          {RejectFrom: 30, RejectUntil: 35},
		"avoids engines in slow start": {AvoidWarmingUp: true},
		"rejects from 35 s to the end": {RejectFrom: 35, RejectUntil: 45},
	} {
		if shortfalls := Shortfalls(runBaseline(t, scenario, p), baseline); len(shortfalls) == 0 {
			t.Errorf("a policy that %s has no shortfall", name)
		}
	}
}

// Each fleet form, effect and type of discovery must be drawn, and each site must have requests, engines and attempts.
func TestDrawnSitesCoverAllForms(t *testing.T) {
	seen := map[string]bool{}
	for seed := range uint64(200) {
		s := Draw(seed, []int{1, 3, 24, 300}[seed%4], 150)
		if s.Rate <= 0 || s.Rate > 150.001 || len(s.Engines) == 0 || s.MaxAttempts < 1 {
			t.Fatalf("seed %d: %+v", seed, s)
		}
		roles := ""
		for _, k := range s.Kinds {
			roles += k.Role + " "
		}
		seen["kinds "+roles] = true
		for _, c := range s.Classes {
			seen["effect "+c.Effect] = true
		}
		if s.SharedDiscovery {
			seen["shared discovery"] = true
		}
		if s.MaxAttempts == 1 {
			seen["one attempt"] = true
		}
	}
	for _, want := range []string{
		"kinds both ", "kinds read write ", "kinds read write both ",
		"effect once", "effect by_key", "effect repeatable",
		"shared discovery", "one attempt",
	} {
		if !seen[want] {
			t.Errorf("no site of 200 has: %s", want)
		}
	}
}
