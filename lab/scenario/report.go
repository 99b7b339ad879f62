package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"dillroute/lab/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is the result of a run.
type Report struct {
	Name             string             `json:"name"`
	Seed             uint64             `json:"seed"`
	StartedAt        float64            `json:"began"` // Unix seconds
	Length           float64            `json:"length_s"`
	Rows             []Row              `json:"rows"`
	Violations       []rules.Violation  `json:"violations"`
	Records          int                `json:"records"`
	ViolationCount   int                `json:"broken"` // number of all violations; Violations holds only the first ones of each rule
	ViolationsByRule map[int]int        `json:"broken_by_rule"`
	Machine          Machine            `json:"machine"`
	Unfinished       string             `json:"unfinished,omitempty"` // what was still running when the run was aborted
	SlowStartUse     rules.SlowStartUse `json:"cold_use"`
	Fairness         map[string]float64 `json:"fairness"`    // Jain's index of the work sent to the engines, by kind; "tenants": see report
	ReadyP99         float64            `json:"ready_p99_s"` // time from the start of a node until it is ready
	NodeStarts       int                `json:"node_starts"`
	Series           []Point            `json:"series"`
	LostByCause      map[string]int     `json:"lost_why"` // attempts without a final response, by the error that the client saw
}

// Row counts the operations of a class whose first attempt was sent during a fault.
type Row struct {
	Fault           string  `json:"trouble"` // kind of the fault; noFault = sent while no fault was active, wholeRun = all operations
	Class           string  `json:"class"`
	Sent            int     `json:"asked"`
	ServedInTime    int     `json:"served_in_time"`
	ServedLate      int     `json:"served_late"`
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"`
	Lost            int     `json:"lost"` // no node reached, no first token within the patience, or connection lost (node killed)
	Disconnected    int     `json:"left"` // the client disconnected on purpose
	FirstTokenP50   float64 `json:"first_token_p50_s"`
	FirstTokenP99   float64 `json:"first_token_p99_s"`
	TokensPerSecond float64 `json:"tokens_per_s"` // mean over the streams

	firstTokenDelays *hdrhistogram.Histogram // µs
	streams          int
	tokenRateSum     float64 // sum of the tokens per second of all streams
}

// Names of the rows for the times without a fault and for the whole run.
const (
	noFault  = "quiet"
	wholeRun = "all"
)

// Point is one point of a report's time series. It covers a few seconds of the run.
type Point struct {
	T            float64            `json:"t_s"`
	Sent         int                `json:"asked"`
	Served       int                `json:"served"`
	SlowStartUse float64            `json:"cold_use"` // greatest share of a slow-start budget that was used so far
	Fairness     map[string]float64 `json:"fairness"` // Jain's index of the work sent to the engines of each kind in these seconds
	NodesUp      int                `json:"nodes_up"`
}

// report returns the report of a run that has ended. Its fairness for "tenants" is Jain's index of the share of each tenant's operations
// that was served in time. The caller sets Records, Machine and Unfinished.
func (r *run) report(checker *rules.Checker, counts *tally) *Report {
	report := &Report{
		Name:       r.script.Name,
		Seed:       r.script.Seed,
		StartedAt:  counts.start,
		Length:     r.script.LengthSeconds,
		Violations: checker.Close(),
		Fairness:   map[string]float64{},
		ReadyP99:   float64(r.readyTimes.ValueAtQuantile(99)) / 1e6,
		NodeStarts: r.nodeStarts,
	}
	report.Rows = counts.close()
	report.ViolationCount = checker.ViolationCount()
	report.ViolationsByRule = checker.ViolationsByRule()
	report.SlowStartUse = checker.SlowStartUse()
	workByKind := map[string][]float64{}
	for _, m := range r.fleet.Members() {
		workByKind[m.Kind] = append(workByKind[m.Kind], counts.sentWork[m.ID])
	}
	for kind, work := range workByKind {
		report.Fairness[kind] = jainIndex(work)
	}
	var tenantShares []float64
	for _, t := range counts.tenants {
		tenantShares = append(tenantShares, t.servedInTime/max(1, t.requests))
	}
	report.Fairness["tenants"] = jainIndex(tenantShares)
	report.Series = counts.series
	report.LostByCause = counts.lostByCause
	return report
}

// jainIndex returns Jain's fairness index: 1 = all values are equal, 1/n = only one of n values is not zero.
func jainIndex(values []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range values {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(values)) * squares)
}

// Print writes the report as text for a person.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %.0f s, on loopback with emulated engines\n\n", r.Name, r.Seed, r.Length)
	r.printRows(w)
	if len(r.LostByCause) > 0 {
		fmt.Fprintln(w, "\nattempts without a final response, by the error that the client saw:")
		for _, cause := range slices.SortedFunc(maps.Keys(r.LostByCause), func(a, b string) int {
			return cmp.Or(cmp.Compare(r.LostByCause[b], r.LostByCause[a]), cmp.Compare(a, b))
		}) {
			fmt.Fprintf(w, "  %6d  %s\n", r.LostByCause[cause], cause)
		}
	}
	fmt.Fprintf(w, "\n%s\n", r.Machine)
	if r.Unfinished != "" {
		fmt.Fprintf(w, "run aborted: %s\n", r.Unfinished)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "\nno rule violated in %d records of the sockets\n", r.Records)
		return
	}
	r.printViolations(w)
}

func (r *Report) printRows(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trouble\tclass\tasked\tin time\tlate\trefused\tfailed\tlost\tleft\tp50 first\tp99 first\ttokens/s\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f s\t%.3f s\t%.1f\t\n", x.Fault, x.Class, x.Sent, x.ServedInTime,
			x.ServedLate, x.Rejected, x.Failed, x.Lost, x.Disconnected, x.FirstTokenP50, x.FirstTokenP99, x.TokensPerSecond)
	}
	t.Flush()
}

// printedPerRule is the maximum number of violations of each rule that are printed; the JSON report contains more.
const printedPerRule = 5

func (r *Report) printViolations(w io.Writer) {
	fmt.Fprintf(w, "\n%d RULE VIOLATIONS\n", r.ViolationCount)
	for _, rule := range slices.Sorted(maps.Keys(r.ViolationsByRule)) {
		fmt.Fprintf(w, "rule %d, %d violations; the first ones:\n", rule, r.ViolationsByRule[rule])
		printed := 0
		for _, v := range r.Violations {
			if v.Rule == rule && printed < printedPerRule {
				printed++
				fmt.Fprintf(w, "  %6.1f s  %s\n", v.T-r.StartedAt, v)
			}
		}
	}
}

// JSON returns the report as indented JSON.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", " ") }
