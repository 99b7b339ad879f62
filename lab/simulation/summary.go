package simulation

import (
	"fmt"
	"strings"
)

// Summary returns a readable comparison of a run of the product with the baseline's run.
func (r *Report) Summary(baseline *Report) string {
	var b strings.Builder
	s := &r.Scenario.Site
	share, count := r.Share(allResults)
	want, _ := baseline.Share(allResults)
	fmt.Fprintf(&b,
		"seed %d: %d nodes, %d engines, %.0f requests/s, %d requests: served %.3f, baseline %.3f; slow-start use %.2f; violations %d\n",
		s.Seed, s.Nodes, len(s.Engines), s.Rate, count, share, want, r.SlowStartUse, len(r.Violations))
	for _, f := range r.Scenario.Faults {
		fmt.Fprintf(&b, "  fault: %s\n", f)
	}
	s.describe(&b)
	for i, c := range s.Classes {
		ofClass := func(x Result) bool { return x.Class == i }
		got, count := r.Share(ofClass)
		want, _ := baseline.Share(ofClass)
		fmt.Fprintf(&b,
			"  %s: %s %s, objective %.2f, patience %.1f, prompt %.0f, response %.0f, weight %.0f: served %.3f, baseline %.3f, %v (%d)\n",
			className(i), c.Effect, c.Group, c.LatencyObjective, c.Patience, c.PromptTokens, c.ResponseTokens, c.PriorityWeight,
			got, want, r.outcomes(ofClass), count)
	}
	for at := 0.0; at < r.Scenario.Length; at += windowLength {
		inWindow := within(at, at+windowLength)
		got, count := r.Share(inWindow)
		want, _ := baseline.Share(inWindow)
		fmt.Fprintf(&b, "  %2.0f s: served %.3f, baseline %.3f (%d) %v\n", at, got, want, count, r.outcomes(inWindow))
	}
	return b.String()
}

// describe writes the settings of a site and the number of its engines by kind.
func (s *Site) describe(b *strings.Builder) {
	fmt.Fprintf(b,
		"  attempts %d, cancel %v, local prefill %v, shared discovery %v, retry-after %v, retries %d, slow start %.2f for %.1f s, kinds",
		s.MaxAttempts, s.CancelStopsWork, s.LocalPrefill, s.SharedDiscovery, s.RetryAfter, s.ClientRetries,
		s.SlowStartShare, s.SlowStartSeconds)
	for i, k := range s.Kinds {
		count := 0
		for _, e := range s.Engines {
			if e.Kind == i {
				count++
			}
		}
		fmt.Fprintf(b, " %s %d", k.Role, count)
	}
	fmt.Fprintf(b, ", zones %d\n", len(s.Zones))
}

// outcomes counts the matching results by outcome and code.
func (r *Report) outcomes(matches func(Result) bool) map[string]int {
	counts := map[string]int{}
	for _, x := range r.Results {
		if !matches(x) {
			continue
		}
		name := string(x.Outcome)
		if x.Code != "" && x.Outcome != ServedInTime {
			name += " " + x.Code
		}
		counts[name]++
	}
	return counts
}
