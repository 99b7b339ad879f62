package badday

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"dillroute/lab/record"
	"dillroute/lab/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what a day came to.
type Report struct {
	Name       string            `json:"name"`
	Seed       uint64            `json:"seed"`
	Length     float64           `json:"length_s"`
	Rows       []Row             `json:"rows"`
	Violations []rules.Violation `json:"violations"`
	Records    int               `json:"records"`
}

// Row is what happened to the operations of a class that were first asked while a trouble was on.
type Row struct {
	Trouble string  `json:"trouble"` // "quiet" = none, "all" = the whole day
	Class   string  `json:"class"`
	Asked   int     `json:"asked"`
	InTime  int     `json:"served_in_time"`
	Late    int     `json:"served_late"`
	Refused int     `json:"refused"`
	Failed  int     `json:"failed"`
	Lost    int     `json:"lost"` // cut off by a killed node, or no node met
	Left    int     `json:"left"` // the client hung up by its own choice
	First50 float64 `json:"first_token_p50_s"`
	First99 float64 `json:"first_token_p99_s"`
	PerS    float64 `json:"tokens_per_s"` // mean over streams
	first   *hdrhistogram.Histogram
	streams int
	sumPerS float64
}

// outcome is what became of one operation.
type outcome struct {
	class string
	at    float64 // first asked
	end   record.Record
	first float64 // s from the last try's ask; 0 = none
	aim   float64
	pace  float64
}

// report sums a day up.
func (d *day) report(rs []record.Record, broken []rules.Violation) *Report {
	rep := &Report{Name: d.s.Name, Seed: d.s.Seed, Length: d.s.Length, Violations: broken, Records: len(rs)}
	rows := map[[2]string]*Row{}
	add := func(trouble string, o *outcome) {
		k := [2]string{trouble, o.class}
		if rows[k] == nil {
			rows[k] = &Row{Trouble: trouble, Class: o.class, first: hdrhistogram.New(1, 600_000_000, 3)}
		}
		d.count(rows[k], o)
	}
	for _, o := range d.outcomes(rs) {
		add("all", o)
		for _, t := range d.during(o.at) {
			add(t, o)
		}
	}
	for _, r := range rows {
		r.First50 = float64(r.first.ValueAtQuantile(50)) / 1e6
		r.First99 = float64(r.first.ValueAtQuantile(99)) / 1e6
		if r.streams > 0 {
			r.PerS = r.sumPerS / float64(r.streams)
		}
		rep.Rows = append(rep.Rows, *r)
	}
	order := func(t string) int {
		switch t {
		case "all":
			return 0
		case "quiet":
			return 1
		}
		return 2
	}
	slices.SortFunc(rep.Rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(order(a.Trouble), order(b.Trouble)), cmp.Compare(a.Trouble, b.Trouble), cmp.Compare(a.Class, b.Class))
	})
	return rep
}

// during names the troubles that are on at a time, "quiet" if none; a trouble works on for a while.
func (d *day) during(at float64) []string {
	var names []string
	start := float64(d.start.UnixNano()) / 1e9
	for _, t := range d.s.Troubles {
		if x := at - start; x >= t.At && x <= t.At+t.Len+1 && !slices.Contains(names, t.Kind) {
			names = append(names, t.Kind)
		}
	}
	if len(names) == 0 {
		names = []string{"quiet"}
	}
	return names
}

// outcomes follows each operation over its tries.
func (d *day) outcomes(rs []record.Record) map[string]*outcome {
	ops := map[string]*outcome{}
	asked := map[string]float64{}
	prompt := map[string]float64{}
	for _, x := range rs {
		o := ops[x.Op]
		switch x.Kind {
		case record.Ask:
			if o == nil {
				o = &outcome{class: x.Class, at: x.T}
				ops[x.Op] = o
			}
			asked[x.Op] = x.T
			o.first = 0
		case record.Arrive:
			prompt[x.Op] = x.Tokens
		case record.First:
			o.first = x.T - asked[x.Op]
			o.pace = x.T
		case record.Answer, record.Hangup:
			o.end = x
			if o.first > 0 && x.Tokens > 2 {
				o.pace = (x.T - o.pace) / (x.Tokens - 2) // [DONE] and the chunk with the reason carry no text
			} else {
				o.pace = 0
			}
		}
	}
	for op, o := range ops {
		i := slices.IndexFunc(d.s.Classes, func(c Class) bool { return c.Name == o.class })
		c := &d.s.Classes[i]
		o.aim = c.Aim + c.AimPerK*prompt[op]/1000
	}
	return ops
}

// count files an operation in a row. The first token counts from the ask of its last try.
func (d *day) count(r *Row, o *outcome) {
	r.Asked++
	i := slices.IndexFunc(d.s.Classes, func(c Class) bool { return c.Name == o.class })
	switch {
	case o.end.Kind == record.Hangup:
		r.Left++
	case o.end.Outcome == record.Served:
		first := o.first
		if o.end.Tokens == 0 { // a whole answer has no first token that a client could see
			first = 0
		}
		late := first > o.aim || o.pace > d.s.Classes[i].TokenAim
		if late {
			r.Late++
		} else {
			r.InTime++
		}
		if first > 0 {
			r.first.RecordValue(int64(first * 1e6))
		}
		if o.pace > 0 {
			r.streams++
			r.sumPerS += 1 / o.pace
		}
	case o.end.Outcome == record.Refused:
		r.Refused++
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
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f s\t%.3f s\t%.1f\t\n", x.Trouble, x.Class, x.Asked, x.InTime,
			x.Late, x.Refused, x.Failed, x.Lost, x.Left, x.First50, x.First99, x.PerS)
	}
	t.Flush()
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "\nno rule broken, by %d records of the sockets\n", r.Records)
		return
	}
	fmt.Fprintf(w, "\n%d BREACHES OF THE RULES\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == 20 {
			fmt.Fprintf(w, "… and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintln(w, v)
	}
}

// JSON writes the report for programs.
func (r *Report) JSON() ([]byte, error) { return json.MarshalIndent(r, "", " ") }
