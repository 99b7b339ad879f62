package scheduler

// This file decides when one exploration request is sent past what the performance models say.

// mayExplore tells that no first token of ours is to come and that none has for as long as all routers, in turn,
// take for a request each. What keeps all away (waits, lags, speeds, loads, memory as learned) is then put to
// the test by one request: what is not tried is not learned anew.
func (s *Scheduler) mayExplore() bool {
	return s.awaitingFirstToken == 0 && s.lastProgressAt > 0 &&
		s.now > s.lastProgressAt+min(forgetTime, s.leastTimeToFirstToken*float64(s.cfg.NodeCount))
}

// attemptProgressed notes that an attempt has begun to stream or, before that, has ended.
func (s *Scheduler) attemptProgressed(was stage) {
	if was != stageStreaming {
		s.awaitingFirstToken, s.lastProgressAt = s.awaitingFirstToken-1, s.now
	}
}
