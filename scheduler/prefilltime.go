package scheduler

// This file predicts how long an engine takes to prefill a prompt.

const (
	// prefillWaitForget is the time constant, in seconds, with which an engine's learned wait returns to that of its kind.
	prefillWaitForget = 15.0
	// prefillWaitGain is the weight of the newest sample in an engine's own means of its prefills.
	prefillWaitGain = 0.3
	// prefillFitPrior is the weight of the prior of the prefill-time fit, as a squared deviation in squared tokens.
	prefillFitPrior = 1e7
	// initialPrefillSecondsPerToken is the prior of the prefill time of one token, in seconds.
	initialPrefillSecondsPerToken = 5e-5
	// minPrefillSecondsPerToken is the least prefill time of one token, in seconds, that a fit is believed to show.
	minPrefillSecondsPerToken = 1e-5
	// prefillOverhead is the fixed cost of a prefill, in tokens.
	prefillOverhead = 400
	// minPrefillTokens is the least number of tokens that a prefill is taken to compute, however much is cached.
	minPrefillTokens = 32
	// minSlowStartShare is the least share of its capacity that an engine is taken to have while it warms up.
	minSlowStartShare = 0.1
)

// prefillPrediction is the predicted time and work of a prefill.
type prefillPrediction struct {
	seconds        float64
	uncachedTokens float64 // tokens that the engine must compute
	load           float64 // those, and all that this router has sent there before, in tokens
}

// prefillSecondsPerToken is the time that one more token of this router takes: the slope of the kind's prefill times. With few
// routers it holds the load of the others too, which comes and goes with this one's; with many, that is in prefillWait.
func (s *Scheduler) prefillSecondsPerToken(target *engine) float64 {
	slope := s.kinds[target.Kind].prefillTime.slope(initialPrefillSecondsPerToken, prefillFitPrior)
	seconds := max(minPrefillSecondsPerToken, slope)
	if target.prefillWait.samples == 0 && s.warmingUp(target) {
		return seconds / max(minSlowStartShare, s.cfg.Rules.SlowStartShare)
	}
	return seconds
}

// prefillWait is how much longer a prefill takes than the load of this router explains.
func (s *Scheduler) prefillWait(target *engine) float64 {
	ofKind := s.kinds[target.Kind].prefillWait.get(s.now, 0, forgetTime)
	return target.prefillWait.get(s.now, ofKind, prefillWaitForget)
}

// uncachedTokens predicts how many tokens of a prompt an engine must compute.
func (s *Scheduler) uncachedTokens(req *request, target *engine) float64 {
	return max(minPrefillTokens, req.PromptTokens-s.cachedPrefixTokens(req, target))
}

// predictPrefill predicts a prefill. The load of other routers shows in prefillWait, that of this router is counted.
func (s *Scheduler) predictPrefill(req *request, target *engine) prefillPrediction {
	uncached := s.uncachedTokens(req, target)
	load := uncached + prefillOverhead + tokensAhead(target)
	seconds := max(0, s.prefillWait(target)+load*s.prefillSecondsPerToken(target))
	return prefillPrediction{seconds: seconds, uncachedTokens: uncached, load: load}
}

// queueingDelay is how long a newcomer waits at an engine before its prefill begins.
func (s *Scheduler) queueingDelay(target *engine) float64 {
	return max(0, s.prefillWait(target)+tokensAhead(target)*s.prefillSecondsPerToken(target))
}

// learnPrefill takes the time of a prefill of a load.
func (s *Scheduler) learnPrefill(req *request, target *engine, load, spent float64) {
	kind := &s.kinds[target.Kind]
	kind.prefillTime.add(load, spent, fitMemory)
	wait := spent - load*s.prefillSecondsPerToken(target)
	target.prefillWait.add(s.now, wait, prefillWaitGain)
	kind.prefillWait.add(s.now, wait, kindGain)
	if req.Session != "" {
		s.sessions[req.Session] = session{promptTokens: req.PromptTokens, usedAt: s.now, prefillEngine: target}
	}
}

// tokensAhead is the load that this router has sent to an engine and that isn't prefilled yet, in tokens.
func tokensAhead(target *engine) float64 {
	load := 0.0
	for _, req := range target.prefills {
		load += req.prefill.uncachedTokens + prefillOverhead
	}
	for _, req := range target.admitted {
		if req.prefillsWithDecode() {
			load += req.prefill.uncachedTokens + prefillOverhead
		}
	}
	return load
}
