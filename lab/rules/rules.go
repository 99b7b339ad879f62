// Package rules judges a run by the five rules, from the records of what passed on the sockets alone. It imports
// nothing of the node, so that an error there cannot hide itself here.
package rules

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"

	"dillroute/lab/record"
)

// Config holds the figures of the rules and what is known of the run's engines and classes. Times are in seconds.
type Config struct {
	Classes           map[string]Class
	Engines           map[string]Engine
	AnswerSlack       float64 // rule 1: after the client's patience
	StatedTimeSlack   float64 // rule 1: by how much engines may be told more time than the client has left; 0 = not judged
	DrainGrace        float64 // rule 3
	ListLag           float64 // rule 3: for a node to read its list once it has been given it
	OverloadMultiple  float64 // rule 4
	SlowStartWindow   float64
	StateReleaseLimit float64 // rule 5
	Skew              float64 // what clocks, scheduling and the socket may add
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
	Cell, Zone                                    string
	PrefillTokensPerSecond, DecodeTokensPerSecond float64
	SlowStartShare, SlowStartSeconds              float64
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

// horizon is for how long after its last word an operation, a state or a killed node is remembered (s). What would break
// a rule later than that is not seen.
const horizon = 30.0

// reorder is how far records may come out of order (s): those of one moment are made by many goroutines.
const reorder = 0.5

// try is one try of an operation.
type try struct {
	ask   record.Record
	ends  []record.Record
	began float64 // when the first piece came; 0 = none has
	ran   string  // engine at which its effect began
	late  bool    // that it has no answer was told already
}

// operation is what a user wants done.
type operation struct {
	tries map[int]*try
	runs  []record.Record
	last  float64 // when something was last seen of it
}

// hold is a state that waits at an engine.
type hold struct {
	record.Record
	since float64 // when it was last seen to wait with no attempt out
	out   int     // attempts that are out to fetch it
	told  bool
}

// push is work sent to a cold engine.
type push struct {
	t, weight float64
	told      bool // by a node that knew of the start
}

// pair is a node and an engine.
type pair struct{ node, engine string }

// mean is a running mean.
type mean struct{ sum, n float64 }

// Checker judges a run as it goes on. Its memory is bounded by what happens within the horizon, not by the length of the
// run. It is not safe for concurrent use.
type Checker struct {
	cfg     Config
	buffer  waiting // not yet judged
	newest  float64 // time of the latest record
	serial  uint64
	ops     map[string]*operation
	kills   map[string][]float64
	told    map[pair]record.Record
	boots   map[string]float64 // cold starts
	knows   map[pair]bool      // which node was told of an engine's start
	sent    map[string][]push
	holds   map[string]*hold
	weights map[string]*mean
	swept   float64
	out     []Violation
	broken  map[int]int // breaches by rule
	most    SlowStartUse
}

// SlowStartUse is how near sends to a cold engine came to their budget.
type SlowStartUse struct {
	Share  float64 // of the budget; above 1 the rule is broken
	Engine string
	T      float64
}

// NewChecker returns a judge who has seen nothing.
func NewChecker(cfg Config) *Checker {
	return &Checker{cfg: cfg, ops: map[string]*operation{}, kills: map[string][]float64{}, told: map[pair]record.Record{},
		boots: map[string]float64{}, knows: map[pair]bool{}, sent: map[string][]push{}, holds: map[string]*hold{},
		weights: map[string]*mean{}, broken: map[int]int{}}
}

// Check returns every breach of a run that is over, in order of time.
func Check(rs []record.Record, cfg Config) []Violation {
	j := NewChecker(cfg)
	for _, r := range rs {
		j.Add(r)
	}
	return j.Close()
}

// Add takes a record. Records may come a little out of order.
func (j *Checker) Add(r record.Record) {
	j.serial++
	heap.Push(&j.buffer, pending{r, j.serial})
	j.newest = max(j.newest, r.T)
	for len(j.buffer) > 0 && j.buffer[0].T < j.newest-reorder {
		j.see(heap.Pop(&j.buffer).(pending).Record)
	}
}

// pending is a record that waits for those before it; serial keeps the order of those of one time.
type pending struct {
	record.Record
	serial uint64
}

// waiting is a heap by time. A sorted slice moved every later record at each insertion: at 20,000 records a second the
// judge took more of the machine than what it judged.
type waiting []pending

func (w waiting) Len() int      { return len(w) }
func (w waiting) Swap(i, k int) { w[i], w[k] = w[k], w[i] }
func (w waiting) Less(i, k int) bool {
	return w[i].T < w[k].T || w[i].T == w[k].T && w[i].serial < w[k].serial
}

// Push adds a record at the end, as container/heap asks.
func (w *waiting) Push(x any) { *w = append(*w, x.(pending)) }

// Pop takes the last one off, as container/heap asks.
func (w *waiting) Pop() any {
	last := len(*w) - 1
	x := (*w)[last]
	(*w)[last] = pending{}
	*w = (*w)[:last]
	return x
}

// keptOfRule is how many breaches of each rule are kept with their text.
const keptOfRule = 25

// Close judges what is left and returns the breaches that are kept, the first of each rule.
func (j *Checker) Close() []Violation {
	for len(j.buffer) > 0 {
		j.see(heap.Pop(&j.buffer).(pending).Record)
	}
	for _, k := range slices.Sorted(maps.Keys(j.ops)) {
		j.forget(k, j.ops[k])
	}
	for _, id := range slices.Sorted(maps.Keys(j.holds)) {
		j.waited(j.holds[id], j.newest)
	}
	slices.SortStableFunc(j.out, func(a, b Violation) int { return cmp.Compare(a.T, b.T) })
	return j.out
}

// Broken returns how many breaches there were; ByRule, of which rule (0 = a wrong text).
func (j *Checker) Broken() (n int) {
	for _, k := range j.broken {
		n += k
	}
	return n
}

// ByRule returns how many breaches there were of each rule.
func (j *Checker) ByRule() map[int]int { return maps.Clone(j.broken) }

// SlowStartUse returns how near sends to a cold engine came to their budget.
func (j *Checker) SlowStartUse() SlowStartUse { return j.most }

func (j *Checker) breach(rule int, t float64, format string, args ...any) {
	if j.broken[rule]++; j.broken[rule] <= keptOfRule {
		j.out = append(j.out, Violation{rule, t, fmt.Sprintf(format, args...)})
	}
}

// see judges a record; those before it have been seen.
func (j *Checker) see(x record.Record) {
	switch x.Kind {
	case record.NodeKilled:
		j.kills[x.Node] = append(j.kills[x.Node], x.T)
	case record.ListDelivered:
		j.tell(x)
	case record.EngineStarted:
		j.boot(x)
	case record.RequestSent, record.FirstToken, record.FinalResponse, record.ClientDisconnected, record.ExtraResponse, record.Run:
		j.operation(x)
	case record.Arrive:
		j.arrive(x)
	}
	j.state(x)
	if x.T > j.swept+horizon/4 {
		j.sweep(x.T)
	}
}

// sweep forgets what is beyond the horizon.
func (j *Checker) sweep(now float64) {
	j.swept = now
	for _, id := range slices.Sorted(maps.Keys(j.ops)) {
		o := j.ops[id]
		open := slices.ContainsFunc(slices.Collect(maps.Values(o.tries)), func(t *try) bool {
			return len(t.ends) == 0 && now < t.ask.T+t.ask.Tokens+horizon && t.began == 0
		})
		if now > o.last+horizon && !open {
			j.forget(id, o)
			delete(j.ops, id)
		}
	}
	for node, ts := range j.kills {
		j.kills[node] = slices.DeleteFunc(ts, func(t float64) bool { return t < now-10*horizon })
	}
	for id, h := range j.holds {
		if h.out == 0 && now > h.since+horizon {
			j.waited(h, now)
			delete(j.holds, id)
		}
	}
}

// forget closes the book on an operation: what has had no answer by now has none.
func (j *Checker) forget(id string, o *operation) {
	for n, t := range o.tries {
		if len(t.ends) == 0 && t.ask.T > 0 && !t.late {
			t.late = true
			j.breach(1, t.ask.T, "%s try %d has no final answer", id, n)
		}
	}
}

func (j *Checker) op(id string) *operation {
	o := j.ops[id]
	if o == nil {
		o = &operation{tries: map[int]*try{}}
		j.ops[id] = o
	}
	return o
}

func (o *operation) try(n int) *try {
	t := o.tries[n]
	if t == nil {
		t = &try{}
		o.tries[n] = t
	}
	return t
}

// killed tells whether a node was killed within a span: what it held then is the client's to retry.
func (j *Checker) killed(node string, from, to float64) bool {
	return slices.ContainsFunc(j.kills[node], func(t float64) bool { return t >= from-j.cfg.Skew && t <= to+j.cfg.Skew })
}

// operation is rules 1 and 2 as clients and engines see a request.
func (j *Checker) operation(x record.Record) {
	o := j.op(x.Op)
	o.last = max(o.last, x.T)
	t := o.try(x.Try)
	switch x.Kind {
	case record.RequestSent:
		t.ask = x
	case record.FirstToken:
		t.began = x.T
	case record.Run:
		t.ran = x.Engine
		for _, end := range t.ends {
			j.refused(x.Op, x.Try, t, end)
		}
		j.again(x, o)
		o.runs = append(o.runs, x)
	default:
		t.ends = append(t.ends, x)
		if len(t.ends) > 1 {
			j.breach(1, x.T, "%s try %d has %d final answers", x.Op, x.Try, len(t.ends))
			return
		}
		j.answer(x, t)
		j.refused(x.Op, x.Try, t, x)
	}
}

// answer is rule 1 for a final answer.
func (j *Checker) answer(end record.Record, t *try) {
	ask := t.ask
	if end.Kind == record.ClientDisconnected {
		return
	}
	limit := ask.Tokens + j.cfg.AnswerSlack + j.cfg.Skew // an ask records its patience there
	switch {
	case (end.Outcome == record.Cut || end.Outcome == record.TimedOut) && !j.killed(ask.Node, ask.T, end.T):
		j.breach(1, end.T, "%s try %d was %s: %s", end.Op, end.Try, end.Outcome, end.Note)
	case end.Outcome == record.Unreachable, end.Outcome == record.Cut, end.Outcome == record.TimedOut:
	case t.began > 0 && ask.Tokens > 0 && t.began-ask.T > limit:
		j.breach(1, t.began, "%s try %d began %.3f s after the client's patience", end.Op, end.Try, t.began-ask.T-ask.Tokens)
	case t.began == 0 && ask.Tokens > 0 && end.T-ask.T > limit:
		j.breach(1, end.T, "%s try %d was answered %.3f s after the client's patience", end.Op, end.Try, end.T-ask.T-ask.Tokens)
	}
	if (end.Outcome == record.Served || t.began > 0) && !end.OK {
		j.breach(0, end.T, "%s try %d (%s): the text repeats, lacks or mixes something", end.Op, end.Try, end.Outcome)
	}
}

// refused is rule 2 for the word that a retry is harmless.
func (j *Checker) refused(op string, n int, t *try, end record.Record) {
	class := j.cfg.Classes[end.Class]
	if class.Effect == "repeatable" || class.Effect == "by_key" && class.Group == "all" {
		return
	}
	if end.Outcome == record.Rejected && t.ran != "" {
		j.breach(2, end.T, "%s try %d was refused, a retry being called harmless, though %s had run it", op, n, t.ran)
	}
}

// again is rule 2 for a second effect.
func (j *Checker) again(x record.Record, o *operation) {
	if len(o.runs) == 0 {
		return
	}
	first, class := o.runs[0], j.cfg.Classes[x.Class]
	switch {
	case class.Effect == "once":
		j.breach(2, x.T, "%s ran at %s and again at %s", x.Op, first.Engine, x.Engine)
	case class.Effect == "by_key" && (x.T-first.T > class.KeyTTL+j.cfg.Skew || !j.sameGroup(class.Group, first.Engine, x.Engine)):
		j.breach(2, x.T, "%s ran at %s and, outside its group or window, at %s", x.Op, first.Engine, x.Engine)
	}
}

func (j *Checker) sameGroup(group, a, b string) bool {
	switch x, y := j.cfg.Engines[a], j.cfg.Engines[b]; group {
	case "zone":
		return x.Zone == y.Zone
	case "cell":
		return x.Cell == y.Cell
	}
	return true
}

// tell files what a node was told of an engine.
func (j *Checker) tell(x record.Record) {
	k := pair{x.Node, x.Engine}
	if j.told[k].State != x.State {
		j.told[k] = x
	}
	if at, ok := j.boots[x.Engine]; ok && x.State == "ready" && x.T >= at {
		j.knows[k] = true
	}
}

// boot files a start of an engine; Tokens of 1 says that it is cold.
func (j *Checker) boot(x record.Record) {
	delete(j.boots, x.Engine)
	delete(j.sent, x.Engine)
	if x.Tokens > 0 {
		j.boots[x.Engine] = x.T
	}
	maps.DeleteFunc(j.knows, func(k pair, _ bool) bool { return k.engine == x.Engine })
}

// arrive is rule 1 for what is sent after the final answer, rule 3, and rule 4.
func (j *Checker) arrive(x record.Record) {
	if x.Op != "" {
		o := j.op(x.Op)
		o.last = max(o.last, x.T)
		j.timeTold(x, o.try(x.Try).ask)
		for _, end := range o.try(x.Try).ends {
			if x.T > end.T+j.cfg.Skew {
				j.breach(1, x.T, "%s try %d was sent to %s %.3f s after its final answer", x.Op, x.Try, x.Engine, x.T-end.T)
				break
			}
		}
	}
	if t, ok := j.told[pair{x.Node, x.Engine}]; ok && t.State != "ready" && x.T > t.T+j.cfg.DrainGrace+j.cfg.ListLag+j.cfg.Skew {
		j.breach(3, x.T, "%s was sent %s by %s %.3f s after it was told that it is %s", x.Engine, x.Op, x.Node, x.T-t.T, t.State)
	}
	j.cold(x)
}

// timeTold judges the time that an engine was told by what its client has left.
func (j *Checker) timeTold(x, ask record.Record) {
	left := ask.T + ask.Tokens - x.T
	if j.cfg.StatedTimeSlack > 0 && ask.T > 0 && x.StatedTime > max(0, left)+j.cfg.StatedTimeSlack+j.cfg.Skew {
		j.breach(1, x.T, "%s try %d: %s was told %.3f s, its client has %.3f s left", x.Op, x.Try, x.Engine, x.StatedTime, left)
	}
}

func (j *Checker) weight(key string) *mean {
	w := j.weights[key]
	if w == nil {
		w = &mean{}
		j.weights[key] = w
	}
	return w
}

// cold is rule 4: in every window of the stated length the work sent must stay under the multiple of what the
// engine can do at that time, with room for two requests by chance. A send weighs as the mean of its class so far.
func (j *Checker) cold(x record.Record) {
	stage := stageOf(x)
	w := j.weight(x.Class + stage)
	w.sum, w.n = w.sum+x.Work, w.n+1
	at, ok := j.boots[x.Engine]
	e := j.cfg.Engines[x.Engine]
	if !ok || x.T > at+e.SlowStartSeconds {
		return
	}
	weight := w.sum / w.n
	sent := append(j.sent[x.Engine], push{x.T, weight, j.knows[pair{x.Node, x.Engine}]})
	sent = slices.DeleteFunc(sent, func(p push) bool { return p.t <= x.T-j.cfg.SlowStartWindow })
	j.sent[x.Engine] = sent
	sum, told := 0.0, 0.0
	for _, p := range sent {
		sum += p.weight
		if p.told {
			told += p.weight
		}
	}
	rate := e.DecodeTokensPerSecond
	if stage == "prefill" {
		rate = e.PrefillTokensPerSecond
	}
	age := min(1, max(0, x.T-at)/max(1e-9, e.SlowStartSeconds))
	can := rate * min(1, e.SlowStartShare+(1-e.SlowStartShare)*age) * j.cfg.SlowStartWindow
	limit := j.cfg.OverloadMultiple*can + 2*weight
	if share := sum / limit; share > j.most.Share {
		j.most = SlowStartUse{share, x.Engine, x.T}
	}
	if sum > limit && told*3 >= sum*2 {
		j.breach(4, x.T, "%s, %.1f s after its start, was sent %.0f tokens in %.1f s, %.1f times what it can do",
			x.Engine, x.T-at, sum, j.cfg.SlowStartWindow, sum/can)
	}
}

func stageOf(x record.Record) string {
	if len(x.Note) >= 7 && x.Note[:7] == "prefill" {
		return "prefill"
	}
	return "decode"
}

// state is rule 5.
func (j *Checker) state(x record.Record) {
	h := j.holds[x.State]
	switch {
	case x.Kind == record.StateReserved:
		j.holds[x.State] = &hold{Record: x, since: x.T}
	case h == nil || x.State == "":
	case x.Kind == record.StateEnded && x.Engine == h.Engine:
		j.waited(h, x.T)
		delete(j.holds, x.State)
	case x.Kind == record.Arrive && stageOf(x) == "decode":
		j.waited(h, x.T)
		h.out++
	case (x.Kind == record.AttemptEnded || x.Kind == record.AttemptRejected) && stageOf(x) == "decode" && h.out > 0:
		h.out--
		h.since = x.T
	}
}

// waited judges how long a state has waited with no attempt out.
func (j *Checker) waited(h *hold, t float64) {
	if h.out == 0 && !h.told && t-h.since > j.cfg.StateReleaseLimit+j.cfg.Skew && !j.killed(h.Node, h.T, t) {
		h.told = true
		j.breach(5, t, "the state of %s try %d waited at %s for %.3f s with no attempt out", h.Op, h.Try, h.Engine, t-h.since)
	}
}
