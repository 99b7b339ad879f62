package scheduler

import (
	"cmp"
	"fmt"
	"math"
)

// This file keeps the traffic to an engine that is warming up within its slow-start budget (rule 4).

const (
	// slowStartSafety is the share of the slow-start budget that is used, as load and not capacity is what is measured.
	slowStartSafety = 0.8
	// slowStartChance is the number of square roots of the budget that the rule leaves to chance and that are used beside it.
	slowStartChance = 2
	// slowStartCapacityTrust is the share that is believed of the capacity guessed for an engine kind.
	slowStartCapacityTrust = 0.5
)

// slowStartSend is a send to a cold engine.
type slowStartSend struct{ sentAt, work float64 }

// recentSends drops the pushes up to a time and returns the rest and their weight.
func recentSends(ps []slowStartSend, t float64) (rest []slowStartSend, weight float64) {
	for _, p := range ps {
		if p.sentAt > t {
			rest, weight = append(rest, p), weight+p.work
		}
	}
	return rest, weight
}

// warmingUp tells whether an engine may still be warming up; warm counts those of a role that are not.
func (s *Scheduler) warmingUp(e *engine) bool {
	return e.BootTime > 0 && s.now < e.BootTime+s.cfg.Rules.SlowStartDuration
}

func (s *Scheduler) warmEngines(role Role) (n int) {
	for _, e := range s.engineList {
		if e.role == role && e.State == EngineReady && !s.warmingUp(e) {
			n++
		}
	}
	return n
}

// slowStartAllows tells whether one more send keeps a cold engine within our part of its budget (rule 4): by what
// warm ones of its role get done for us or, as those may be gone, by an even share of what its kind should
// bear. A fraction of a send is a turn: spread over routers' numbers, as many have one as parts add up to,
// none in the window in which it was heard of. After our own start we wait one: sends of ours may be in it.
func (s *Scheduler) slowStartAllows(q *request, e *engine) bool {
	if cold := s.warmingUp(e); !cold || s.now < s.started+s.cfg.Rules.SlowStartWindow {
		return !cold
	}
	u, w, used := &s.cfg.Rules, s.work(q, e.role), 0.0
	e.slowStartSends, used = recentSends(e.slowStartSends, s.now-u.SlowStartWindow)
	for _, x := range e.admitted {
		if x != q && (x.stage == stagePrefilling || x.stage == stagePrefilled) { // admitted, still to be sent
			used += s.work(x, e.role)
		}
	}
	engines := max(1, s.warmEngines(e.role), s.mostReady[e.role]/2) // where most are cold, a few warm ones are no measure
	mean := s.completedWork[e.role].get(s.now, rateWindow) / float64(engines) / w
	// of all routers, in a window
	all := slowStartCapacityTrust * u.OverloadMultiple * u.SlowStartShare * u.SlowStartWindow / s.expectedBusyTime(e)
	even := (all + slowStartChance*math.Sqrt(all)) / float64(s.cfg.NodeCount)
	part := slowStartSafety * max(u.OverloadMultiple*u.SlowStartShare*u.SlowStartWindow*mean, even)
	phase := float64(s.cfg.NodeIndex) / float64(s.cfg.NodeCount)
	turn := math.Floor(s.now/u.SlowStartWindow + phase)
	_, at := math.Modf(rendezvousHash(fmt.Sprint(turn), e.ID) + float64(s.cfg.NodeIndex)*math.Phi)
	if (turn-phase)*u.SlowStartWindow < e.discoveredAt {
		at = 0
	}
	return used+w <= w*math.Floor(part+at)
}

// expectedBusyTime is how long a request of mean work keeps an engine busy, guessed from its kind's curve and reads, and
// no shorter than by what is taken before any were seen.
func (s *Scheduler) expectedBusyTime(e *engine) (seconds float64) {
	k, prompt, answer := &s.kinds[e.Kind], s.meanPromptTokens.mean+prefillOverhead, s.meanOutputTokens.mean
	if e.role != Decode {
		seconds = prompt * max(initialPrefillSecondsPerToken, k.prefillTime.slope(initialPrefillSecondsPerToken, prefillFitPrior))
	}
	if e.role != Prefill {
		l := max(1, min(streamsAtFullUtilization/2, memoryLimit*cmp.Or(e.memory, math.Inf(1))/(prompt+answer)))
		seconds += answer * max(initialSecondsPerOutputToken, k.curve.terms[0]/k.curve.speed(l)) / l
	}
	return seconds
}

// work is the mean work of a request's class at an engine's role, the unit of the cold budget.
func (s *Scheduler) work(q *request, role Role) float64 {
	if role == Prefill {
		return s.classes[q.Class].promptTokens.mean + prefillOverhead
	}
	return s.expectedOutputTokens(q) + 0.1*s.classes[q.Class].promptTokens.mean
}
