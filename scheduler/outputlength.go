package scheduler

import "cmp"

// This file infers how many tokens an answer will have.

const (
	// streamTimesKept is the number of stream times that are kept for each class.
	streamTimesKept = 128
	// initialOutputShare is the share of its token limit that an answer is taken to have until streams of its class have ended.
	initialOutputShare = 0.3
	// minStreamTimes is the number of stream times from which the share is learned.
	minStreamTimes = streamTimesKept / 8
	// longestStreamQuantile is the quantile of the stream times that is taken to be the time of a stream at the token limit.
	longestStreamQuantile = 0.99
	// minOutputTokens is the least number of tokens that an answer is taken to have.
	minOutputTokens = 4
	// minOutputTokenObjective is the least time per output token, in seconds, with which a hint is read.
	minOutputTokenObjective = 1e-3
)

// expectedOutputTokens predicts an answer's length: from its hint, else as its class's mean share of the token limit. Where
// no answer reaches the limit the prediction is too long, and admission errs to the open side.
func (s *Scheduler) expectedOutputTokens(req *request) float64 {
	tokens := req.DurationHint / max(req.class.OutputTokenObjective, minOutputTokenObjective)
	if req.DurationHint <= 0 {
		tokens = req.MaxOutputTokens * cmp.Or(s.classes[req.Class].outputShare, initialOutputShare)
	}
	return max(minOutputTokens, min(tokens, req.MaxOutputTokens))
}

// learnOutputShare takes a stream's time, scaled to the speed of a lone stream. The longest streams of a class are taken
// to have reached the token limit; the mean over their time is the mean share of the limit.
func (s *Scheduler) learnOutputShare(req *request, seconds float64) {
	class := &s.classes[req.Class]
	class.streamTimes = append(class.streamTimes, seconds)
	class.streamTimes = class.streamTimes[max(0, len(class.streamTimes)-streamTimesKept):]
	if len(class.streamTimes) >= minStreamTimes {
		class.outputShare = meanOverQuantile(class.streamTimes, longestStreamQuantile)
	}
}
