package simulation

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// slowStartDay is a day on which all engines of a site stop together and start again, cold, with requests enough for them.
func slowStartDay() Day {
	d := DrawDay(186, 1, 150)
	d.Site.SlowStartSeconds = 14
	return d
}

func playBaseline(t *testing.T, d Day, p Policy) (r *Report) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) { r = d.PlayBaseline(p) })
	return r
}

// The oracle reports a policy that rejects all requests, one that loses a third of them or all of a while, and one that sends nothing
// to engines in slow start; it reports nothing of the baseline policy itself.
func TestOracleReportsBadPolicies(t *testing.T) {
	d := slowStartDay()
	baseline := playBaseline(t, d, Policy{})
	if shortfalls := Shortfalls(playBaseline(t, d, Policy{}), baseline); len(shortfalls) > 0 {
		t.Errorf("the baseline policy falls short of itself: %v", shortfalls)
	}
	for name, p := range map[string]Policy{
		"rejects all":                  {RejectAll: true},
		"loses a third":                {LoseThird: true},
		"rejects all for 5 s":          {RejectFrom: 30, RejectUntil: 35},
		"avoids engines in slow start": {AvoidWarmingUp: true},
		"rejects from 35 s to the end": {RejectFrom: 35, RejectUntil: 45},
	} {
		if shortfalls := Shortfalls(playBaseline(t, d, p), baseline); len(shortfalls) == 0 {
			t.Errorf("a policy that %s has no shortfall", name)
		}
	}
}

// Each form of fleet, effect and discovery is drawn, and all sites are sound.
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
