package scheduler

// This file counts this node's streams and their tokens at a decode engine, and estimates how much of its KV-cache memory is in
// use.

// ownLoad is the load of this node at a decode engine. newStreams and newTokens are the part of it that the engine's last report can't
// include, because it began after the report or shortly before.
type ownLoad struct {
	streams, tokens       float64
	newStreams, newTokens float64
}

func (s *Scheduler) ownLoad(target *engine) ownLoad {
	var own ownLoad
	for _, req := range target.admitted {
		tokens := req.PromptTokens + s.expectedOutputTokens(req)
		own.streams++
		own.tokens += tokens
		if req.stage != stageStreaming || req.stream.startedAt > target.reportedAt-reportDelay {
			own.newStreams++
			own.newTokens += tokens
		}
	}
	return own
}

// memoryShareWith estimates the share of an engine's memory that is in use once the engine has the request. It combines the load of
// this node with the load report as concurrency does. It returns 0 if the size of the memory is unknown.
func (s *Scheduler) memoryShareWith(target *engine, req *request) float64 {
	if target.memory <= 0 {
		return 0
	}
	own := s.ownLoad(target)
	reported := s.kinds[target.Kind].reportedMemory.blend(target.report.MemoryShare, s.reportFreshness(target))
	used := max(own.tokens, reported*target.memory+own.newTokens) / target.memory
	return used + (req.PromptTokens+s.expectedOutputTokens(req))/target.memory
}
