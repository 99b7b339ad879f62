package scheduler

// This file predicts how long an engine takes to prefill a prompt.

const (
	// prefillWaitDecayTime is the time constant, in seconds, with which an engine's mean prefill wait and mean prefix hit rate return to
	// those of its kind.
	prefillWaitDecayTime = 15.0
	// prefillWaitGain is the weight of the newest sample in these two means of an engine.
	prefillWaitGain = 0.3
	// prefillFitPrior is the weight of the prior in the fit of prefill times, expressed as a squared deviation in squared tokens.
	prefillFitPrior = 1e7
	// initialPrefillSecondsPerToken is the prior of the prefill time of one token, in seconds.
	initialPrefillSecondsPerToken = 5e-5
	// minPrefillSecondsPerToken is the lower bound of a fitted prefill time of one token, in seconds.
	minPrefillSecondsPerToken = 1e-5
	// prefillOverhead is the fixed cost of a prefill, expressed in tokens.
	prefillOverhead = 400
	// minPrefillTokens is the smallest number of tokens that a prefill is assumed to compute, even if all are cached.
	minPrefillTokens = 32
	// minSlowStartShare is the smallest share of its capacity that an engine in slow start is assumed to have.
	minSlowStartShare = 0.1
)

// prefillPrediction is the predicted time and work of a prefill.
type prefillPrediction struct {
	seconds        float64
	uncachedTokens float64 // tokens that the engine must compute
	load           float64 // tokens of this prefill and of those that this node has queued there before it
}

// prefillSecondsPerToken returns the time in seconds that each further token from this node adds to a prefill: the slope of the prefill
// times of the engine's kind. An engine in slow start from which no prefill is known counts as slower, by its slow-start share. With few
// nodes, the load of the other nodes varies with that of this node, and the slope includes it. With many nodes, prefillWait includes it.
func (s *Scheduler) prefillSecondsPerToken(target *engine) float64 {
	slope := s.kinds[target.Kind].prefillTime.slope(initialPrefillSecondsPerToken, prefillFitPrior)
	seconds := max(minPrefillSecondsPerToken, slope)
	if s.slowedByStart(target) {
		return seconds / max(minSlowStartShare, s.cfg.Rules.SlowStartShare)
	}
	return seconds
}

// slowedByStart reports whether an engine is in slow start and no prefill there is known yet.
func (s *Scheduler) slowedByStart(target *engine) bool {
	return target.prefillWait.samples == 0 && s.warmingUp(target)
}

// prefillWait returns how many seconds longer a prefill takes than the load from this node explains.
func (s *Scheduler) prefillWait(target *engine) float64 {
	ofKind := s.kinds[target.Kind].prefillWait.get(s.now, 0, meanDecayTime)
	return target.prefillWait.get(s.now, ofKind, prefillWaitDecayTime)
}

// uncachedTokens predicts how many tokens of a prompt an engine must compute.
func (s *Scheduler) uncachedTokens(req *request, target *engine) float64 {
	return max(minPrefillTokens, req.PromptTokens-s.cachedPrefixTokens(req, target))
}

// predictPrefill predicts a prefill. It counts the load from this node; prefillWait stands for the load from other nodes.
func (s *Scheduler) predictPrefill(req *request, target *engine) prefillPrediction {
	uncached := s.uncachedTokens(req, target)
	load := uncached + prefillOverhead + tokensAhead(target)
	seconds := max(0, s.prefillWait(target)+load*s.prefillSecondsPerToken(target))
	return prefillPrediction{seconds: seconds, uncachedTokens: uncached, load: load}
}

// queueingDelay predicts how long a new request waits at an engine before its prefill starts.
func (s *Scheduler) queueingDelay(target *engine) float64 {
	return max(0, s.prefillWait(target)+tokensAhead(target)*s.prefillSecondsPerToken(target))
}

// learnPrefill records the time that a prefill with a load took.
func (s *Scheduler) learnPrefill(req *request, target *engine, load, spent float64) {
	kind := &s.kinds[target.Kind]
	kind.prefillTime.add(load, spent, forgettingFactor)
	wait := spent - load*s.prefillSecondsPerToken(target)
	target.prefillWait.add(s.now, wait, prefillWaitGain)
	kind.prefillWait.add(s.now, wait, kindGain)
	if req.Session != "" {
		s.rememberSession(req.Session, session{promptTokens: req.PromptTokens, usedAt: s.now, prefillEngine: target})
	}
}

// tokensAhead returns the load, in tokens, that this node has sent to an engine and that isn't prefilled yet.
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
