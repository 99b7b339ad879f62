package scheduler

// This file decides when one exploration request is sent although the performance models forbid it. What was learned in bad
// times can stop all work, and an engine that gets no work is never measured anew.

// mayExplore tells whether one request may be sent untested: no first token is awaited, and none has come for as long as all
// routers, one after the other, take for a request each.
func (s *Scheduler) mayExplore() bool {
	return s.awaitingFirstToken == 0 && s.lastProgressAt > 0 &&
		s.now > s.lastProgressAt+min(forgetTime, s.bestFirstToken.total*float64(s.cfg.NodeCount))
}

// attemptProgressed counts an attempt that has begun to stream or, before that, has ended.
func (s *Scheduler) attemptProgressed(was stage) {
	if was == stageStreaming {
		return
	}
	s.awaitingFirstToken--
	s.lastProgressAt = s.now
}
