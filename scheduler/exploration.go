package scheduler

// This file decides when one exploration request is sent although the performance models forbid it. Statistics from a time of
// poor performance can stop all work, and an engine that gets no work is never measured again.

// mayExplore reports whether one request may be sent without the admission tests: no attempt in flight is without its first token,
// and the latest first token or outcome is longer ago than all nodes, one after the other, take for one request each. That time is
// limited to meanDecayTime.
func (s *Scheduler) mayExplore() bool {
	return s.awaitingFirstToken == 0 && s.lastProgressAt > 0 &&
		s.now > s.lastProgressAt+min(meanDecayTime, s.firstTokenBound.total*float64(s.cfg.NodeCount))
}

// attemptProgressed records that an attempt has started to stream or, before that, has ended.
func (s *Scheduler) attemptProgressed(previous stage) {
	if previous == stageStreaming {
		return
	}
	s.awaitingFirstToken--
	s.lastProgressAt = s.now
}
