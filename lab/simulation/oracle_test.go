package simulation

import (
	"runtime"
	"testing"
	"testing/synctest"
)

// coldDay is a day on which all engines of a site die together and come back cold, with work enough for them.
func coldDay() Day {
	d := DrawDay(186, 1, 150)
	d.Site.ColdFor = 14
	return d
}

func playPlain(t *testing.T, d Day, p Policy) (r *Report) {
	t.Helper()
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) { r = d.PlayBaseline(p) })
	return r
}

// The oracle is worth nothing if it passes a policy that refuses all, one that loses a third of the requests and all of a while, or one
// that never opens cold engines; and nothing either if it fails the plain policy itself.
func TestOracleTellsBadPolicies(t *testing.T) {
	d := coldDay()
	plain := playPlain(t, d, Policy{})
	if red := Shortfalls(playPlain(t, d, Policy{}), plain); len(red) > 0 {
		t.Errorf("the plain policy is red against itself: %v", red)
	}
	for name, p := range map[string]Policy{
		"refuses all":                  {RefuseAll: true},
		"loses a third":                {LoseThird: true},
		"refuses all for 5 s":          {RefuseFrom: 30, RefuseTo: 35},
		"never opens a cold engine":    {NeverCold: true},
		"refuses from 35 s to the end": {RefuseFrom: 35, RefuseTo: 45},
	} {
		if red := Shortfalls(playPlain(t, d, p), plain); len(red) == 0 {
			t.Errorf("a policy that %s is not red", name)
		}
	}
}

// Settings are drawn from all of the space: each form of fleet, effect and discovery comes up, and all are sound.
func TestDrawnSitesCoverTheirSpace(t *testing.T) {
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
		if s.Asked {
			seen["asked"] = true
		}
		if s.MaxAttempts == 1 {
			seen["one attempt"] = true
		}
	}
	for _, want := range []string{"kinds both ", "kinds read write ", "kinds read write both ", "effect once", "effect by_key", "effect repeatable", "asked", "one attempt"} {
		if !seen[want] {
			t.Errorf("no site of 200 has: %s", want)
		}
	}
}
