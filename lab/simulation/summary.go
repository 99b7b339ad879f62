package simulation

import (
	"fmt"
	"strings"
)

// Summary describes a run beside the baseline's, for a person.
func (r *Report) Summary(baseline *Report) string {
	var b strings.Builder
	s := &r.Day.Site
	share, count := r.Share(everything)
	want, _ := baseline.Share(everything)
	fmt.Fprintf(&b, "seed %d: %d nodes, %d engines, %.0f requests/s, %d requests: served %.3f, plain %.3f; cold use %.2f; breaches %d\n",
		s.Seed, s.Nodes, len(s.Engines), s.Rate, count, share, want, r.SlowStartUse, len(r.Violations))
	for _, f := range r.Day.Faults {
		fmt.Fprintf(&b, "  fault: %s\n", f)
	}
	s.describe(&b)
	for i, c := range s.Classes {
		ofClass := func(x Result) bool { return x.Class == i }
		got, count := r.Share(ofClass)
		want, _ := baseline.Share(ofClass)
		fmt.Fprintf(&b, "  %s: %s %s, aim %.2f, patience %.1f, prompt %.0f, out %.0f, worth %.0f: served %.3f, plain %.3f, %v (%d)\n",
			className(i), c.Effect, c.Group, c.LatencyObjective, c.Patience, c.PromptTokens, c.ResponseTokens, c.PriorityWeight,
			got, want, r.outcomes(ofClass), count)
	}
	for at := 0.0; at < r.Day.Length; at += windowLength {
		inWindow := within(at, at+windowLength)
		got, count := r.Share(inWindow)
		want, _ := baseline.Share(inWindow)
		fmt.Fprintf(&b, "  %2.0f s: served %.3f, plain %.3f (%d) %v\n", at, got, want, count, r.outcomes(inWindow))
	}
	return b.String()
}

// describe writes the settings of a site and its engines.
func (s *Site) describe(b *strings.Builder) {
	fmt.Fprintf(b, "  attempts %d, cancel %v, local read %v, asked %v, retry-after %v, client retries %d, cold %.2f for %.1f s, kinds",
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

// outcomes counts how requests ended, with their codes.
func (r *Report) outcomes(fits func(Result) bool) map[string]int {
	counts := map[string]int{}
	for _, x := range r.Results {
		if !fits(x) {
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
