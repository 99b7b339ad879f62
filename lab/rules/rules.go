// Package rules judges a run by the five rules, from the records of what passed on the sockets alone. It imports
// nothing of the node, so that an error there cannot hide itself here.
package rules

import (
	"fmt"
	"slices"

	"dillroute/lab/record"
)

// Config holds the figures of the rules and what is known of the run's engines and classes. Times are in seconds.
type Config struct {
	Classes      map[string]Class
	Engines      map[string]Engine
	AnswerSlack  float64 // rule 1: after the client's patience
	DrainGrace   float64 // rule 3
	ListLag      float64 // rule 3: for a node to read its list once it has been given it
	FallMultiple float64 // rule 4
	TipAfter     float64
	LetGoBy      float64 // rule 5
	Skew         float64 // what clocks, scheduling and the socket may add
}

// Class is what a rule needs of a class.
type Class struct {
	Effect string // repeatable, by_key or once
	Group  string // all, zone or cell
	KeyTTL float64
}

// Engine is what a rule needs of an engine. PerS is the work that it does a second when warm, in the tokens that
// records tell: of prompts for the prefill stage, of answers for the decode stage.
type Engine struct {
	Cell, Zone       string
	ReadPerS, WriteS float64
	ColdShare, ColdS float64
}

// Violation is a rule broken.
type Violation struct {
	Rule int // 1 to 5; 0 = the text of an answer is wrong
	T    float64
	Text string
}

func (v Violation) String() string {
	if v.Rule == 0 {
		return "wrong answer: " + v.Text
	}
	return fmt.Sprintf("rule %d: %s", v.Rule, v.Text)
}

// try is one try of an operation.
type try struct {
	op string
	n  int
}

// run is what the checker sorts records into.
type run struct {
	cfg   Config
	out   []Violation
	asks  map[try]record.Record
	order []try
	ends  map[try][]record.Record
	first map[try]record.Record
	kills map[string][]float64 // by node
	last  float64
}

// Check returns every breach, in order of time.
func Check(rs []record.Record, cfg Config) []Violation {
	r := &run{cfg: cfg, asks: map[try]record.Record{}, ends: map[try][]record.Record{}, first: map[try]record.Record{},
		kills: map[string][]float64{}}
	for _, x := range rs {
		r.last = max(r.last, x.T)
		k := try{x.Op, x.Try}
		switch x.Kind {
		case record.Ask:
			r.asks[k] = x
			r.order = append(r.order, k)
		case record.First:
			r.first[k] = x
		case record.Answer, record.Hangup, record.More:
			r.ends[k] = append(r.ends[k], x)
		case record.NodeKill:
			r.kills[x.Node] = append(r.kills[x.Node], x.T)
		}
	}
	r.answers()
	r.nothingAfter(rs)
	r.effects(rs)
	r.drains(rs)
	r.cold(rs)
	r.pinned(rs)
	slices.SortStableFunc(r.out, func(a, b Violation) int {
		switch {
		case a.T < b.T:
			return -1
		case a.T > b.T:
			return 1
		}
		return 0
	})
	return r.out
}

func (r *run) breach(rule int, t float64, format string, args ...any) {
	r.out = append(r.out, Violation{rule, t, fmt.Sprintf(format, args...)})
}

// killed tells whether a node was killed within a span: what it held then is the client's to retry.
func (r *run) killed(node string, from, to float64) bool {
	return slices.ContainsFunc(r.kills[node], func(t float64) bool { return t >= from-r.cfg.Skew && t <= to+r.cfg.Skew })
}

// answers is rule 1, but for what comes after.
func (r *run) answers() {
	for _, k := range r.order {
		ask, ends := r.asks[k], r.ends[k]
		limit := ask.Tokens + r.cfg.AnswerSlack + r.cfg.Skew // an ask records its patience there
		switch {
		case len(ends) == 0:
			r.breach(1, ask.T, "%s try %d has no final answer", k.op, k.n)
			continue
		case len(ends) > 1:
			r.breach(1, ends[1].T, "%s try %d has %d final answers", k.op, k.n, len(ends))
		}
		end := ends[0]
		if end.Kind == record.Hangup {
			continue
		}
		first, began := r.first[k]
		switch {
		case (end.Outcome == record.Cut || end.Outcome == record.Overdue) && !r.killed(ask.Node, ask.T, end.T):
			r.breach(1, end.T, "%s try %d was %s: %s", k.op, k.n, end.Outcome, end.Note)
		case end.Outcome == record.Unmet, end.Outcome == record.Cut, end.Outcome == record.Overdue:
		case began && ask.Tokens > 0 && first.T-ask.T > limit:
			r.breach(1, first.T, "%s try %d began %.3f s after the client's patience", k.op, k.n, first.T-ask.T-ask.Tokens)
		case !began && ask.Tokens > 0 && end.T-ask.T > limit:
			r.breach(1, end.T, "%s try %d was answered %.3f s after the client's patience", k.op, k.n, end.T-ask.T-ask.Tokens)
		}
		if (end.Outcome == record.Served || began) && !end.OK {
			r.breach(0, end.T, "%s try %d (%s): the text repeats, lacks or mixes something", k.op, k.n, end.Outcome)
		}
	}
}

// nothingAfter is the rest of rule 1: no engine is asked for what has had its answer.
func (r *run) nothingAfter(rs []record.Record) {
	for _, x := range rs {
		if x.Kind != record.Arrive {
			continue
		}
		for _, end := range r.ends[try{x.Op, x.Try}] {
			if x.T > end.T+r.cfg.Skew {
				r.breach(1, x.T, "%s try %d was sent to %s %.3f s after its final answer", x.Op, x.Try, x.Engine, x.T-end.T)
				break
			}
		}
	}
}

// effects is rule 2.
func (r *run) effects(rs []record.Record) {
	ran := map[string][]record.Record{}
	ranTry := map[try]record.Record{}
	for _, x := range rs {
		if x.Kind == record.Run {
			ran[x.Op] = append(ran[x.Op], x)
			ranTry[try{x.Op, x.Try}] = x
		}
	}
	for _, k := range r.order {
		class := r.cfg.Classes[r.asks[k].Class]
		if class.Effect == "repeatable" || class.Effect == "by_key" && class.Group == "all" {
			continue
		}
		for _, end := range r.ends[k] {
			if x, ok := ranTry[k]; ok && end.Outcome == record.Refused {
				r.breach(2, end.T, "%s try %d was refused, a retry being called harmless, though %s had run it", k.op, k.n, x.Engine)
			}
		}
	}
	for op, xs := range ran {
		class := r.cfg.Classes[xs[0].Class]
		for _, x := range xs[1:] {
			switch {
			case class.Effect == "once":
				r.breach(2, x.T, "%s ran at %s and again at %s", op, xs[0].Engine, x.Engine)
			case class.Effect == "by_key" && (x.T-xs[0].T > class.KeyTTL+r.cfg.Skew || !r.sameGroup(class.Group, xs[0].Engine, x.Engine)):
				r.breach(2, x.T, "%s ran at %s and, outside its group or window, at %s", op, xs[0].Engine, x.Engine)
			}
		}
	}
}

func (r *run) sameGroup(group, a, b string) bool {
	switch x, y := r.cfg.Engines[a], r.cfg.Engines[b]; group {
	case "zone":
		return x.Zone == y.Zone
	case "cell":
		return x.Cell == y.Cell
	}
	return true
}

// drains is rule 3.
func (r *run) drains(rs []record.Record) {
	type pair struct{ node, engine string }
	told := map[pair]record.Record{}
	for _, x := range rs {
		k := pair{x.Node, x.Engine}
		switch x.Kind {
		case record.Told:
			if told[k].State != x.State {
				told[k] = x
			}
		case record.Arrive:
			t, ok := told[k]
			if ok && t.State != "ready" && x.T > t.T+r.cfg.DrainGrace+r.cfg.ListLag+r.cfg.Skew {
				r.breach(3, x.T, "%s was sent %s by %s %.3f s after it was told that it is %s", x.Engine, x.Op, x.Node, x.T-t.T, t.State)
			}
		}
	}
}

// push is work sent to an engine.
type push struct {
	t, weight float64
	told      bool // by a node that knew of the start
}

// cold is rule 4: in every window of the stated length the work sent must stay under the multiple of what the
// engine can do at that time, with room for two requests by chance.
func (r *run) cold(rs []record.Record) {
	mean := meanWeights(rs)
	boots, knows := map[string]float64{}, map[string]bool{}
	sent := map[string][]push{}
	for _, x := range rs {
		switch x.Kind {
		case record.Boot:
			delete(boots, x.Engine)
			if x.Tokens > 0 {
				boots[x.Engine] = x.T
			}
			delete(sent, x.Engine)
			for k := range knows {
				if len(k) > len(x.Engine) && k[len(k)-len(x.Engine)-1:] == "\x00"+x.Engine {
					delete(knows, k)
				}
			}
		case record.Told:
			if at, ok := boots[x.Engine]; ok && x.State == "ready" && x.T >= at {
				knows[x.Node+"\x00"+x.Engine] = true
			}
		case record.Arrive:
			at, ok := boots[x.Engine]
			e := r.cfg.Engines[x.Engine]
			if !ok || x.T > at+e.ColdS {
				continue
			}
			stage := stageOf(x)
			w := mean[x.Class+stage]
			sent[x.Engine] = append(sent[x.Engine], push{x.T, w, knows[x.Node+"\x00"+x.Engine]})
			r.window(x, at, e, sent[x.Engine], w)
		}
	}
}

// window judges the window that ends with an arrival.
func (r *run) window(x record.Record, boot float64, e Engine, sent []push, w float64) {
	sum, told := 0.0, 0.0
	for _, p := range sent {
		if p.t > x.T-r.cfg.TipAfter {
			sum += p.weight
			if p.told {
				told += p.weight
			}
		}
	}
	rate := e.WriteS
	if stageOf(x) == "prefill" {
		rate = e.ReadPerS
	}
	age := min(1, max(0, x.T-boot)/max(1e-9, e.ColdS))
	can := rate * min(1, e.ColdShare+(1-e.ColdShare)*age) * r.cfg.TipAfter
	if limit := r.cfg.FallMultiple*can + 2*w; sum > limit && told*3 >= sum*2 {
		r.breach(4, x.T, "%s, %.1f s after its start, was sent %.0f tokens in %.1f s, %.1f times what it can do",
			x.Engine, x.T-boot, sum, r.cfg.TipAfter, sum/can)
	}
}

func stageOf(x record.Record) string {
	if len(x.Note) >= 7 && x.Note[:7] == "prefill" {
		return "prefill"
	}
	return "decode"
}

// meanWeights is the mean work of a class at each stage: of the prompts that arrived, and of the answers made.
func meanWeights(rs []record.Record) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, x := range rs {
		switch {
		case x.Kind == record.Arrive && stageOf(x) == "prefill":
			sum[x.Class+"prefill"] += x.Tokens
			n[x.Class+"prefill"]++
		case x.Kind == record.Answer && x.Outcome == record.Served:
			sum[x.Class+"decode"] += x.Tokens
			n[x.Class+"decode"]++
		}
	}
	for k := range sum {
		sum[k] /= n[k]
	}
	return sum
}

// pinned is rule 5.
func (r *run) pinned(rs []record.Record) {
	type hold struct {
		record.Record
		since float64 // when it was last seen to wait with no attempt out
		out   int
	}
	held := map[string]*hold{}
	judge := func(h *hold, t float64) {
		if h.out == 0 && t-h.since > r.cfg.LetGoBy+r.cfg.Skew && !r.killed(h.Node, h.T, t) {
			r.breach(5, t, "the state of %s try %d waited at %s for %.3f s with no attempt out", h.Op, h.Try, h.Engine, t-h.since)
		}
	}
	for _, x := range rs {
		h := held[x.State]
		switch {
		case x.Kind == record.Parsed:
			held[x.State] = &hold{Record: x, since: x.T}
		case h == nil || x.State == "":
		case x.Kind == record.StateEnd && x.Engine == h.Engine:
			judge(h, x.T)
			delete(held, x.State)
		case x.Kind == record.Arrive && stageOf(x) == "decode":
			judge(h, x.T)
			h.out++
		case (x.Kind == record.End || x.Kind == record.Turned) && stageOf(x) == "decode" && h.out > 0:
			h.out--
			h.since = x.T
		}
	}
	for _, h := range held {
		judge(h, r.last)
	}
}
