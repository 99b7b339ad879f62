package scheduler

import "cmp"

// This file infers how many tokens an answer will have.

const (
	// streamTimesKept is the number of stream times that are kept for each class.
	streamTimesKept = 128
	// initialOutputShare is the share of its token limit that an answer is taken to have until streams of its class have ended.
	initialOutputShare = 0.3
)

// expectedOutputTokens guesses an answer's length: the hint, else the class's mean part of the most allowed (see
// learnStream). Where no stream runs into that most, the guess is too long: admission errs to the open side.
func (s *Scheduler) expectedOutputTokens(q *request) float64 {
	tokens := q.DurationHint / max(q.class.OutputTokenObjective, 1e-3)
	if q.DurationHint <= 0 {
		tokens = q.MaxOutputTokens * cmp.Or(s.classes[q.Class].outputShare, initialOutputShare)
	}
	return max(4, min(tokens, q.MaxOutputTokens))
}
