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
	// slowStartCapacityTrust is the share of the estimated capacity of an engine kind that is relied upon.
	slowStartCapacityTrust = 0.5
	// promptDecodeWork is the share of a prompt token that counts as one output token in the work of a decode engine.
	promptDecodeWork = 0.1
)

// slowStartSend is an attempt that was sent to an engine that was warming up.
type slowStartSend struct {
	sentAt float64
	work   float64
}

// warmingUp tells whether an engine may still be warming up.
func (s *Scheduler) warmingUp(target *engine) bool {
	return target.BootTime > 0 && s.now < target.BootTime+s.cfg.Rules.SlowStartDuration
}

// warmEngines counts the ready engines of a role that are not warming up.
func (s *Scheduler) warmEngines(role Role) int {
	n := 0
	for _, candidate := range s.engineList {
		if candidate.role == role && candidate.State == EngineReady && !s.warmingUp(candidate) {
			n++
		}
	}
	return n
}

// work is the mean work of the request's class at an engine of a role, in tokens. It is the unit of the slow-start budget.
func (s *Scheduler) work(req *request, role Role) float64 {
	prompt := s.classes[req.Class].promptTokens.mean
	if role == Prefill {
		return prompt + prefillOverhead
	}
	return s.expectedOutputTokens(req) + promptDecodeWork*prompt
}

// countSlowStartSend counts an attempt at an engine that is warming up.
func (s *Scheduler) countSlowStartSend(req *request, target *engine) {
	if s.warmingUp(target) {
		send := slowStartSend{sentAt: s.now, work: s.work(req, target.role)}
		target.slowStartSends = append(target.slowStartSends, send)
	}
}

// slowStartAllows tells whether one more attempt at the engine keeps within this router's part of the slow-start budget
// (rule 4). In the first window after the router's own start nothing is sent, as sends of its previous process may count.
func (s *Scheduler) slowStartAllows(req *request, target *engine) bool {
	if !s.warmingUp(target) {
		return true
	}
	if s.now < s.started+s.cfg.Rules.SlowStartWindow {
		return false
	}
	work := s.work(req, target.role)
	return s.slowStartUsed(req, target)+work <= work*s.slowStartSendsAllowed(target, work)
}

// slowStartUsed is the work of this router in the latest window: sent, or admitted and still to be sent.
func (s *Scheduler) slowStartUsed(req *request, target *engine) float64 {
	target.slowStartSends = recentSends(target.slowStartSends, s.now-s.cfg.Rules.SlowStartWindow)
	used := 0.0
	for _, send := range target.slowStartSends {
		used += send.work
	}
	for _, other := range target.admitted {
		if other != req && (other.stage == stagePrefilling || other.stage == stagePrefilled) {
			used += s.work(other, target.role)
		}
	}
	return used
}

// recentSends returns the sends after a time, in a new slice.
func recentSends(sends []slowStartSend, after float64) []slowStartSend {
	var recent []slowStartSend
	for _, send := range sends {
		if send.sentAt > after {
			recent = append(recent, send)
		}
	}
	return recent
}

// slowStartSendsAllowed is the number of attempts of a given work that this router may send in a window. It follows from
// the work that warm engines of the role complete for this router or, as there may be none, from an even part of what the
// engine kind should bear.
func (s *Scheduler) slowStartSendsAllowed(target *engine, work float64) float64 {
	rules := &s.cfg.Rules
	warm := max(1, s.warmEngines(target.role), s.mostReady[target.role]/2) // where most are warming up, the few warm ones are no measure
	perWarmEngine := s.completedWork[target.role].get(s.now, rateWindow) / float64(warm) / work
	ofAllRouters := slowStartCapacityTrust * rules.OverloadMultiple * rules.SlowStartShare * rules.SlowStartWindow /
		s.expectedBusyTime(target)
	evenPart := (ofAllRouters + slowStartChance*math.Sqrt(ofAllRouters)) / float64(s.cfg.NodeCount)
	part := slowStartSafety * max(rules.OverloadMultiple*rules.SlowStartShare*rules.SlowStartWindow*perWarmEngine, evenPart)
	return math.Floor(part + s.slowStartTurn(target))
}

// slowStartTurn is a number between 0 and 1 that decides who may send where the parts are fractions of a send. Routers draw
// it by their numbers, so that as many have a turn in a window as the fractions add up to. In the window in which the engine
// was discovered it is 0.
func (s *Scheduler) slowStartTurn(target *engine) float64 {
	window := s.cfg.Rules.SlowStartWindow
	phase := float64(s.cfg.NodeIndex) / float64(s.cfg.NodeCount)
	turn := math.Floor(s.now/window + phase)
	if (turn-phase)*window < target.discoveredAt {
		return 0
	}
	_, fraction := math.Modf(rendezvousHash(fmt.Sprint(turn), target.ID) + float64(s.cfg.NodeIndex)*math.Phi)
	return fraction
}

// expectedBusyTime is how long, in seconds, a request of mean work keeps an engine busy. It is estimated from the prefill times
// and the curve of its kind, and is no shorter than by the priors.
func (s *Scheduler) expectedBusyTime(target *engine) float64 {
	kind := &s.kinds[target.Kind]
	prompt, output := s.meanPromptTokens.mean+prefillOverhead, s.meanOutputTokens.mean
	seconds := 0.0
	if target.role != Decode {
		seconds = prompt * max(initialPrefillSecondsPerToken, kind.prefillTime.slope(initialPrefillSecondsPerToken, prefillFitPrior))
	}
	if target.role != Prefill {
		memory := cmp.Or(target.memory, math.Inf(1))
		streams := max(1, min(streamsAtFullUtilization/2, memoryLimit*memory/(prompt+output)))
		seconds += output * max(initialSecondsPerOutputToken, kind.curve.terms[0]/kind.curve.speed(streams)) / streams
	}
	return seconds
}
