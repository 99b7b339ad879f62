package scheduler

// This file estimates how much of a decode engine's KV-cache memory is taken.

// memoryShareWith is the share of a writer's memory taken once it has q, estimated as streams are.
func (s *Scheduler) memoryShareWith(e *engine, q *request) float64 {
	if e.memory <= 0 {
		return 0
	}
	_, own, _, fresh := s.sinceReport(e)
	used := max(own, s.kinds[e.Kind].reportedMemory.drawnTo(e.report.MemoryShare, s.reportFreshness(e))*e.memory+fresh) / e.memory
	return used + (q.PromptTokens+s.expectedOutputTokens(q))/e.memory
}

// sinceReport counts our streams and their tokens at a writer, all and those that its last report has not
// seen.
func (s *Scheduler) sinceReport(e *engine) (streams, tokens, newStreams, newTokens float64) {
	for _, x := range e.admitted {
		t := x.PromptTokens + s.expectedOutputTokens(x)
		streams, tokens = streams+1, tokens+t
		if x.stage != stageStreaming || x.streamStartedAt > e.reportAt-reportDelay {
			newStreams, newTokens = newStreams+1, newTokens+t
		}
	}
	return
}
