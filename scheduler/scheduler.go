// The decision module. Its interface (Config, Event and Action types) is api.go.
//
// The ordinary path is SABER's admission rule (paper, Section IV, Algorithm 1): a held request
// is admitted to a writer only if the online curve f of speed against concurrency says that it
// and every stream there keep their token pace, and if its first token can come in time.

package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Defaults of the design, ours.
const (
	window      = 4    // requests at the head of the high tier from which one is drawn
	readSlack   = 1.8  // times its prediction that the first-token test allows a read; queues grow unseen
	aimMost     = 0.9  // share of its aim that an idle engine may take
	recheck     = 0.02 // s between looks at held requests when nothing else happens
	paceSlack   = 0.8  // share of the token pace aim that a prediction may use
	slowSpeed   = 0.5  // speed down to which a writer is loaded that misses the pace even alone,
	tooSlow     = 1e-3 // and what its room counts: others come first
	memLimit    = 0.92 // share of a writer's memory that admissions may fill
	homeFactor  = 2    // a reader that takes this many times as long as the next passes to it,
	homeSlack   = 0.1  // s beside, and
	homeChoices = 4    // readers in rendezvous order are asked
	waitForget  = 15.0 // s after which a reader is mostly taken to wait as its kind does
	shareWindow = 30.0 // s over which the parts of the shared beginnings in our arrivals are averaged
	sharePrior  = 5    // requests of other beginnings that are added to them
	homeMost    = 1.2  // most of its even part of the beginnings that a reader beside many writers takes
	mixedHome   = 0.5  // part of a reader's beginnings for which a mixed engine is home, as it writes too
	lagLeast    = 0.1  // s of time left at least that a writer's lag is held against
	mixedLast   = 5    // room that a writer must lack before a mixed engine takes what a reader has read
	homeLeast   = 0.5  // least part of the beginnings that a reader with few writers in its cell takes
	linePrior   = 1e7  // squared tokens that the line's prior is worth
	sptFloor    = 1e-5 // s a token, below which no slope is believed
	waitGain    = 0.3  // weight of the newest wait at a reader
	poolGain    = 0.05 // weight of one outcome or report in its kind's mean
	overhead    = 400  // tokens that a read's fixed costs are worth, for predictions
	firstSpt    = 5e-5 // s a token to read, until the first read ends
	firstLag    = 0.1  // s from a writer's send to its first token, until one is seen
	firstFar    = 2e-5 // s a token over a cell's link, until one is seen
	lengths     = 128  // stream times kept for each class
	firstShare  = 0.3  // of the most allowed that an answer is taken to have, until streams ended
	firstPace   = 0.02 // s a token of a lone stream, until streams have ended
	ridge       = 4    // samples that a curve's prior is worth
	sampleOf    = 100  // tokens of answer that weigh as one sample
	memoryOf    = 0.98 // what a fit keeps of older samples at each new one
	sweeps      = 40   // rounds of the fit, by when it has settled
	patience    = 3    // times its prediction after which an attempt is overdue, beside
	grace       = 0.3  // s, and
	lostAfter   = 2    // later attempts that an engine has answered before one that it must have lost
	spreadOver  = 4    // times the mean error of such predictions (as RFC 6298 does for retransmission)
	forget      = 5.0  // s after which a gauge has mostly returned to its prior
	errGain     = 0.3  // weight of the newest outcome in an engine's failure score
	errEject    = 0.5  // failure score at which an engine is ejected
	errTrial    = 0.25 // and above which it gets one request at a time
	maxEject    = 4.0  // s, the longest ejection before the next trial
	fullFor     = 0.3  // s that a writer which turned a request away counts as full
	roomyUtil   = 0.9  // share of its slots in use below which an engine has room
	holdShare   = 0.5  // share of let_go_by for which a read state may wait for a writer
	coldSafety  = 0.8  // share of the cold budget that we use; load, not capacity, is what we measure
	coldChance  = 2    // roots of that budget that the rule leaves to chance beside it: turns need few
	coldGuess   = 0.5  // part that is believed of the capacity guessed for a kind
	rateWindow  = 10.0 // s over which send and arrival rates are averaged
	reportLag   = 0.2  // s by which a load report is taken to be late
	reportFresh = 5.0  // s after which a report says little more of its engine than its kind's mean does
	perUtil     = 100  // streams that a full writer is taken to hold where only shares are reported
	backLeast   = 0.1  // s after which a refused client may ask again at the earliest, but for the spread
	tieSpread   = 0.2  // room by which writers known from old reports alone are drawn apart
	probeBudget = 5e-3 // points of the result that routine probes may cost
	farKnown    = 10   // room that a writer in another cell must have more where its report is fresh,
	farPower    = 4    // which fades with this power of freshness: in about a second,
	farPrice    = 10   // and room for each point that moving all tokens would cost
	farReserve  = 0.1  // share of the time left that a move must take for a place to be reserved
	shareSlack  = 2.0  // s of its share that a tenant may save up,
	shareLeast  = 4    // and whole requests at least
	idleSession = 60.0 // s after which a session is forgotten
)

// Step takes what has happened up to now, in order, and returns what is to be done.
func (r *Scheduler) Step(now float64, events []Event) []Action {
	if !r.begun {
		r.begun, r.started = true, now
		for i := range r.kinds {
			r.kinds[i].pace.c[0] = firstPace
		}
	}
	r.now, r.acts = max(now, r.now), nil
	for _, ev := range events {
		r.apply(ev)
	}
	r.decide()
	r.arm()
	return r.acts
}

// members applies a list of engines. A new start of an engine voids what we knew of it.
func (r *Scheduler) members(ev EndpointUpdate) {
	if r.watching = ev.Form != UpdateFailed; !r.watching {
		return
	}
	seen := map[string]bool{}
	for _, n := range ev.Engines {
		if n.Kind < 0 || n.Kind >= len(r.cfg.Kinds) {
			continue
		}
		seen[n.ID] = true
		e := r.engines[n.ID]
		if e == nil {
			e = &engine{since: r.now}
			r.engines[n.ID] = e
			r.list = append(r.list, e)
		} else if n.State == EngineReady && n.BootTime > e.BootTime { // came back empty and cold
			old, none := *e, gauge{n: 1, at: r.now}
			*e = engine{since: r.now, reads: old.reads, jobs: old.jobs, pushes: old.pushes, hit: none}
		}
		e.Engine, e.role, e.mem = n, r.cfg.Kinds[n.Kind].Role, r.cfg.Kinds[n.Kind].Memory
	}
	r.prune(ev.Form != UpdateIncremental, seen)
	r.weighHomes()
}

// weighHomes gives readers with few writers in their cell fewer shared beginnings (the root of the ratio), so
// that states seldom leave their cell. Routers with the same list agree on it.
func (r *Scheduler) weighHomes() {
	cells, all, ready := census(r.list)
	for role, n := range ready {
		r.most[role] = max(r.most[role], n)
	}
	for _, e := range r.list {
		if e.role == Mixed {
			e.home = mixedHome
			continue
		}
		ratio := cells[e.Cell].writers / max(1, cells[e.Cell].readers) * all.readers / max(1, all.writers)
		e.home = max(homeLeast, min(homeMost, math.Sqrt(ratio)))
	}
}

// arrive takes a request into the high tier.
func (r *Scheduler) arrive(ev Request) {
	if r.byID[ev.ID] != nil || ev.Class < 0 || ev.Class >= len(r.cfg.Classes) {
		return
	}
	c := &r.cfg.Classes[ev.Class]
	q := &request{Request: ev, class: c, arrived: r.now, out: -1, deadline: r.now + ev.ClientTimeLeft}
	q.aim = r.now + c.FirstTokenObjective + c.ObjectivePer1KTokens*ev.PromptTokens/1000 +
		c.ObjectivePerHintSecond*ev.DurationHint
	if ev.Tenant >= 0 && ev.Tenant < len(r.buckets) && r.cfg.Tenants[ev.Tenant].Quota > 0 {
		rate := r.cfg.Tenants[ev.Tenant].Quota / float64(r.cfg.NodeCount) // our part of its share
		q.over = !r.buckets[ev.Tenant].take(r.now, rate, max(shareLeast, shareSlack*rate))
	}
	r.byID[ev.ID] = q
	r.open = append(r.open, q)
	r.arrivals.add(r.now, 1, rateWindow)
	r.asked.add(r.now, 1, shareWindow)
	x := r.prefixes[ev.Prefix]
	x.add(r.now, 1, shareWindow)
	r.prefixes[ev.Prefix] = x
	r.classes[ev.Class].prompt.add(r.now, ev.PromptTokens, 0.05)
	r.meanPrompt.add(r.now, ev.PromptTokens, 0.05)
	r.meanAnswer.add(r.now, r.answerTokens(q), 0.05)
}

// answerTokens guesses an answer's length: the hint, else the class's mean part of the most allowed (see
// learnStream). Where no stream runs into that most, the guess is too long: admission errs to the open side.
func (r *Scheduler) answerTokens(q *request) float64 {
	tokens := q.DurationHint / max(q.class.OutputTokenObjective, 1e-3)
	if q.DurationHint <= 0 {
		tokens = q.MaxOutputTokens * cmp.Or(r.classes[q.Class].share, firstShare)
	}
	return max(4, min(tokens, q.MaxOutputTokens))
}

func (r *Scheduler) first(ev FirstToken) {
	q := r.byID[ev.ID]
	if q == nil || q.out != ev.Attempt || q.stage != writing {
		return
	}
	e := q.writer
	r.heard(q.stage)
	r.borne[e.role].add(r.now, r.weight(q, e.role), rateWindow)
	q.overtake(e.jobs, writing)
	own := !q.hasHold // it read the prompt itself
	q.stage, q.flowAt, q.flowL, q.hasHold = flowing, r.now, r.streams(e), false
	if own {
		r.learnRead(q, e, q.load, ev.Spent)
	} else if q.far > 0 {
		l := r.link(q.reader, e)
		l.perTok.add(r.now, max(0, ev.Spent-r.lag(e))/q.far, 0.3)
		l.out, q.far = l.out-q.far, 0
	} else {
		e.lag.add(r.now, ev.Spent, 0.25)
		r.kinds[e.Kind].lag.add(r.now, ev.Spent, 0.05)
	}
	r.spread[e.role].add(r.now, math.Abs(ev.Spent-q.expect), poolGain)
	r.judge(e, 0)
}

// outcome ends an attempt and files what it tells.
func (r *Scheduler) outcome(ev Outcome) {
	r.reported(r.engines[ev.Engine], ev.Report)
	q := r.byID[ev.ID]
	if q == nil || q.out != ev.Attempt {
		return
	}
	was, e := q.stage, q.at()
	r.heard(was)
	if was == writing && !q.hasHold && ev.Status != Completed {
		r.do(Release{q.ID}) // what a mixed engine has read by itself stays held as well
	}
	lost := q.passed >= lostAfter
	if (was == reading || was == writing) && (ev.Status == Prefilled || r.good[e.role] < q.sentAt) {
		r.spread[e.role].add(r.now, math.Abs(ev.Spent-q.expect), poolGain)
	}
	if ev.Status == Prefilled {
		q.overtake(e.reads, reading)
	}
	q.out, q.stage, e.reads = -1, held, without(e.reads, q)
	q.holdSince = q.heldFrom(r.now, ev.Status, r.cfg.Limits.StateTimeRunsDuringConnects)
	if q.far > 0 {
		r.link(q.reader, e).out, q.far = r.link(q.reader, e).out-q.far, 0
	}
	switch ev.Status {
	case Prefilled:
		q.hasHold, q.stage = true, parsed
		r.borne[Prefill].add(r.now, r.weight(q, Prefill), rateWindow)
		r.learnRead(q, e, max(1, q.load+q.kept-float64(ev.Info)), ev.Spent)
		r.learnHit(q, e, float64(ev.Info))
		r.judge(e, 0)
	case Completed:
		r.learnStream(q, e)
	case Rejected:
		switch {
		case ev.Info != 1:
			e.fullTill = r.now + fullFor
			if roomy(ev.Report) { // it turns away what it has room for: another is asked next
				q.failed = e
			}
			if was == writing && q.hasHold {
				q.stage = parsed
			}
		case was == writing && q.hasHold: // its reader lost it, the writer is not full: read anew
			r.judge(q.reader, 1)
		}
	case NotSent:
	default:
		q.failed = e
		slow := (ev.Status == TimedOut || ev.Status == Canceled) && e.lastGood >= q.sentAt && !lost
		if ev.Status == ConnectFailed && e.err < errEject {
			r.eject(e)
		} else if !slow { // an engine that answers others is not failing
			r.judge(e, 1)
		}
		if was == writing || was == flowing {
			if ev.Status != ConnectFailed && !q.mayRun && e.role != Prefill {
				q.mayRun, q.mayRunAt, q.mayRunOn = true, q.sentAt, e
			}
			if q.hasHold {
				q.stage = parsed
			}
		}
	}
	switch {
	case ev.Closed && !q.done:
		r.finish(q, nil)
	case q.done:
		r.letGo(q)
		delete(r.byID, q.ID)
	case q.stage != parsed:
		r.letGo(q)
	case was == writing:
		r.admitTo(q, nil)
	}
}

// roomy tells whether an engine reports that nothing waits there and slots are free.
func roomy(rep *LoadReport) bool {
	return rep != nil && rep.Has&HasWaiting != 0 && rep.Waiting < 1 && rep.Utilization < roomyUtil
}

// letGo releases whatever is held for a request of which no attempt is out (rule 5) and frees its place in
// our own count.
func (r *Scheduler) letGo(q *request) {
	if q.hasHold {
		r.do(Release{q.ID})
		q.hasHold = false
	}
	if q.stage == parsed {
		q.stage = held
	}
	r.admitTo(q, nil)
}

// finish gives the final answer (none where the client has it or has left), calls off what is out and lets
// go of the rest. The books on an attempt still out stay open until its outcome.
func (r *Scheduler) finish(q *request, answer Action) {
	if answer != nil {
		r.do(answer)
	}
	q.done = true
	r.open = without(r.open, q)
	if q.out < 0 {
		r.letGo(q)
		delete(r.byID, q.ID)
		return
	}
	if q.stage != flowing && r.cfg.Limits.Cancel {
		r.do(Cancel{q.ID, q.out})
	}
	if q.stage == reading && q.hasHold {
		r.do(Release{q.ID}) // a place reserved beside the read
	}
}

// maySend tells whether the ledger allows an attempt that could have an effect at e (rule 2).
func (r *Scheduler) maySend(q *request, e *engine) bool {
	if !q.mayRun || q.class.Effect == Idempotent {
		return true
	}
	if q.class.Effect == AtMostOnce || r.now > q.mayRunAt+q.class.DedupWindow-2*r.cfg.Tick {
		return false
	}
	g := q.class.DedupScope
	return g == DedupFleet || g == DedupZone && e.Zone == q.mayRunOn.Zone ||
		g == DedupCell && e.Cell == q.mayRunOn.Cell
}

// judge moves an engine's failure score. Two failures in a row eject it, whatever their cause: fast errors,
// a dead process, a cut link or silence. It comes back by single trials.
func (r *Scheduler) judge(e *engine, bad float64) {
	e.err += errGain * (bad - e.err)
	if bad == 0 {
		e.lastGood, r.good[e.role] = r.now, r.now
		if e.err < errTrial {
			e.backoff = 0
		}
	} else if e.err >= errEject && r.now >= e.ejectedTill {
		r.eject(e)
	}
}

func (r *Scheduler) eject(e *engine) {
	e.err = max(e.err, errEject)
	e.backoff = min(maxEject, max(0.5, 2*e.backoff))
	e.ejectedTill = r.now + e.backoff
	if e.backoff == 0.5 {
		r.do(Log{fmt.Sprintf("ejected %s, failure score %.2f", e.ID, e.err)})
	}
}

func (r *Scheduler) probed(ev ProbeResult) {
	e := r.engines[ev.Engine]
	if e == nil {
		return
	}
	e.probing = false
	r.reported(e, ev.Report)
	if ev.Report == nil && ev.Status != Completed && ev.Status != Rejected {
		r.judge(e, 1)
	}
}

// learnRead takes the time of a read of a load.
func (r *Scheduler) learnRead(q *request, e *engine, load, spent float64) {
	k := &r.kinds[e.Kind]
	k.read.add(load, spent, memoryOf)
	wait := spent - load*r.spt(e)
	e.wait.add(r.now, wait, waitGain)
	k.wait.add(r.now, wait, poolGain)
	if q.Session != "" {
		r.sessions[q.Session] = session{q.PromptTokens, r.now, e}
	}
}

func (r *Scheduler) learnStream(q *request, e *engine) {
	r.judge(e, 0)
	tokens := r.answerTokens(q)
	if q.flowAt == 0 || tokens <= 1 || r.now <= q.flowAt { // within one step: no time to learn from
		return
	}
	l, pace := max(1, (q.flowL+r.streams(e))/2), (r.now-q.flowAt)/tokens
	k, s := &r.kinds[e.Kind].pace, &r.classes[q.Class]
	s.times = append(s.times, (r.now-q.flowAt)*r.curve(e).speed(l))
	s.times = s.times[max(0, len(s.times)-lengths):]
	if len(s.times) >= lengths/8 {
		s.share = meanOver(s.times, 0.99)
	}
	weight := tokens / sampleOf // the fit is time over tokens in sum; means of rough ratios are too slow
	k.sample(l, pace, weight, memoryOf)
	k.fit(k.c)
	e.pace.sample(l, pace, weight, memoryOf)
	e.pace.fit(k.c)
}

// trusted tells whether an engine is fit for new work: not ejected, one trial at a time while its failure
// score is high, and not silent (a dead machine, a cut zone, a stuck process), before a time-out tells.
func (r *Scheduler) trusted(e *engine) bool {
	if r.now < e.ejectedTill {
		return false
	}
	waiting := 0
	for _, xs := range [2][]*request{e.reads, e.jobs} {
		for _, q := range xs {
			if q.stage == reading && q.reader == e || q.stage == writing {
				waiting++
				if r.stuck(q, e) && q.passed < lostAfter {
					return false
				}
			}
		}
	}
	return e.err < errTrial || waiting == 0
}

// stuck: an attempt is overdue, and its engine has done nothing else for us since, or has answered later ones
// before it: engines take what waits in order, so that one was lost, however loaded the engine is.
func (r *Scheduler) stuck(q *request, e *engine) bool {
	return r.now > r.overdue(q, e) && (e.lastGood < q.sentAt || q.passed >= lostAfter)
}

// overdue is when an attempt has taken longer than our predictions, as wrong as they have lately been, allow.
// Where all engines are late, none is.
func (r *Scheduler) overdue(q *request, e *engine) float64 {
	t := q.sentAt + patience*q.expect + grace
	if q.passed < lostAfter {
		t += spreadOver * r.spread[e.role].get(r.now, 0, 0)
	}
	return t
}

// rescue calls off a stuck attempt, so that the request goes elsewhere while there is time. Attempts at an
// engine that still answers others are left alone: under load a retry would only add to it.
func (r *Scheduler) rescue(q *request) {
	if q.out >= 0 && !q.calledOff && r.cfg.Limits.Cancel && r.left(q) >= 2 &&
		(q.stage == reading || q.class.Effect == Idempotent) && r.stuck(q, q.at()) {
		q.calledOff = true
		r.do(Cancel{q.ID, q.out})
	}
}

// pool returns the engines that may be sent something new and that fit: those listed ready (rule 3) and
// trusted; where none is trusted, the one that failed least.
func (r *Scheduler) pool(fit func(e *engine) bool) []*engine {
	var good []*engine
	var last *engine
	for _, e := range r.list {
		if e.State != EngineReady || !fit(e) {
			continue
		}
		if r.trusted(e) {
			good = append(good, e)
		} else if last == nil || e.err < last.err || e.err == last.err && e.ejectedTill < last.ejectedTill {
			last = e
		}
	}
	if len(good) == 0 && last != nil {
		good = []*engine{last}
	}
	return good
}

// left is how many attempts a request may still have.
func (r *Scheduler) left(q *request) int { return r.cfg.Limits.MaxAttempts - q.sent + q.unsent }

// uncount takes off an attempt that was never written, where such do not count: as many as may be made.
func (r *Scheduler) uncount(ev Outcome) {
	q := r.byID[ev.ID]
	if r.cfg.Limits.UnsentAttemptsAreFree && q != nil && q.out == ev.Attempt &&
		q.unsent < r.cfg.Limits.MaxAttempts &&
		(ev.Status == ConnectFailed || ev.Status == NotSent) {
		q.unsent++
	}
}

// others returns engines less the one that failed the request last, unless it is the only one. A request that
// has met refused connections waits for an ejected engine, if its time allows: engines die together.
func (r *Scheduler) others(q *request, xs []*engine) []*engine {
	if q.unsent > 0 {
		xs = slices.DeleteFunc(xs, func(e *engine) bool {
			return r.now < e.ejectedTill && e.ejectedTill < q.deadline-r.margin()
		})
	}
	if len(xs) < 2 || q.failed == nil {
		return xs
	}
	return slices.DeleteFunc(xs, func(e *engine) bool { return e == q.failed })
}

// spt is the time that one more token of ours takes at a reader: the slope of its kind's read times. With few
// routers it holds others' reads too, which come and go with ours; with many those are in the wait.
func (r *Scheduler) spt(e *engine) float64 {
	base := max(sptFloor, r.kinds[e.Kind].read.slope(firstSpt, linePrior))
	if e.wait.n == 0 && r.cold(e) {
		return base / max(0.1, r.cfg.Rules.SlowStartShare)
	}
	return base
}

// wait is how much longer a reader takes than its load of ours explains.
func (r *Scheduler) wait(e *engine) float64 {
	return e.wait.get(r.now, r.kinds[e.Kind].wait.get(r.now, 0, forget), waitForget)
}

func (r *Scheduler) lag(e *engine) float64 {
	return e.lag.get(r.now, r.kinds[e.Kind].lag.get(r.now, firstLag, 0), forget)
}

// curve is the writer's own fit, or its kind's until a stream of ours has ended there.
func (r *Scheduler) curve(e *engine) *curve {
	if e.pace.c[0] == 0 {
		return &r.kinds[e.Kind].pace
	}
	return &e.pace
}

// weight is the mean work of a request's class at an engine's role, the unit of the cold budget.
func (r *Scheduler) weight(q *request, role Role) float64 {
	if role == Prefill {
		return r.classes[q.Class].prompt.v + overhead
	}
	return r.answerTokens(q) + 0.1*r.classes[q.Class].prompt.v
}

// coldRoom tells whether one more send keeps a cold engine within our part of its budget (rule 4): by what
// warm ones of its role get done for us or, as those may be gone, by an even share of what its kind should
// bear. A fraction of a send is a turn: spread over routers' numbers, as many have one as parts add up to,
// none in the window in which it was heard of. After our own start we wait one: sends of ours may be in it.
func (r *Scheduler) coldRoom(q *request, e *engine) bool {
	if cold := r.cold(e); !cold || r.now < r.started+r.cfg.Rules.SlowStartWindow {
		return !cold
	}
	u, w, used := &r.cfg.Rules, r.weight(q, e.role), 0.0
	e.pushes, used = since(e.pushes, r.now-u.SlowStartWindow)
	for _, x := range e.jobs {
		if x != q && (x.stage == reading || x.stage == parsed) { // admitted, still to be sent
			used += r.weight(x, e.role)
		}
	}
	engines := max(1, r.warm(e.role), r.most[e.role]/2) // where most are cold, a few warm ones are no measure
	mean := r.borne[e.role].get(r.now, rateWindow) / float64(engines) / w
	// of all routers, in a window
	all := coldGuess * u.OverloadMultiple * u.SlowStartShare * u.SlowStartWindow / r.cost(e)
	even := (all + coldChance*math.Sqrt(all)) / float64(r.cfg.NodeCount)
	part := coldSafety * max(u.OverloadMultiple*u.SlowStartShare*u.SlowStartWindow*mean, even)
	phase := float64(r.cfg.NodeIndex) / float64(r.cfg.NodeCount)
	turn := math.Floor(r.now/u.SlowStartWindow + phase)
	_, at := math.Modf(rank(fmt.Sprint(turn), e.ID) + float64(r.cfg.NodeIndex)*math.Phi)
	if (turn-phase)*u.SlowStartWindow < e.since {
		at = 0
	}
	return used+w <= w*math.Floor(part+at)
}

// cost is how long a request of mean work keeps an engine busy, guessed from its kind's curve and reads, and
// no shorter than by what is taken before any were seen.
func (r *Scheduler) cost(e *engine) (s float64) {
	k, prompt, answer := &r.kinds[e.Kind], r.meanPrompt.v+overhead, r.meanAnswer.v
	if e.role != Decode {
		s = prompt * max(firstSpt, k.read.slope(firstSpt, linePrior))
	}
	if e.role != Prefill {
		l := max(1, min(perUtil/2, memLimit*cmp.Or(e.mem, math.Inf(1))/(prompt+answer)))
		s += answer * max(firstPace, k.pace.c[0]/k.pace.speed(l)) / l
	}
	return s
}

// keptAt guesses how much of a prompt a reader has kept.
func (r *Scheduler) keptAt(q *request, e *engine) float64 {
	if s, ok := r.sessions[q.Session]; ok && s.reader == e && s.at > e.BootTime {
		return min(s.prompt, q.PromptTokens)
	}
	part := e.hit.get(r.now, r.kinds[e.Kind].hit.get(r.now, 0, 0), waitForget)
	return part * min(q.PrefixTokens, q.PromptTokens)
}

// readTime predicts a read: others' reads ahead show in the wait learned, our own count as they are.
func (r *Scheduler) readTime(q *request, e *engine) (t, tokens, load float64) {
	tokens = max(32, q.PromptTokens-r.keptAt(q, e))
	load = tokens + overhead + ahead(e)
	return max(0, r.wait(e)+load*r.spt(e)), tokens, load
}

// backlog is how long a newcomer waits at an engine.
func (r *Scheduler) backlog(e *engine) float64 { return max(0, r.wait(e)+ahead(e)*r.spt(e)) }

// moveTime predicts the move of a state beyond what a writer's lag holds: only the link of the reader's
// cell counts, with what we have on it.
func (r *Scheduler) moveTime(q *request, from, to *engine) float64 {
	if from == nil || from.Cell == to.Cell {
		return 0
	}
	l := r.link(from, to)
	return (l.out + q.PromptTokens) * l.perTok.get(r.now, firstFar, forget)
}

// freshness is the trust left in an engine's last report against its kind's mean.
func (r *Scheduler) freshness(e *engine) float64 {
	if !e.hasReport {
		return 0
	}
	return math.Exp(-(r.now - e.reportAt) / reportFresh)
}

// streams estimates L, all routers' streams at a writer: as reported, and ours since; unreported, ours alone.
func (r *Scheduler) streams(e *engine) float64 {
	own, _, fresh, _ := r.sinceReport(e)
	return max(own, r.kinds[e.Kind].load.toward(reportedLoad(&e.report, perUtil), r.freshness(e))+fresh)
}

// memUsed is the share of a writer's memory taken once it has q, estimated as streams are.
func (r *Scheduler) memUsed(e *engine, q *request) float64 {
	if e.mem <= 0 {
		return 0
	}
	_, own, _, fresh := r.sinceReport(e)
	used := max(own, r.kinds[e.Kind].mem.toward(e.report.MemoryShare, r.freshness(e))*e.mem+fresh) / e.mem
	return used + (q.PromptTokens+r.answerTokens(q))/e.mem
}

// paceRoom applies the curve: what f(L+1) leaves above the bound set by the pace aims of the newcomer and
// of every stream of ours there. Negative means that one of them would fall behind.
func (r *Scheduler) paceRoom(e *engine, q *request) float64 {
	l, aim := r.streams(e), q.class.OutputTokenObjective
	if q.writer != e {
		l++
	}
	for _, x := range e.jobs {
		if x.class.OutputTokenObjective > 0 {
			aim = min(aim, x.class.OutputTokenObjective)
		}
	}
	if aim <= 0 || l <= 1 { // an empty writer always takes one: a bad fit must be able to mend
		return 1 / max(1, l)
	}
	k := r.curve(e)
	need := k.c[0] / (paceSlack * aim) // the least speed that keeps the pace
	if need >= 1 {                     // not even alone: a late answer is worth more than none
		return tooSlow * (k.speed(l) - slowSpeed)
	}
	return 1 - need/k.speed(l)
}

// room is the room that a writer has for q, and whether the curve and its memory and queue let q in.
func (r *Scheduler) room(e *engine, q *request) (room float64, pace, fits bool) {
	left, used := r.paceRoom(e, q), r.memUsed(e, q)
	full := r.now < e.fullTill || e.report.Waiting >= 1 && r.now-e.reportAt < 1
	return left + 1 - used - e.err, left >= 0, used <= memLimit && !full
}

// bestWriter returns the writer with most room: of the reader's cell, else of another. With untested set,
// the curve and the first-token time are not asked.
func (r *Scheduler) bestWriter(q *request, from *engine, left float64, untested bool) *engine {
	var best *engine
	most := math.Inf(-1)
	for _, e := range r.others(q, r.pool(func(e *engine) bool {
		return e.role != Prefill && r.maySend(q, e) && r.coldRoom(q, e)
	})) {
		room, pace, fits := r.room(e, q)
		if !untested && (!pace || !fits || r.lag(e)+r.moveTime(q, from, e) > left) {
			continue
		}
		if !pace || !fits {
			room -= 100 // overfull ones last of all
		}
		if from.Cell != e.Cell {
			room -= r.farCost(q, from, e, left)
		}
		if e.role == Mixed {
			room -= mixedLast // it reads for itself: states that come slow both
		}
		room -= r.lag(e) / max(lagLeast, min(1, left)) // the part of its time that the first token will take
		if from.Zone != e.Zone {
			room -= 0.5
		}
		room += tieSpread * r.rng.Float64() * (1 - r.freshness(e)) // no herd to the first that looks idle
		if room > most {
			best, most = e, room
		}
	}
	return best
}

// farCost is how much more room a writer in another cell must have than the best of this one. Where its
// report is fresh the tests tell a full cell, and another is for when none passes in this. A router of many
// hears of a writer seldom and sees room in a cell that others fill: there the move's price and part of the
// time left decide.
func (r *Scheduler) farCost(q *request, from, e *engine, left float64) float64 {
	cost := farPrice*r.cfg.Prices.Transfer + r.moveTime(q, from, e)/max(left, r.cfg.Tick)
	return cost + farKnown*math.Pow(r.freshness(e), farPower)
}

// readers returns the usable readers in weighted rendezvous order of the shared beginning, else the session,
// the same at all routers. A hot beginning has homes by its part of our arrivals; sessions share them.
func (r *Scheduler) readers(q *request) []*engine {
	xs := r.others(q, r.pool(func(e *engine) bool {
		return e.role != Decode && r.maySend(q, e) && r.coldRoom(q, e)
	}))
	key := q.Prefix
	if key == "" {
		key = q.Session
	}
	rendezvous(xs, key)
	if q.Prefix != "" {
		x := r.prefixes[q.Prefix]
		part := x.get(r.now, 1) / (r.asked.get(r.now, 1) + sharePrior)
		rendezvous(xs[:min(len(xs), int(math.Ceil(part*float64(len(xs)))))], q.Session)
	}
	return xs
}

// send makes an attempt and writes it into the ledger and the budgets.
func (r *Scheduler) send(q *request, e *engine, expect, timeout float64) {
	r.do(Send{q.ID, e.ID, timeout})
	w := r.weight(q, e.role)
	if r.cold(e) {
		e.pushes = append(e.pushes, push{r.now, w})
	}
	q.out, q.sentAt, q.expect, q.calledOff, q.passed = q.sent, r.now, expect, false, 0
	q.sent++
	r.out++
}

// blind tells that no first token of ours is to come and that none has for as long as all routers, in turn,
// take for a request each. What keeps all away (waits, lags, speeds, loads, memory as learned) is then put to
// the test by one request: what is not tried is not learned anew.
func (r *Scheduler) blind() bool {
	return r.out == 0 && r.heardAt > 0 && r.now > r.heardAt+min(forget, r.best*float64(r.cfg.NodeCount))
}

// sendRead starts the read at rd of a request admitted to w.
func (r *Scheduler) sendRead(q *request, rd, w *engine) {
	t, tokens, load := r.readTime(q, rd)
	q.kept = r.keptAt(q, rd)
	q.tokens, q.load, q.stage, q.reader = tokens, load, reading, rd
	r.send(q, rd, t, max(r.cfg.Tick, q.deadline-r.now-2*r.margin())) // the outcome comes before our answer
	rd.reads = append(rd.reads, q)
	r.admitTo(q, w)
	move := r.moveTime(q, rd, w)
	if r.cfg.ReservationOffered && move > farReserve*max(0, q.aim-r.now) && r.coldRoom(q, w) &&
		w.State == EngineReady {
		r.do(Reserve{q.ID, w.ID})
		q.hasHold = true
	}
}

// sendUnread has an engine read and answer.
func (r *Scheduler) sendUnread(q *request, e *engine) {
	var t float64
	t, q.tokens, q.load = r.readTime(q, e)
	r.sendWrite(q, e, t)
}

// sendWrite sends a read request (or an unread one, as a fallback) to a writer.
func (r *Scheduler) sendWrite(q *request, w *engine, extra float64) {
	r.admitTo(q, w)
	move := extra
	if q.stage == parsed {
		move = r.moveTime(q, q.reader, w)
		if w.Cell != q.reader.Cell {
			q.far = q.PromptTokens
			r.link(q.reader, w).out += q.far
		}
	}
	q.stage = writing
	r.send(q, w, r.lag(w)+move, 0)
}

// decide is the one decision pass of a step.
func (r *Scheduler) decide() {
	r.housekeeping()
	var tiers [2][]*request
	for _, q := range append([]*request(nil), r.open...) {
		if q.stage == flowing || r.expire(q) {
			continue
		}
		r.rescue(q)
		if q.stage == parsed {
			r.placeParsed(q)
		}
		if q.stage == held {
			tier := 0
			if q.low {
				tier = 1
			}
			tiers[tier] = append(tiers[tier], q)
		}
	}
	byDeadline(tiers[0])
	if len(r.admitHigh(tiers[0])) == 0 {
		byDeadline(tiers[1])
		for i, fails := 0, 0; i < len(tiers[1]) && fails < window; i++ { // bounded: thousands may wait
			if !r.admit(tiers[1][i], true) {
				fails++
			}
		}
	}
	r.probe()
}

// byDeadline orders a tier: traffic beyond its tenant's share yields, then by first-token aim.
func byDeadline(xs []*request) {
	slices.SortStableFunc(xs, func(a, b *request) int {
		return cmp.Or(cmp.Compare(toInt(a.over), toInt(b.over)), cmp.Compare(a.aim, b.aim))
	})
}

// draw draws the first few in order, then as many of the others: where those at the head are just too late to
// pass, all behind them would be tried only once they are as late.
func (r *Scheduler) draw(n int) []int {
	drawn := r.rng.Perm(min(window, n))
	for range min(window, n-window) {
		drawn = append(drawn, window+r.rng.IntN(n-window))
	}
	return drawn
}

// admitHigh tests one drawn at random from the first few of the high tier, until none passes. It returns
// those that wait.
func (r *Scheduler) admitHigh(high []*request) []*request {
	for again := true; again; {
		again = false
		for _, i := range r.draw(len(high)) {
			if r.admit(high[i], false) {
				high, again = append(high[:i:i], high[i+1:]...), true
				break
			}
		}
	}
	return high
}

// answerer returns who would answer what e reads in t: a mixed engine itself, if it passes, so that no state
// moves; else the best writer that passes. The low tier has no first-token time to keep.
func (r *Scheduler) answerer(q *request, e *engine, t float64, low bool) *engine {
	left := r.timeFor(q, e, t, low)
	if e.role != Mixed {
		return r.bestWriter(q, e, left, r.blind())
	}
	if _, pace, fits := r.room(e, q); (!pace || !fits || left < 0) && !r.blind() {
		return nil
	}
	return e
}

// timeFor is what a read that takes e so long leaves of the time to q's aim. An aim too short for our slack
// where nobody is ahead gets what slack it leaves: its class would never be sent. The low tier and a probe
// (see blind) keep no aim.
func (r *Scheduler) timeFor(q *request, e *engine, t float64, low bool) float64 {
	if low || r.blind() {
		return math.Inf(1)
	}
	aim, alone := q.aim-q.arrived-r.leastLag, (max(32, q.PromptTokens-r.keptAt(q, e))+overhead)*r.spt(e)
	slack := 1.0 * readSlack
	if aimMost*t <= alone { // nobody is ahead
		slack = max(1, min(readSlack, aimMost*aim/alone))
	}
	return q.aim - r.now - slack*t
}

// spare tells whether e can read, in t, what comes too late anyway and make nobody else late: a newcomer of
// any class right behind it would still start in time, by what all reads have lately shown and four times its
// mean error. Where many routers have a request or two each, our empty high tier tells nothing of theirs.
func (r *Scheduler) spare(e *engine, t float64) bool {
	t += spreadOver * r.spread[e.role].get(r.now, 0, 0)
	for i, c := range r.cfg.Classes {
		p := r.classes[i].prompt.v
		// one too short for any reader is kept by nobody's waiting
		aim := c.FirstTokenObjective + c.ObjectivePer1KTokens*p/1000
		if aim > readSlack*(p+overhead)*firstSpt && readSlack*(t+(p+overhead)*r.spt(e)) > aim {
			return false
		}
	}
	return true
}

// admit finds a reader and a writer for a held request and starts the read. The home passes to the next in
// order only when that has the first token in half the time and less.
func (r *Scheduler) admit(q *request, low bool) bool {
	rds := r.readers(q)
	if r.left(q) >= 2 {
		var rd, w *engine
		least := math.Inf(1)
		for _, e := range rds[:min(homeChoices, len(rds))] {
			t, _, _ := r.readTime(q, e)
			if homeSlack+homeFactor*t >= least || low && !r.spare(e, t) && !r.blind() {
				continue
			}
			if x := r.answerer(q, e, t, low); x != nil {
				if x != e {
					t += r.lag(x) + r.moveTime(q, e, x)
				}
				if homeSlack+homeFactor*t < least || rd == nil {
					rd, w, least = e, x, t
				}
			}
		}
		if rd != nil && rd == w {
			r.sendUnread(q, w)
		} else if rd != nil {
			r.sendRead(q, rd, w)
		}
		if rd != nil {
			return true
		}
	}
	last := len(rds) == 0 || r.left(q) == 1
	return last && r.admitUnread(q)
}

// admitUnread: when no reader is in sight or one attempt is left, any mixed engine (or a writer, under
// local_read) reads the prompt. While readers are merely late only homes do: writers that read fall behind,
// and the fleet with them (i263144, iaa9861).
func (r *Scheduler) admitUnread(q *request) bool {
	var best *engine
	bestRoom := math.Inf(-1)
	for _, e := range r.pool(func(e *engine) bool {
		can := e.role == Mixed || e.role == Decode && r.cfg.DecodeEnginesPrefill
		return can && r.maySend(q, e) && r.coldRoom(q, e)
	}) {
		room, pace, fits := r.room(e, q)
		if pace && fits && room > bestRoom {
			best, bestRoom = e, room
		}
	}
	if best != nil {
		r.sendUnread(q, best)
	}
	return best != nil
}

// placeParsed sends a waiting state to the admitted writer, or to another that passes, or lets go of it in
// good time (rule 5).
func (r *Scheduler) placeParsed(q *request) {
	w := q.writer
	if w == nil || w.State != EngineReady || !r.trusted(w) || !r.maySend(q, w) || !r.coldRoom(q, w) ||
		r.now < w.fullTill {
		w = r.bestWriter(q, q.reader, math.Inf(1), q.low)
	}
	if r.now >= q.holdSince+holdShare*r.cfg.Rules.StateReleaseLimit {
		r.letGo(q)
	} else if w != nil {
		r.sendWrite(q, w, 0)
	}
}

// probe asks the writers in turn for their load where reports come in no other way, as often as the price
// of a probe allows.
func (r *Scheduler) probe() {
	if r.cfg.ReportStyle != ReportOnProbe || !r.cfg.Limits.Probe || r.now < r.probeAt {
		return
	}
	perSecond := probeBudget * max(0.5, r.arrivals.get(r.now, rateWindow))
	r.probeAt = r.now + max(0.02, r.cfg.Prices.Probe/perSecond)
	for range r.list {
		e := r.list[r.probeNext%len(r.list)]
		r.probeNext++
		if e.State == EngineReady && !e.probing && e.role != Prefill {
			e.probing = true
			r.do(Probe{e.ID})
			return
		}
	}
}

// housekeeping keeps the subscription to the list and forgets idle sessions.
func (r *Scheduler) housekeeping() {
	if r.cfg.PollsDiscovery && r.now >= r.watchAt {
		if !r.watching || r.watchAt == 0 {
			r.do(WatchEndpoints{true})
		}
		r.watchAt = r.now + max(0.5, min(2, r.cfg.Rules.PollInterval/4))
	}
	if r.now >= r.sweep {
		r.sweep = r.now + idleSession/4
		maps.DeleteFunc(r.prefixes, func(_ string, x rate) bool { return r.now-x.at > idleSession })
		maps.DeleteFunc(r.sessions, func(_ string, s session) bool { return r.now-s.at > idleSession })
	}
}

// arm sets one timer, for the earliest moment at which something is to be looked at.
func (r *Scheduler) arm() {
	at := math.Inf(1)
	for _, q := range r.open {
		if q.stage == held || q.stage == parsed {
			at = min(at, r.now+recheck, q.due) // its time may be up before the next look
		} else if q.stage != flowing {
			at = min(at, q.deadline-r.margin())
			if look := r.overdue(q, q.at()); look > r.now {
				at = min(at, look+r.cfg.Tick)
			}
		}
	}
	if r.cfg.PollsDiscovery {
		at = min(at, r.watchAt)
	}
	if r.probeAt > 0 {
		at = min(at, r.probeAt)
	}
	r.setTimer(max(at, r.now+r.cfg.Tick))
}
