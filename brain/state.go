package brain

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds the types of a router's state. Nothing is decided here; brain.go decides.

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
	mayRun                 bool    // an earlier attempt may have run
	mayRunAt               float64 // when the first such was sent
	mayRunOn               *engine // and where
	reader, writer         *engine // of the attempt out or of the state; admitted to
	hasHold                bool    // a state or place may be held for it
	holdSince              float64 // time of the last outcome or reservation
	sentAt, expect         float64 // of the attempt out, and how long we think it takes
	tokens, load           float64 // uncached tokens to read; the same with those ahead of it
	kept                   float64 // tokens that we think the reader has kept
	flowAt                 float64
	flowL                  int
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
	role         Role
	mem          float64
	reads, jobs  []*request // our reads out; our requests admitted or streaming
	spt, lag     gauge      // s a token read; s from send to first token
	pace         curve
	kept         map[string]bool // shared beginnings that we saw read here
	report       Report
	reportAt     float64
	err, backoff float64
	ejectedTill  float64
	fullTill     float64
	lastGood     float64
	pushes       []push
	probing      bool
}

// kindStats pools what engines of one kind have shown.
type kindStats struct {
	spt, lag gauge
	pace     curve
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
	perTok   gauge
	out      float64
	badUntil float64
}

type bucket struct{ level, at float64 }

// Router decides for one node. It is not safe for concurrent use.
type Router struct {
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
	sends           [3]rate // weight of our sends by role
	arrivals        rate
	timerAt         float64
	timers          int64
	probeAt         float64
	probeNext       int
	watchAt, sweep  float64
	watching, begun bool
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

// rank hashes a key and an engine for rendezvous; similar ids do not rank alike.
func rank(key, id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte(key))
	s := h.Sum64()
	s = (s ^ s>>31) * 0x9e3779b97f4a7c15
	return s ^ s>>29
}

// sample adds the pace seen at concurrency l with a weight; older samples keep the share given.
func (k *curve) sample(l int, pace, weight, keep float64) {
	x := [3]float64{1, float64(l - 1), float64(l) * float64(l-1)}
	for i := range x {
		for j := range x {
			k.a[i][j] = keep*k.a[i][j] + weight*x[i]*x[j]
		}
		k.b[i] = keep*k.b[i] + weight*x[i]*pace
	}
}

// solve finds non-negative c with a·c = b in the least-squares sense, each term pulled to its
// prior with a weight, by projected coordinate descent.
func solve(a [3][3]float64, b, prior, pull [3]float64) [3]float64 {
	c := prior
	for sweep := 0; sweep < 40; sweep++ {
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

// link returns the way out of an engine's cell to another's zone.
func (r *Router) link(from, to *engine) *link {
	k := linkKey{from.Cell, to.Zone}
	l := r.links[k]
	if l == nil {
		l = &link{}
		r.links[k] = l
	}
	return l
}

// New returns a router, or an error that names the field of an impossible Config.
func New(cfg Config, seed uint64) (*Router, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		engines: map[string]*engine{}, byID: map[string]*request{}, sessions: map[string]session{},
		links: map[linkKey]*link{}, kinds: make([]kindStats, len(cfg.Kinds)),
		classes: make([]classStats, len(cfg.Classes)), buckets: make([]bucket, len(cfg.Tenants))}
	return r, nil
}

// unread tells of a request that a writer has to read itself.
func unread(q *request) bool { return q.stage == writing && !q.hasHold }
