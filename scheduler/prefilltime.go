package scheduler

// This file predicts how long an engine takes to prefill a prompt.

const (
	// prefillWaitForget is the time constant, in seconds, with which an engine's learned wait returns to that of its kind.
	prefillWaitForget = 15.0
	// prefillWaitGain is the weight of the newest sample in an engine's own means of its prefills.
	prefillWaitGain = 0.3
	// prefillFitPrior is the squared deviation, in squared tokens, that the prior of the prefill-time fit is worth.
	prefillFitPrior = 1e7
	// initialPrefillSecondsPerToken is the prior of the prefill time of one token, in seconds.
	initialPrefillSecondsPerToken = 5e-5
	// minPrefillSecondsPerToken is the least prefill time of one token, in seconds, that a fit is believed to show.
	minPrefillSecondsPerToken = 1e-5
	// prefillOverhead is the number of tokens that the fixed costs of a prefill are worth.
	prefillOverhead = 400
	// minPrefillTokens is the least number of tokens that a prefill is taken to compute, however much is cached.
	minPrefillTokens = 32
)

// prefillSecondsPerToken is the time that one more token of ours takes at a reader: the slope of its kind's read times. With few
// routers it holds others' reads too, which come and go with ours; with many those are in the wait.
func (s *Scheduler) prefillSecondsPerToken(e *engine) float64 {
	base := max(minPrefillSecondsPerToken, s.kinds[e.Kind].prefillTime.slope(initialPrefillSecondsPerToken, prefillFitPrior))
	if e.prefillWait.samples == 0 && s.warmingUp(e) {
		return base / max(0.1, s.cfg.Rules.SlowStartShare)
	}
	return base
}

// prefillWait is how much longer a reader takes than its load of ours explains.
func (s *Scheduler) prefillWait(e *engine) float64 {
	return e.prefillWait.get(s.now, s.kinds[e.Kind].prefillWait.get(s.now, 0, forgetTime), prefillWaitForget)
}

// predictPrefill predicts a read: others' reads ahead show in the wait learned, our own count as they are.
func (s *Scheduler) predictPrefill(q *request, e *engine) (t, tokens, load float64) {
	tokens = max(32, q.PromptTokens-s.cachedPrefixTokens(q, e))
	load = tokens + prefillOverhead + tokensAhead(e)
	return max(0, s.prefillWait(e)+load*s.prefillSecondsPerToken(e)), tokens, load
}

// queueingDelay is how long a newcomer waits at an engine.
func (s *Scheduler) queueingDelay(e *engine) float64 {
	return max(0, s.prefillWait(e)+tokensAhead(e)*s.prefillSecondsPerToken(e))
}

// learnPrefill takes the time of a read of a load.
func (s *Scheduler) learnPrefill(q *request, e *engine, load, spent float64) {
	k := &s.kinds[e.Kind]
	k.prefillTime.add(load, spent, fitMemory)
	wait := spent - load*s.prefillSecondsPerToken(e)
	e.prefillWait.add(s.now, wait, prefillWaitGain)
	k.prefillWait.add(s.now, wait, kindGain)
	if q.Session != "" {
		s.sessions[q.Session] = session{q.PromptTokens, s.now, e}
	}
}

// tokensAhead is what we have given an engine to read already.
func tokensAhead(e *engine) (load float64) {
	for _, x := range e.prefills {
		load += x.uncachedTokens + prefillOverhead
	}
	for _, x := range e.admitted {
		if prefillsItself(x) {
			load += x.uncachedTokens + prefillOverhead
		}
	}
	return load
}
