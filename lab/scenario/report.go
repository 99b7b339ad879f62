package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"text/tabwriter"

	"dillroute/lab/record"
	"dillroute/lab/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a day came to.
type Report struct {
	Name             string             `json:"name"`
	Seed             uint64             `json:"seed"`
	Began            float64            `json:"began"` // Unix seconds
	Length           float64            `json:"length_s"`
	Rows             []Row              `json:"rows"`
	Violations       []rules.Violation  `json:"violations"`
	Records          int                `json:"records"`
	ViolationCount   int                `json:"broken"` // breaches; Violations holds the first of each rule
	ViolationsByRule map[int]int        `json:"broken_by_rule"`
	Machine          Machine            `json:"machine"`
	Unfinished       string             `json:"unfinished,omitempty"` // what still ran when the day was cut off
	SlowStartUse     rules.SlowStartUse `json:"cold_use"`
	Fairness         map[string]float64 `json:"fairness"`    // Jain's index of work over the engines of a kind
	ReadyP99         float64            `json:"ready_p99_s"` // from the start of a node until it is ready
	Starts           int                `json:"node_starts"`
	Series           []Point            `json:"series"`
	LostByCause      map[string]int     `json:"lost_why"` // tries that had no answer, by what the client saw
}

// Row is what happened to the operations of a class that were first asked while a trouble was on.
type Row struct {
	Fault           string  `json:"trouble"` // "quiet" = none, "all" = the whole day
	Class           string  `json:"class"`
	Asked           int     `json:"asked"`
	ServedInTime    int     `json:"served_in_time"`
	ServedLate      int     `json:"served_late"`
	Rejected        int     `json:"refused"`
	Failed          int     `json:"failed"`
	Lost            int     `json:"lost"` // cut off by a killed node, or no node met
	Disconnected    int     `json:"left"` // the client hung up by its own choice
	FirstTokenP50   float64 `json:"first_token_p50_s"`
	FirstTokenP99   float64 `json:"first_token_p99_s"`
	TokensPerSecond float64 `json:"tokens_per_s"` // mean over streams
	first           *hdrhistogram.Histogram
	streams         int
	sumPerS         float64
}

// outcome is what became of one operation.
type outcome struct {
	class, tenant string
	at            float64 // first asked
	asked         float64 // last asked
	end           record.Record
	first         float64 // s from the last try's ask; 0 = none
	began         float64
	prompt        float64
	last          float64
}

// tally counts operations as they end. An operation has ended when nothing more was heard of it for a while: a client
// may come again.
type tally struct {
	s     *Script
	start float64
	ops   map[string]*outcome
	rows  map[[2]string]*Row
	sent  map[string]float64 // work that arrived at each engine
	swept float64

	tenants map[string]*part
	series  []Point
	window  map[string]float64 // work that arrived at each engine since the last point
	kinds   map[string]string  // of engines
	lost    map[string]int     // tries without an answer, by what the client saw
	up      int
}

// part is what became of a tenant's requests.
type part struct{ asked, inTime float64 }

// Point is what happened in a few seconds of a day.
type Point struct {
	T            float64            `json:"t_s"`
	Asked        int                `json:"asked"`
	Served       int                `json:"served"`
	SlowStartUse float64            `json:"cold_use"` // greatest part of a cold budget that was used so far
	Fairness     map[string]float64 `json:"fairness"` // Jain's index over the engines of a kind, in these seconds
	Up           int                `json:"nodes_up"`
}

// pointEvery is the length of a point (s); at most pointsMost are kept, whatever the length of the day.
const (
	pointEvery = 2.0
	pointsMost = 5000
)

func newTally(s *Script, start float64) *tally {
	return &tally{s: s, start: start, ops: map[string]*outcome{}, rows: map[[2]string]*Row{}, sent: map[string]float64{},
		tenants: map[string]*part{}, window: map[string]float64{}, kinds: kindsOf(s), lost: map[string]int{}}
}

func kindsOf(s *Script) map[string]string {
	kinds := map[string]string{}
	s.each(func(id string, k Kind, _ Group) { kinds[id] = k.Name })
	return kinds
}

// point closes the present point of the series and begins the next.
func (t *tally) point(at, cold float64) {
	byKind := map[string][]float64{}
	for id, kind := range t.kinds {
		byKind[kind] = append(byKind[kind], t.window[id])
	}
	last := &t.series[len(t.series)-1]
	last.SlowStartUse, last.Up, last.Fairness = cold, t.up, map[string]float64{}
	for kind, xs := range byKind {
		last.Fairness[kind] = jain(xs)
	}
	clear(t.window)
	if len(t.series) < pointsMost {
		t.series = append(t.series, Point{T: at})
	}
}

// quietFor is how long nothing is heard of an operation before it is counted (s).
const quietFor = 15.0

// add takes a record; cold is the greatest part of a cold budget that was used so far.
func (t *tally) add(x record.Record, cold float64) {
	if at := x.T - t.start; len(t.series) == 0 {
		t.series = append(t.series, Point{T: 0})
	} else if at > t.series[len(t.series)-1].T+pointEvery {
		t.point(at, cold)
	}
	now := &t.series[len(t.series)-1]
	switch {
	case x.Kind == record.NodeStarted:
		t.up++
	case x.Kind == record.NodeKilled && x.Note == "":
		t.up--
	case x.Kind == record.FinalResponse && x.Outcome == record.Served:
		now.Served++
	}
	if x.Kind == record.FinalResponse && x.Outcome != record.Served && x.Outcome != record.Rejected && x.Outcome != record.Failed {
		t.why(x)
	}
	o := t.ops[x.Op]
	switch {
	case x.Kind == record.RequestSent && o == nil:
		now.Asked++
		o = &outcome{class: x.Class, tenant: x.Tenant, at: x.T}
		t.ops[x.Op] = o
		fallthrough
	case x.Kind == record.RequestSent:
		o.asked, o.first, o.began, o.last, o.end = x.T, 0, 0, x.T, record.Record{}
	case x.Kind == record.Arrive:
		t.sent[x.Engine] += x.Work
		t.window[x.Engine] += x.Work
		if o != nil {
			o.prompt, o.last = x.Tokens, x.T
		}
	case o == nil:
	case x.Kind == record.FirstToken:
		o.first, o.began, o.last = x.T-o.asked, x.T, x.T
	case x.Kind == record.FinalResponse, x.Kind == record.ClientDisconnected:
		o.end, o.last = x, x.T
	}
	if x.T > t.swept+quietFor/3 {
		t.swept = x.T
		for id, o := range t.ops {
			if o.end.Kind != "" && x.T > o.last+quietFor {
				t.count(o)
				delete(t.ops, id)
			}
		}
	}
}

// addresses are of no use where causes are counted.
var addresses = regexp.MustCompile(`"http://[^"]*"|\d+\.\d+\.\d+\.\d+:\d+`)

const mostCauses = 50

// why counts what a client saw in place of an answer.
func (t *tally) why(x record.Record) {
	cause := string(x.Outcome) + ": " + addresses.ReplaceAllString(x.Note, "…")
	if _, known := t.lost[cause]; !known && len(t.lost) >= mostCauses {
		cause = "others"
	}
	t.lost[cause]++
}

// close counts what is left and returns the rows.
func (t *tally) close() []Row {
	for _, o := range t.ops {
		t.count(o)
	}
	t.ops = nil
	var rows []Row
	for _, r := range t.rows {
		r.FirstTokenP50 = float64(r.first.ValueAtQuantile(50)) / 1e6
		r.FirstTokenP99 = float64(r.first.ValueAtQuantile(99)) / 1e6
		if r.streams > 0 {
			r.TokensPerSecond = r.sumPerS / float64(r.streams)
		}
		rows = append(rows, *r)
	}
	order := func(name string) int {
		switch name {
		case "all":
			return 0
		case "quiet":
			return 1
		}
		return 2
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order(a.Fault), order(b.Fault)), cmp.Compare(a.Fault, b.Fault), cmp.Compare(a.Class, b.Class))
	})
	return rows
}

// during names the troubles that are on at a time, "quiet" if none; a trouble works on for a while.
func (t *tally) during(at float64) []string {
	var names []string
	for _, x := range t.s.Faults {
		if d := at - t.start; d >= x.At && d <= x.At+x.Len+1 && !slices.Contains(names, x.Kind) {
			names = append(names, x.Kind)
		}
	}
	if len(names) == 0 {
		names = []string{"quiet"}
	}
	return names
}

// count files an operation in its rows.
func (t *tally) count(o *outcome) {
	who := t.tenants[o.tenant]
	if who == nil {
		who = &part{}
		t.tenants[o.tenant] = who
	}
	who.asked++
	for _, trouble := range append(t.during(o.at), "all") {
		k := [2]string{trouble, o.class}
		if t.rows[k] == nil {
			t.rows[k] = &Row{Fault: trouble, Class: o.class, first: hdrhistogram.New(1, 600_000_000, 3)}
		}
		t.file(t.rows[k], o)
	}
}

// file counts an operation in a row. The first token counts from the ask of its last try.
func (t *tally) file(r *Row, o *outcome) {
	r.Asked++
	c := t.s.Classes[slices.IndexFunc(t.s.Classes, func(c Class) bool { return c.Name == o.class })]
	switch {
	case o.end.Kind == record.ClientDisconnected:
		r.Disconnected++
	case o.end.Outcome == record.Served:
		first, pace := o.first, 0.0
		if o.end.Tokens == 0 { // a whole answer has no first token that a client could see
			first = 0
		} else if o.end.Tokens > 2 { // [DONE] and the chunk with the reason carry no text
			pace = (o.end.T - o.began) / (o.end.Tokens - 2)
		}
		if first > c.LatencyObjective+c.LatencyObjectivePerK*o.prompt/1000 || pace > c.TokenLatencyObjective {
			r.ServedLate++
		} else {
			r.ServedInTime++
			if r.Fault == "all" {
				t.tenants[o.tenant].inTime++
			}
		}
		if first > 0 {
			r.first.RecordValue(int64(first * 1e6))
		}
		if pace > 0 {
			r.streams++
			r.sumPerS += 1 / pace
		}
	case o.end.Outcome == record.Rejected:
		r.Rejected++
	case o.end.Outcome == record.Failed:
		r.Failed++
	default:
		r.Lost++
	}
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d, %.0f s, on loopback with stand-in engines\n\n", r.Name, r.Seed, r.Length)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "trouble\tclass\tasked\tin time\tlate\trefused\tfailed\tlost\tleft\tp50 first\tp99 first\ttokens/s\t")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f s\t%.3f s\t%.1f\t\n", x.Fault, x.Class, x.Asked, x.ServedInTime,
			x.ServedLate, x.Rejected, x.Failed, x.Lost, x.Disconnected, x.FirstTokenP50, x.FirstTokenP99, x.TokensPerSecond)
	}
	t.Flush()
	if len(r.LostByCause) > 0 {
		fmt.Fprintln(w, "\ntries without an answer, by what the client saw:")
		for _, cause := range slices.SortedFunc(maps.Keys(r.LostByCause), func(a, b string) int {
			return cmp.Or(cmp.Compare(r.LostByCause[b], r.LostByCause[a]), cmp.Compare(a, b))
		}) {
			fmt.Fprintf(w, "  %6d  %s\n", r.LostByCause[cause], cause)
		}
	}
	fmt.Fprintf(w, "\n%s\n", r.Machine)
	if r.Unfinished != "" {
		fmt.Fprintf(w, "cut off: %s\n", r.Unfinished)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "\nno rule broken, by %d records of the sockets\n", r.Records)
		return
	}
	fmt.Fprintf(w, "\n%d BREACHES OF THE RULES\n", r.ViolationCount)
	for _, rule := range slices.Sorted(maps.Keys(r.ViolationsByRule)) {
		fmt.Fprintf(w, "rule %d, %d times; the first:\n", rule, r.ViolationsByRule[rule])
		shown := 0
		for _, v := range r.Violations {
			if v.Rule == rule && shown < shownOfRule {
				shown++
				fmt.Fprintf(w, "  %6.1f s  %s\n", v.T-r.Began, v)
			}
		}
	}
}

// shownOfRule is how many breaches of each rule are printed in full; the JSON report has more.
const shownOfRule = 5

// JSON writes the report for programs.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", " ") }
