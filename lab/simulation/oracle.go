package simulation

import (
	"fmt"
	"maps"
	"slices"

	"dillroute/lab/record"
)

// Report is the result of a run.
type Report struct {
	Scenario     *Scenario
	Results      []Result
	Violations   []string // violations of rules and of the platform's requirements
	Records      []record.Record
	SlowStartUse float64 // greatest fraction of a slow-start limit that was used
}

// Share returns the fraction of the requested weight that was served, over the results that match, and the number of these results.
func (r *Report) Share(matches func(Result) bool) (share float64, count int) {
	var requested, served float64
	for _, x := range r.Results {
		if matches(x) {
			requested += x.RequestedWeight
			served += x.ServedWeight
			count++
		}
	}
	if requested == 0 {
		return 0, 0
	}
	return served / requested, count
}

// Bounds of the oracle. If there are enough requests to compare, a served share below one of the first three fractions of the baseline's
// share is a shortfall.
const (
	minFraction          = 0.5     // over all requests, and by class, effect, tenant and third of the run
	minWindowFraction    = 1.0 / 3 // over any window of windowLength
	minRecoveredFraction = 0.9     // from recoveryTime after the last fault
	windowLength         = 5.0     // s
	recoveryTime         = 10.0    // s
	minRequests          = 30      // minimum number of requests to compare
	minBaselineShare     = 0.1     // served share of the baseline below which nothing is required
	minRejectingTime     = 4.0     // how long a node must reject all its requests to be reported (s)
	minNodeRequests      = 10      // minimum number of requests that it must reject in that time to be reported
	minOverallShare      = 0.3     // served share over all nodes in that time, below which the node is not reported
	unlimited            = 1e6     // s
)

// allResults matches all results.
func allResults(Result) bool { return true }

// within returns a predicate that matches the results of requests sent from one time until before another (s).
func within(from, to float64) func(Result) bool {
	return func(x Result) bool { return x.At >= from && x.At < to }
}

// Shortfalls returns the aspects in which the service of a run falls short of the baseline's, one text each.
func Shortfalls(got, baseline *Report) []string {
	c := &comparison{got: got, baseline: baseline}
	site := &got.Scenario.Site
	c.check("in all", minFraction, allResults)
	effects := map[string]bool{}
	for i, class := range site.Classes {
		c.check(className(i), minFraction, func(x Result) bool { return x.Class == i })
		effects[class.Effect] = true
	}
	for _, effect := range slices.Sorted(maps.Keys(effects)) {
		c.check("effect "+effect, minFraction, func(x Result) bool { return site.Classes[x.Class].Effect == effect })
	}
	for i := range site.Tenants {
		c.check(tenantName(i), minFraction, func(x Result) bool { return x.Tenant == i })
	}
	length := got.Scenario.Length
	for i := range 3 {
		from := length * float64(i) / 3
		to := length * float64(i+1) / 3
		c.check(fmt.Sprintf("third %d", i+1), minFraction, within(from, to))
	}
	c.checkWindows()
	if from := got.Scenario.lastEnd() + recoveryTime; from < length-windowLength {
		c.check(fmt.Sprintf("%.0f s after the last fault", recoveryTime), minRecoveredFraction, within(from, unlimited))
	}
	return append(c.shortfalls, rejectingNodes(got)...)
}

// comparison compares a run with the baseline and collects the shortfalls.
type comparison struct {
	got, baseline *Report
	shortfalls    []string
}

// shares returns the served shares of both runs; false = there are too few requests, or the baseline serves too little, to compare.
func (c *comparison) shares(matches func(Result) bool) (got, want float64, count int, ok bool) {
	got, count = c.got.Share(matches)
	want, baselineCount := c.baseline.Share(matches)
	return got, want, count, min(count, baselineCount) >= minRequests && want >= minBaselineShare
}

func (c *comparison) check(name string, required float64, matches func(Result) bool) {
	got, want, count, ok := c.shares(matches)
	if ok && got < required*want {
		c.shortfalls = append(c.shortfalls, shortfall(name, got, want, count))
	}
}

func shortfall(name string, got, want float64, count int) string {
	return fmt.Sprintf("%s: served share %.3f, baseline policy %.3f (%d requests)", name, got, want, count)
}

// checkWindows reports the windows with a shortfall; of overlapping windows it reports the worst.
func (c *comparison) checkWindows() {
	last := -windowLength // start of the last window reported
	worst := 0.0
	for at := 0.0; at+windowLength <= c.got.Scenario.Length; at++ {
		got, want, count, ok := c.shares(within(at, at+windowLength))
		if !ok || got >= minWindowFraction*want {
			continue
		}
		text := shortfall(fmt.Sprintf("from %.0f s to %.0f s", at, at+windowLength), got, want, count)
		missing := want - got
		switch {
		case at >= last+windowLength:
			c.shortfalls = append(c.shortfalls, text)
		case missing > worst:
			c.shortfalls[len(c.shortfalls)-1] = text
		default:
			continue
		}
		last = at
		worst = missing
	}
}

// rejectingNodes returns a text for each node that serves none of its requests for a time, without an attempt at an engine, while other
// nodes serve theirs.
func rejectingNodes(r *Report) []string {
	byNode := map[string][]Result{}
	for _, x := range r.Results {
		byNode[x.Node] = append(byNode[x.Node], x)
	}
	var found []string
	for _, node := range slices.Sorted(maps.Keys(byNode)) {
		results := byNode[node]
		slices.SortFunc(results, func(a, b Result) int { return int((a.At - b.At) * 1e6) })
		if text := r.rejectsAll(node, results); text != "" {
			found = append(found, text)
		}
	}
	return found
}

// rejectsAll returns a text on the first time of at least minRejectingTime in which a node rejected all its requests. It returns "" if
// there was none, or if the requests of all nodes in that time are too few or their served share is too low to blame the node. The
// results must be in order of time.
func (r *Report) rejectsAll(node string, results []Result) string {
	first := 0 // index of the first of consecutive rejected requests
	for i, x := range results {
		if x.ServedWeight > 0 || x.Attempts > 0 || x.Outcome == Disconnected {
			first = i + 1
			continue
		}
		from := results[first].At
		count := i - first + 1
		if x.At-from < minRejectingTime || count < minNodeRequests {
			continue
		}
		share, n := r.Share(within(from, x.At))
		if n < minRequests || share < minOverallShare {
			return ""
		}
		return fmt.Sprintf("%s rejected all %d requests from %.1f s to %.1f s while the served share over all nodes was %.2f",
			node, count, from, x.At, share)
	}
	return ""
}
