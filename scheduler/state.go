package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds the types of a router's state. Nothing is decided here; scheduler.go decides.

// stage is where a request stands.
type stage int

const (
	held    stage = iota // unread, no attempt out
	reading              // an attempt is out at a reader
	parsed               // its state waits at a reader, no attempt is out
	writing              // an attempt is out at a writer, no token yet
	flowing              // the answer streams
)

// request is an open request, or an ended one of which an attempt is still out. sent, out and
// mayRun are the ledger of its attempts' possible effect.
type request struct {
	Request
	class                  *Class
	arrived, aim, deadline float64
	due                    float64 // when the final answer must be given
	over, low, done        bool    // beyond its tenant's share; in the low tier; answered or given up
	stage                  stage
	calledOff              bool    // we called off the attempt out
	sent, out              int     // attempts made; the number of the one out, or -1
	unsent                 int     // of those made, which do not count
	mayRun                 bool    // an earlier attempt may have run
	mayRunAt               float64 // when the first such was sent
	mayRunOn               *engine // and where
	failed                 *engine // at which its last attempt failed
	reader, writer         *engine // of the attempt out or of the state; admitted to
	hasHold                bool    // a state or place may be held for it
	holdSince              float64 // time of the last outcome or reservation
	sentAt, expect         float64 // of the attempt out, and how long we think it takes
	tokens, load           float64 // uncached tokens to read; the same with those ahead of it
	kept                   float64 // tokens that we think the reader has kept
	passed                 int     // attempts sent later that its engine has answered before this one
	flowAt                 float64
	flowL                  float64 // streams there when ours began
	far                    float64 // tokens of this request on a cell's link
}

// gauge is a running mean that returns to its prior while nothing is learned, so that an engine
// or a link once slow is tried again.
type gauge struct {
	v, at float64
	n     int
}

// curve fits seconds a token at concurrency L as c0·(1 + σ(L−1) + κL(L−1)), the Universal
// Scalability Law in its linear form, by least squares with forgetting; σ and κ start at zero.
type curve struct {
	a [3][3]float64
	b [3]float64
	c [3]float64 // the latest fit
}

// push is a send to a cold engine.
type push struct{ at, weight float64 }

// engine is what we know of one engine.
type engine struct {
	Engine
	role           Role
	since          float64 // when this start of it was heard of
	mem            float64
	reads, jobs    []*request // our reads out; our requests admitted or streaming
	wait, lag, hit gauge      // s that a read waits; s from send to first token; part of a beginning found kept
	home           float64    // weight as a home of shared beginnings
	order          float64    // its rank when readers were last put in order
	pace           curve
	report         LoadReport
	reportAt       float64
	hasReport      bool
	err, backoff   float64
	ejectedTill    float64
	fullTill       float64
	lastGood       float64
	pushes         []push
	probing        bool
}

// kindStats pools what engines of one kind have shown.
type kindStats struct {
	lag       gauge
	read      line  // of reads: time against our load
	wait, hit gauge // of reads: s waited; part of a shared beginning found kept
	load, mem gauge // reported: streams, and share of memory held
	pace      curve
}

// classStats is what we infer of a class's work.
type classStats struct {
	prompt gauge
	times  []float64 // of the latest streams, scaled to speed 1
	share  float64   // mean part of the most allowed that answers have
}

type session struct {
	prompt, at float64
	reader     *engine
}

type linkKey struct{ cell, zone int }

// link is the way out of a cell to a zone; out is what we have on it.
type link struct {
	perTok gauge
	out    float64
}

type bucket struct{ level, at float64 }

// Scheduler decides for one node. It is not safe for concurrent use.
type Scheduler struct {
	cfg             Config
	rng             *rand.Rand
	now, started    float64
	acts            []Action
	engines         map[string]*engine
	list            []*engine // in order of id
	byID            map[string]*request
	open            []*request // in order of arrival
	kinds           []kindStats
	classes         []classStats
	sessions        map[string]session
	links           map[linkKey]*link
	buckets         []bucket
	borne           [3]rate    // weight of reads ended and streams begun for us, by role
	most            [3]int     // engines of each role that were ready at once
	spread          [3]gauge   // by role: s by which attempts' times missed our predictions
	good            [3]float64 // by role: when an engine last answered
	arrivals, asked rate
	meanPrompt      gauge // tokens of the requests that came
	meanAnswer      gauge // and of their answers, as guessed
	prefixes        map[string]rate
	timerAt         float64
	timers          int64
	probeAt         float64
	probeNext       int
	watchAt, sweep  float64
	watching, begun bool
	out             int     // attempts of which neither the first token nor the end has come
	heardAt         float64 // when one of those came last
	best            float64 // the least time to a first token that was predicted last
	leastLag        float64 // of the listed writers, in this pass
}

func (g *gauge) add(now, x, gain float64) {
	if g.n == 0 {
		gain = 1
	}
	g.v, g.at, g.n = g.v+gain*(x-g.v), now, g.n+1
}

// get returns the mean, drawn to the prior with the time constant given; 0 = never.
func (g *gauge) get(now, prior, forget float64) float64 {
	if g.n == 0 {
		return prior
	}
	if forget <= 0 {
		return g.v
	}
	return prior + (g.v-prior)*math.Exp(-(now-g.at)/forget)
}

// line fits y = a + bx by least squares with forgetting.
type line struct{ n, x, y, xx, xy float64 }

func (f *line) add(x, y, keep float64) {
	f.n, f.x, f.y = keep*f.n+1, keep*f.x+x, keep*f.y+y
	f.xx, f.xy = keep*f.xx+x*x, keep*f.xy+x*y
}

// slope returns b, drawn to a prior that is worth so much of x's squared deviation.
func (f *line) slope(prior, worth float64) float64 {
	n := max(1, f.n)
	return (f.xy - f.x*f.y/n + worth*prior) / (f.xx - f.x*f.x/n + worth)
}

// rate is a decaying sum, divided by its time constant.
type rate struct{ sum, at float64 }

func (x *rate) add(now, weight, span float64) {
	x.sum, x.at = x.sum*math.Exp(-(now-x.at)/span)+weight, now
}

func (x *rate) get(now, span float64) float64 { return x.sum * math.Exp(-(now-x.at)/span) / span }

// without returns xs less q, in a new slice.
func without(xs []*request, q *request) []*request {
	for i, x := range xs {
		if x == q {
			return append(xs[:i:i], xs[i+1:]...)
		}
	}
	return xs
}

// rank hashes a key and an engine to a number between 0 and 1; similar ids do not rank alike.
func rank(key, id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte(key))
	s := h.Sum64()
	s = (s ^ s>>31) * 0x9e3779b97f4a7c15
	return (float64((s^s>>29)>>11) + 0.5) / (1 << 53)
}

// sample adds the pace seen at concurrency l with a weight; older samples keep the share given.
func (k *curve) sample(l, pace, weight, keep float64) {
	x := [3]float64{1, l - 1, l * (l - 1)}
	for i := range x {
		for j := range x {
			k.a[i][j] = keep*k.a[i][j] + weight*x[i]*x[j]
		}
		k.b[i] = keep*k.b[i] + weight*x[i]*pace
	}
}

// solve finds non-negative c with a·c = b in the least-squares sense, each term pulled to its
// prior with a weight, by projected coordinate descent.
func solve(a [3][3]float64, b, prior, pull [3]float64, sweeps int) [3]float64 {
	c := prior
	for range sweeps {
		for i := range c {
			s := b[i]
			for j := range c {
				if j != i {
					s -= a[i][j] * c[j]
				}
			}
			c[i] = max(0, (s+pull[i]*prior[i])/(a[i][i]+pull[i]))
		}
	}
	return c
}

// take draws one from a bucket that fills at a rate up to a size; false = it is empty.
func (b *bucket) take(now, rate, size float64) bool {
	if b.at == 0 {
		b.level = size
	} else {
		b.level = min(size, b.level+rate*(now-b.at))
	}
	b.at = now
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// since drops the pushes up to a time and returns the rest and their weight.
func since(ps []push, t float64) (rest []push, weight float64) {
	for _, p := range ps {
		if p.at > t {
			rest, weight = append(rest, p), weight+p.weight
		}
	}
	return rest, weight
}

// meanOver returns the mean of xs over their value at a quantile.
func meanOver(xs []float64, quantile float64) float64 {
	ys := slices.Sorted(slices.Values(xs))
	sum := 0.0
	for _, y := range ys {
		sum += y
	}
	return sum / float64(len(ys)) / ys[int(quantile*float64(len(ys)-1))]
}

// New returns a router, or an error that names the field of an impossible Config.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		prefixes: map[string]rate{}, engines: map[string]*engine{}, byID: map[string]*request{}, sessions: map[string]session{},
		links: map[linkKey]*link{}, kinds: make([]kindStats, len(cfg.Kinds)),
		classes: make([]classStats, len(cfg.Classes)), buckets: make([]bucket, len(cfg.Tenants))}
	return r, nil
}

// reportedLoad returns the streams that a report tells of; full is how many a share of one stands for.
func reportedLoad(rep *LoadReport, full float64) float64 {
	if rep.Has&HasActive != 0 {
		return max(0, rep.Active-rep.Waiting)
	}
	return rep.Utilization * full
}

// rendezvous orders engines by weighted rendezvous hashing of a key.
func rendezvous(xs []*engine, key string) {
	for _, e := range xs {
		e.order = -e.home / math.Log(rank(key, e.ID))
	}
	slices.SortFunc(xs, func(a, b *engine) int { return cmp.Compare(b.order, a.order) })
}

// speed is f(L), the law fitted: the speed at concurrency L against that at 1.
func (k *curve) speed(x float64) float64 {
	return k.c[0] / (k.c[0] + k.c[1]*(x-1) + k.c[2]*x*(x-1))
}

// sides counts readers, and writers of either kind.
type sides struct{ readers, writers float64 }

// census counts the engines that are ready, by cell, in all and by role.
func census(list []*engine) (cells map[int]sides, all sides, roles [3]int) {
	cells = map[int]sides{}
	for _, e := range list {
		if e.State != EngineReady {
			continue
		}
		c := cells[e.Cell]
		if e.role == Prefill {
			c.readers++
			all.readers++
		} else {
			c.writers++
			all.writers++
		}
		cells[e.Cell] = c
		roles[e.role]++
	}
	return cells, all, roles
}

// apply hands an event to what files it.
func (r *Scheduler) apply(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		r.members(ev)
	case Request:
		r.arrive(ev)
	case FirstToken:
		r.first(ev)
	case Outcome:
		r.uncount(ev)
		r.outcome(ev)
	case ClientDisconnected:
		if q := r.byID[ev.ID]; q != nil && !q.done {
			r.finish(q, nil)
		}
	case ProbeResult:
		r.probed(ev)
	case TimerFired:
		if ev.Token == r.timers {
			r.timerAt = 0
		}
	}
}

func (r *Scheduler) do(a Action) { r.acts = append(r.acts, a) }

// setTimer asks for a wake at a time, unless an earlier one is due.
func (r *Scheduler) setTimer(at float64) {
	if !math.IsInf(at, 1) && (r.timerAt <= r.now || r.timerAt > at) {
		r.timers++
		r.timerAt = at
		r.do(SetTimer{at, r.timers})
	}
}

// prune marks the engines that a complete list lacks as removed, and drops the removed ones at which nothing of
// ours is out.
func (r *Scheduler) prune(complete bool, listed map[string]bool) {
	keep := r.list[:0]
	for _, e := range r.list {
		if complete && !listed[e.ID] {
			e.State = EngineRemoved
		}
		if e.State == EngineRemoved && len(e.reads)+len(e.jobs) == 0 {
			delete(r.engines, e.ID)
		} else {
			keep = append(keep, e)
		}
	}
	r.list = keep
	slices.SortFunc(r.list, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
}

// sinceReport counts our streams and their tokens at a writer, all and those that its last report has not
// seen.
func (r *Scheduler) sinceReport(e *engine) (streams, tokens, newStreams, newTokens float64) {
	for _, x := range e.jobs {
		t := x.PromptTokens + r.answerTokens(x)
		streams, tokens = streams+1, tokens+t
		if x.stage != flowing || x.flowAt > e.reportAt-reportLag {
			newStreams, newTokens = newStreams+1, newTokens+t
		}
	}
	return
}

// ahead is what we have given an engine to read already.
func ahead(e *engine) (load float64) {
	for _, x := range e.reads {
		load += x.tokens + overhead
	}
	for _, x := range e.jobs {
		if unread(x) {
			load += x.tokens + overhead
		}
	}
	return load
}

// heldFrom is since when a state counts as held, after an attempt to take it has ended: from then on, unless the time runs on while
// connections fail to come up.
func (q *request) heldFrom(now float64, s Status, runsOn bool) float64 {
	if q.hasHold && runsOn && (s == ConnectFailed || s == NotSent) {
		return q.holdSince
	}
	return now
}

// overtake counts those of xs, at the same stage, that were sent before q and are still unanswered when q is.
func (q *request) overtake(xs []*request, s stage) {
	for _, x := range xs {
		if x != q && x.stage == s && x.hasHold == q.hasHold && x.sentAt < q.sentAt {
			x.passed++
		}
	}
}

// unread tells of a request that a writer has to read itself.
func unread(q *request) bool { return q.stage == writing && !q.hasHold }

// at is the engine of a request's attempt out.
func (q *request) at() *engine {
	if q.stage == reading {
		return q.reader
	}
	return q.writer
}

// admitTo moves a request to a writer's books; nil takes it off.
func (r *Scheduler) admitTo(q *request, w *engine) {
	if q.writer != nil {
		q.writer.jobs = without(q.writer.jobs, q)
	}
	if q.writer = w; w != nil {
		w.jobs = append(w.jobs, q)
	}
}

// cold tells whether an engine may still be warming up; warm counts those of a role that are not.
func (r *Scheduler) cold(e *engine) bool {
	return e.BootTime > 0 && r.now < e.BootTime+r.cfg.Rules.SlowStartDuration
}

func (r *Scheduler) warm(role Role) (n int) {
	for _, e := range r.list {
		if e.role == role && e.State == EngineReady && !r.cold(e) {
			n++
		}
	}
	return n
}

// link returns what we know of a way. Moves out of one cell to one zone share a fate.
func (r *Scheduler) link(from, to *engine) *link {
	k := linkKey{from.Cell, to.Zone}
	if r.links[k] == nil {
		r.links[k] = &link{}
	}
	return r.links[k]
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// toward draws the mean to a value by the trust in it.
func (g *gauge) toward(v, trust float64) float64 { return g.v + (v-g.v)*trust }

// fit solves for the law's terms, pulled to the prior where samples are few; σ and κ stay in [0, 1].
func (k *curve) fit(prior [3]float64) {
	var pull [3]float64
	for i := range pull {
		pull[i] = ridge * (1 + k.a[i][i]/(1+k.a[0][0]))
	}
	c := solve(k.a, k.b, prior, pull, sweeps)
	c[0] = max(c[0], 1e-4)
	c[1], c[2] = min(c[1], c[0]), min(c[2], c[0])
	k.c = c
}

// heard notes that an attempt has begun to stream or, before that, has ended.
func (r *Scheduler) heard(was stage) {
	if was != flowing {
		r.out, r.heardAt = r.out-1, r.now
	}
}

// reported files an engine's load report, and pools it: a router that hears of each engine only now and then
// still knows what its kind bears.
func (r *Scheduler) reported(e *engine, rep *LoadReport) {
	if e == nil || rep == nil {
		return
	}
	e.report, e.reportAt, e.hasReport = *rep, r.now, true
	r.kinds[e.Kind].load.add(r.now, reportedLoad(rep, perUtil), poolGain)
	r.kinds[e.Kind].mem.add(r.now, rep.MemoryShare, poolGain)
}

// learnHit takes the part of a beginning that was found kept: those not found are expected to be read anew.
func (r *Scheduler) learnHit(q *request, e *engine, kept float64) {
	if q.PrefixTokens > 0 {
		e.hit.add(r.now, min(1, kept/q.PrefixTokens), waitGain)
		r.kinds[e.Kind].hit.add(r.now, min(1, kept/q.PrefixTokens), poolGain)
	}
}
