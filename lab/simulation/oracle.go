package simulation

import (
	"fmt"
	"maps"
	"slices"

	"dillroute/lab/record"
)

// Report is the result of a run.
type Report struct {
	Day          *Day
	Results      []Result
	Violations   []string // of rules and of the platform's terms
	Records      []record.Record
	SlowStartUse float64 // greatest part of a slow-start budget that was used
}

// Share returns which part of the weight of the requests that fit was served, and how many fit.
func (r *Report) Share(fits func(Result) bool) (share float64, count int) {
	var requested, served float64
	for _, x := range r.Results {
		if fits(x) {
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

// Bounds of the oracle: service below these parts of the baseline's is a shortfall, where there are enough requests to tell.
const (
	minPart         = 0.5     // of all, and by class, effect, tenant and third
	minWindowPart   = 1.0 / 3 // over any window
	minRecovered    = 0.9     // from recoveryTime after the last fault
	windowLength    = 5.0     // s
	recoveryTime    = 10.0    // s
	minRequests     = 30      // requests that are enough to tell
	minBaseline     = 0.1     // share of the baseline under which nothing is required
	rejectingTime   = 4.0     // s in which a node rejects all that it receives
	minNodeRequests = 10      // requests of one node that are enough to tell
	minOthers       = 0.3     // share that is served in all while a node rejects all
	forever         = 1e6     // s
)

// everything fits all results.
func everything(Result) bool { return true }

// within returns what fits the results of requests within a time.
func within(from, to float64) func(Result) bool {
	return func(x Result) bool { return x.At >= from && x.At < to }
}

// Shortfalls says in what the service of a run falls short of the baseline's, one line each.
func Shortfalls(got, baseline *Report) []string {
	c := &comparison{got: got, baseline: baseline}
	site := &got.Day.Site
	c.check("in all", minPart, everything)
	effects := map[string]bool{}
	for i, class := range site.Classes {
		c.check(className(i), minPart, func(x Result) bool { return x.Class == i })
		effects[class.Effect] = true
	}
	for _, effect := range slices.Sorted(maps.Keys(effects)) {
		c.check("effect "+effect, minPart, func(x Result) bool { return site.Classes[x.Class].Effect == effect })
	}
	for i := range site.Tenants {
		c.check(tenantName(i), minPart, func(x Result) bool { return x.Tenant == i })
	}
	length := got.Day.Length
	for i := range 3 {
		from := length * float64(i) / 3
		to := length * float64(i+1) / 3
		c.check(fmt.Sprintf("third %d", i+1), minPart, within(from, to))
	}
	c.checkWindows()
	if from := got.Day.lastEnd() + recoveryTime; from < length-windowLength {
		c.check(fmt.Sprintf("%.0f s after the last fault", recoveryTime), minRecovered, within(from, forever))
	}
	return append(c.shortfalls, rejectingNodes(got)...)
}

// comparison collects in what a run falls short of the baseline.
type comparison struct {
	got, baseline *Report
	shortfalls    []string
}

// shares returns the served shares of both runs; false = there are too few requests, or the baseline serves too little, to tell.
func (c *comparison) shares(fits func(Result) bool) (got, want float64, count int, ok bool) {
	got, count = c.got.Share(fits)
	want, baselineCount := c.baseline.Share(fits)
	return got, want, count, min(count, baselineCount) >= minRequests && want >= minBaseline
}

func (c *comparison) check(name string, part float64, fits func(Result) bool) {
	got, want, count, ok := c.shares(fits)
	if ok && got < part*want {
		c.shortfalls = append(c.shortfalls, shortfall(name, got, want, count))
	}
}

func shortfall(name string, got, want float64, count int) string {
	return fmt.Sprintf("%s: %.3f of the worth served, the plain policy %.3f (%d requests)", name, got, want, count)
}

// checkWindows finds the windows over which little is served; of those that overlap it reports the worst.
func (c *comparison) checkWindows() {
	last := -windowLength // begin of the last window reported
	worst := 0.0
	for at := 0.0; at+windowLength <= c.got.Day.Length; at++ {
		got, want, count, ok := c.shares(within(at, at+windowLength))
		if !ok || got >= minWindowPart*want {
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

// rejectingNodes finds nodes that reject all that they receive for a while, with no attempt at an engine, while others serve.
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

// rejectsAll says when a node rejected all its requests for too long; "" = it did not. The results are in order of time.
func (r *Report) rejectsAll(node string, results []Result) string {
	first := 0 // of the rejected requests in a row
	for i, x := range results {
		if x.ServedWeight > 0 || x.Attempts > 0 || x.Outcome == Disconnected {
			first = i + 1
			continue
		}
		from := results[first].At
		count := i - first + 1
		if x.At-from < rejectingTime || count < minNodeRequests {
			continue
		}
		share, n := r.Share(within(from, x.At))
		if n < minRequests || share < minOthers {
			return ""
		}
		return fmt.Sprintf("%s turned away all %d requests from %.1f s to %.1f s, others served %.2f", node, count, from, x.At, share)
	}
	return ""
}
