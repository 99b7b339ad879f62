package scheduler

// This file decides when one exploration request is sent although the performance models forbid it. Statistics from a time of
// poor performance can stop all work, and an engine that gets no work is never measured again.

// mayExplore reports whether one request may be sent without the admission tests. This requires that no attempt in flight waits for
// its outcome or first token, and that the latest first token or outcome is long enough ago: longer than the time to first token of
// one request multiplied by the number of nodes, which lets all nodes explore one after the other, or longer than meanDecayTime.
func (s *Scheduler) mayExplore() bool {
	return s.awaitingFirstToken == 0 && s.lastProgressAt > 0 &&
		s.now > s.lastProgressAt+min(meanDecayTime, s.firstTokenBound.total*float64(s.cfg.NodeCount))
}

// attemptProgressed records that an attempt has started to stream, or has ended before it did.
func (s *Scheduler) attemptProgressed(previous stage) {
	if previous == stageStreaming {
		return
	}
	s.awaitingFirstToken--
	s.lastProgressAt = s.now
}
