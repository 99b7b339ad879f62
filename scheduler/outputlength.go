package scheduler

import "cmp"

// This file predicts how many tokens a response will have.

const (
	// maxStreamTimes is the largest number of stream durations that are stored for a class; older ones are dropped.
	maxStreamTimes = 128
	// initialOutputShare is the prior of the ratio of a response's length to its token limit.
	initialOutputShare = 0.3
	// minStreamTimes is the number of stream durations that are needed to estimate the ratio.
	minStreamTimes = maxStreamTimes / 8
	// longestStreamQuantile is the quantile of the stream durations that is taken as the duration of a stream at the token limit.
	longestStreamQuantile = 0.99
	// minOutputTokens is the shortest predicted length of a response, in tokens.
	minOutputTokens = 4
	// minOutputTokenObjective is the lower bound of the time per output token, in seconds, by which a duration hint is divided.
	minOutputTokenObjective = 1e-3
)

// expectedOutputTokens predicts an answer's length in tokens. It uses the duration hint or, without one, the token limit multiplied by
// the mean ratio of the class. If no answer of the class reaches the limit, the prediction is too long; the time per token that
// learnDecode derives from it is then too short, and admission errs toward admitting too much.
func (s *Scheduler) expectedOutputTokens(req *request) float64 {
	tokens := req.DurationHint / max(req.class.OutputTokenObjective, minOutputTokenObjective)
	if req.DurationHint <= 0 {
		tokens = req.MaxOutputTokens * cmp.Or(s.classes[req.Class].outputShare, initialOutputShare)
	}
	return max(minOutputTokens, min(tokens, req.MaxOutputTokens))
}

// learnOutputShare records a stream's duration, scaled to the speed of a lone stream. The longest streams of a class are assumed to
// have reached the token limit; the mean duration divided by theirs is the mean ratio of length to limit.
func (s *Scheduler) learnOutputShare(req *request, seconds float64) {
	class := &s.classes[req.Class]
	class.streamTimes = append(class.streamTimes, seconds)
	class.streamTimes = class.streamTimes[max(0, len(class.streamTimes)-maxStreamTimes):]
	if len(class.streamTimes) >= minStreamTimes {
		class.outputShare = meanToQuantileRatio(class.streamTimes, longestStreamQuantile)
	}
}
