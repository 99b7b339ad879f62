package simulation

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"dillroute/lab/record"
)

// Report is what became of a day.
type Report struct {
	Day        *Day
	Results    []Result
	Violations []string // of rules and terms
	Records    []record.Record
	ColdUse    float64 // the most of a cold engine's allowance that was used
}

// Share is the part of the worth asked for that was served, of the results that fit.
func (r *Report) Share(fit func(Result) bool) (share float64, n int) {
	var asked, served float64
	for _, x := range r.Results {
		if fit(x) {
			asked, served, n = asked+x.Asked, served+x.Served, n+1
		}
	}
	if asked == 0 {
		return 0, 0
	}
	return served / asked, n
}

// Bounds of the oracle: what is less than these parts of the plain policy's service is red, where so many requests tell.
const (
	partOfPlain  = 0.5       // in all, and by class, effect, tenant and third
	partOfWindow = 1.0 / 3   // over any windowFor
	partAfter    = 0.9       // from recoverBy after the last fault on
	windowFor    = 5.0       // s
	recoverBy    = 10.0      // s
	deafFor      = 4.0       // s in which a node turns away all that it gets
	enough       = 30        // requests
	enoughNode   = 10        // requests of one node
	leastPlain   = 0.1       // share of the plain policy under which nothing is asked
	everything   = 1000000.0 // s
)

// Shortfalls says in what the service of a day falls short of the plain policy's, a line each.
func Shortfalls(got, plain *Report) []string {
	var red []string
	check := func(name string, part float64, fit func(Result) bool) {
		share, n := got.Share(fit)
		want, m := plain.Share(fit)
		if min(n, m) >= enough && want >= leastPlain && share < part*want {
			red = append(red, fmt.Sprintf("%s: %.3f of the worth served, the plain policy %.3f (%d requests)", name, share, want, n))
		}
	}
	check("in all", partOfPlain, func(Result) bool { return true })
	effects := map[string]bool{}
	for i, c := range got.Day.Site.Classes {
		check(className(i), partOfPlain, func(x Result) bool { return x.Class == i })
		effects[c.Effect] = true
	}
	for _, effect := range slices.Sorted(maps.Keys(effects)) {
		check("effect "+effect, partOfPlain, func(x Result) bool { return got.Day.Site.Classes[x.Class].Effect == effect })
	}
	for i := range got.Day.Site.Tenants {
		check(tenantName(i), partOfPlain, func(x Result) bool { return x.Tenant == i })
	}
	length := got.Day.Length
	for i := range 3 {
		from, to := length*float64(i)/3, length*float64(i+1)/3
		check(fmt.Sprintf("third %d", i+1), partOfPlain, within(from, to))
	}
	red = append(red, windows(got, plain)...)
	if from := got.Day.lastEnd() + recoverBy; from < length-windowFor {
		check(fmt.Sprintf("%.0f s after the last fault", recoverBy), partAfter, within(from, everything))
	}
	return append(red, deaf(got)...)
}

// windows finds the times over which little is served; of those that overlap it tells the worst.
func windows(got, plain *Report) (red []string) {
	last, worst := -windowFor, 0.0
	for at := 0.0; at+windowFor <= got.Day.Length; at++ {
		share, n := got.Share(within(at, at+windowFor))
		want, m := plain.Share(within(at, at+windowFor))
		if min(n, m) < enough || want < leastPlain || share >= partOfWindow*want {
			continue
		}
		text := fmt.Sprintf("from %.0f s to %.0f s: %.3f of the worth served, the plain policy %.3f (%d requests)", at, at+windowFor, share, want, n)
		switch short := want - share; {
		case at >= last+windowFor:
			red, last, worst = append(red, text), at, short
		case short > worst:
			red[len(red)-1], last, worst = text, at, short
		}
	}
	return red
}

func within(from, to float64) func(Result) bool {
	return func(x Result) bool { return x.At >= from && x.At < to }
}

// deaf finds nodes that turn away all that they get for a while, with no attempt at an engine, while others serve.
func deaf(r *Report) (red []string) {
	byNode := map[string][]Result{}
	for _, x := range r.Results {
		byNode[x.Node] = append(byNode[x.Node], x)
	}
	for _, node := range slices.Sorted(maps.Keys(byNode)) {
		xs := byNode[node]
		slices.SortFunc(xs, func(a, b Result) int { return int((a.At - b.At) * 1e6) })
		from := 0
		for i, x := range xs {
			if x.Served > 0 || x.Attempts > 0 || x.Ending == Left {
				from = i + 1
				continue
			}
			if span := x.At - xs[from].At; span >= deafFor && i-from+1 >= enoughNode {
				if share, n := r.Share(within(xs[from].At, x.At)); n >= enough && share >= 0.3 {
					red = append(red, fmt.Sprintf("%s turned away all %d requests from %.1f s to %.1f s, others served %.2f", node, i-from+1, xs[from].At, x.At, share))
				}
				break
			}
		}
	}
	return red
}

// Summary tells of a day for a person.
func (r *Report) Summary(plain *Report) string {
	var b strings.Builder
	s := &r.Day.Site
	share, n := r.Share(func(Result) bool { return true })
	want, _ := plain.Share(func(Result) bool { return true })
	fmt.Fprintf(&b, "seed %d: %d nodes, %d engines, %.0f requests/s, %d requests: served %.3f, plain %.3f; cold use %.2f; breaches %d\n",
		s.Seed, s.Nodes, len(s.Engines), s.Rate, n, share, want, r.ColdUse, len(r.Violations))
	for _, f := range r.Day.Faults {
		fmt.Fprintf(&b, "  fault: %s\n", f)
	}
	fmt.Fprintf(&b, "  attempts %d, cancel %v, local read %v, asked %v, retry-after %v, client retries %d, cold %.2f for %.1f s, kinds", s.MaxAttempts, s.Cancel,
		s.LocalRead, s.Asked, s.RetryAfter, s.ClientRetries, s.ColdShare, s.ColdFor)
	for i, k := range s.Kinds {
		count := 0
		for _, e := range s.Engines {
			if e.Kind == i {
				count++
			}
		}
		fmt.Fprintf(&b, " %s %d", k.Role, count)
	}
	fmt.Fprintf(&b, ", zones %d\n", len(s.Zones))
	for i, c := range s.Classes {
		mine := func(x Result) bool { return x.Class == i }
		got, n := r.Share(mine)
		want, _ := plain.Share(mine)
		fmt.Fprintf(&b, "  %s: %s %s, aim %.2f, patience %.1f, prompt %.0f, out %.0f, worth %.0f: served %.3f, plain %.3f, %v (%d)\n", className(i), c.Effect, c.Group, c.Aim, c.Patience,
			c.Prompt, c.Out, c.Worth, got, want, r.endings(mine), n)
	}
	for at := 0.0; at < r.Day.Length; at += windowFor {
		got, n := r.Share(within(at, at+windowFor))
		want, _ := plain.Share(within(at, at+windowFor))
		fmt.Fprintf(&b, "  %2.0f s: served %.3f, plain %.3f (%d) %v\n", at, got, want, n, r.endings(within(at, at+windowFor)))
	}
	return b.String()
}

// endings counts what became of requests.
func (r *Report) endings(fit func(Result) bool) map[string]int {
	out := map[string]int{}
	for _, x := range r.Results {
		if fit(x) {
			name := string(x.Ending)
			if x.Code != "" && x.Ending != InTime {
				name += " " + x.Code
			}
			out[name]++
		}
	}
	return out
}
