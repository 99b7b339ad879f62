package brain

import "math/rand/v2"

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
	over, low, done        bool // beyond its tenant's share; in the low tier; answered or given up
	stage                  stage
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
	tested                 int64   // decision pass in which it was last tested
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
	role              Role
	mem               float64
	reads, jobs       []*request // our reads out; our requests admitted or streaming
	spt, lag          gauge      // s a token read; s from send to first token
	pace              curve
	kept              map[string]bool // shared beginnings that we saw read here
	report            Report
	reportAt          float64
	err, backoff      float64
	ejectedTill       float64
	fullTill          float64
	lastGood          float64
	pushes            []push
	probing, everSeen bool
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
	sentRate        [3]float64 // decayed weight of our sends by role, and arrivals
	arrivals        float64
	rateAt          float64
	pass            int64
	timerAt         float64
	timers          int64
	probeAt         float64
	probeNext       int
	watchAt, sweep  float64
	watching, begun bool
}
