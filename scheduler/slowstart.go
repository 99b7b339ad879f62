package scheduler

import (
	"cmp"
	"fmt"
	"math"
)

// This file limits the traffic to an engine in slow start to its slow-start budget (rule 4).

const (
	// slowStartSafetyFactor is the share of the slow-start budget that is used. A margin is needed because the budget is derived from
	// measured load instead of capacity.
	slowStartSafetyFactor = 0.8
	// slowStartDeviations is the factor of the square root that is added to the number of sends. Rule 4 allows it for random variation.
	slowStartDeviations = 2
	// slowStartCapacityShare is the share of the estimated capacity of an engine kind that is used for the budget.
	slowStartCapacityShare = 0.5
	// promptDecodeWork is the work of one prompt token at an engine that decodes, in output tokens.
	promptDecodeWork = 0.1
)

// slowStartSend is an attempt that was sent to an engine in slow start.
type slowStartSend struct {
	sentAt float64
	work   float64 // in tokens
}

// warmingUp reports whether an engine may still be in slow start.
func (s *Scheduler) warmingUp(target *engine) bool {
	return target.BootTime > 0 && s.now < target.BootTime+s.cfg.Rules.SlowStartDuration
}

// work returns the work of the request at an engine of a role, in tokens, with the mean prompt length of its class. The slow-start budget
// is counted in this work.
func (s *Scheduler) work(req *request, role Role) float64 {
	prompt := s.classes[req.Class].promptTokens.mean
	if role == Prefill {
		return prompt + prefillOverhead
	}
	return s.expectedOutputTokens(req) + promptDecodeWork*prompt
}

// countSlowStartSend records an attempt that is sent to an engine in slow start.
func (s *Scheduler) countSlowStartSend(req *request, target *engine) {
	if s.warmingUp(target) {
		send := slowStartSend{sentAt: s.now, work: s.work(req, target.role)}
		target.slowStartSends = append(target.slowStartSends, send)
	}
}

// slowStartAllows reports whether one more attempt at the engine stays within this node's share of the slow-start budget (rule 4).
// During the first window after its own start, a node sends nothing to an engine in slow start. The sends of the node's previous process
// may still count in that window.
func (s *Scheduler) slowStartAllows(req *request, target *engine) bool {
	if !s.warmingUp(target) {
		return true
	}
	if s.now < s.startedAt+s.cfg.Rules.SlowStartWindow {
		return false
	}
	work := s.work(req, target.role)
	return s.slowStartUsed(req, target)+work <= work*s.slowStartSendsAllowed(target, work)
}

// slowStartUsed returns the work, in tokens, that this node has sent to the engine in the latest window, plus that of other requests that
// are admitted to the engine and not yet sent.
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

// slowStartSendsAllowed returns the number of attempts of a given work that this node may send in a window. There are two estimates, and
// the larger one applies. The first is derived from the work that warm engines of the role complete for this node. The second, for the
// case that none is warm, is an equal share of the estimated capacity of the engine kind.
func (s *Scheduler) slowStartSendsAllowed(target *engine, work float64) float64 {
	rules := &s.cfg.Rules
	// If most engines are in slow start, the few warm ones are not representative.
	warm := max(1, s.currentBounds().warm[target.role], s.maxReady[target.role]/2)
	perWarmEngine := s.completedWork[target.role].get(s.now, rateWindow) / float64(warm) / work
	forAllNodes := slowStartCapacityShare * rules.OverloadMultiple * rules.SlowStartShare * rules.SlowStartWindow /
		s.expectedBusyTime(target)
	equalShare := (forAllNodes + slowStartDeviations*math.Sqrt(forAllNodes)) / float64(s.cfg.NodeCount)
	share := slowStartSafetyFactor * max(rules.OverloadMultiple*rules.SlowStartShare*rules.SlowStartWindow*perWarmEngine, equalShare)
	return math.Floor(share + s.slowStartTurn(target))
}

// slowStartTurn returns a number between 0 and 1 that is added to a node's share before it is rounded down to whole sends. It decides
// which nodes may send if their shares are less than one send. The numbers of the nodes are spread evenly by node index, so the number of
// nodes that may send in a window is about the sum of the shares. In the window in which the engine was discovered it is 0.
func (s *Scheduler) slowStartTurn(target *engine) float64 {
	window := s.cfg.Rules.SlowStartWindow
	phase := float64(s.cfg.NodeIndex) / float64(s.cfg.NodeCount)
	turn := math.Floor(s.now/window + phase)
	if (turn-phase)*window < target.discoveredAt {
		return 0
	}
	if s.slowStartTurnText.turn != turn {
		s.slowStartTurnText = turnText{turn: turn, text: fmt.Sprint(turn)}
	}
	_, fraction := math.Modf(rendezvousHash(s.slowStartTurnText.text, target.ID) + float64(s.cfg.NodeIndex)*math.Phi)
	return fraction
}

// turnText is a window of slowStartTurn as a text that can be hashed.
type turnText struct {
	turn float64
	text string
}

// expectedBusyTime returns how many seconds of an engine's capacity a request of mean length takes. It is estimated from the prefill
// times and the curve of the engine's kind, with the priors as lower bounds.
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
