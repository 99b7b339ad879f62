package scheduler

// This file fits the concurrency curve f(L) (paper, section IV-B): the speed of each stream at concurrency L relative to
// that of a lone stream. The paper fits the Universal Scalability Law offline; this file fits it online.

const (
	// initialSecondsPerOutputToken is the prior of the time per token of a lone stream, in seconds.
	initialSecondsPerOutputToken = 0.02
	// minSecondsPerOutputToken is the lower bound of a fitted time per token, in seconds.
	minSecondsPerOutputToken = 1e-4
	// curvePrior is the weight of a curve's prior, in samples.
	curvePrior = 4
	// tokensPerSample is the number of output tokens that have the weight of one sample of a curve.
	tokensPerSample = 100
	// solverRounds is the number of rounds of coordinate descent, after which the fit has converged.
	solverRounds = 40
)

// uslCurve fits the seconds per token at concurrency L as c0·(1 + σ(L−1) + κL(L−1)), the Universal Scalability Law in its
// linear form, by weighted least squares with exponential forgetting. σ (contention) and κ (coherence) start at zero.
type uslCurve struct {
	normal  [3][3]float64 // normal matrix of the least-squares fit
	moments [3]float64    // its right-hand side
	terms   [3]float64    // latest fit: c0, c0·σ and c0·κ, in seconds per token
}

// sample adds the measured seconds per token at a concurrency, with a weight.
func (c *uslCurve) sample(concurrency, secondsPerToken, weight float64) {
	x := [3]float64{1, concurrency - 1, concurrency * (concurrency - 1)}
	for i := range x {
		for j := range x {
			c.normal[i][j] = forgettingFactor*c.normal[i][j] + weight*x[i]*x[j]
		}
		c.moments[i] = forgettingFactor*c.moments[i] + weight*x[i]*secondsPerToken
	}
}

// fit computes the terms, regularized toward a prior that dominates while samples are few. It limits σ and κ to [0, 1].
func (c *uslCurve) fit(prior [3]float64) {
	var priorWeights [3]float64
	for i := range priorWeights {
		priorWeights[i] = curvePrior * (1 + c.normal[i][i]/(1+c.normal[0][0]))
	}
	terms := solveNonNegative(c.normal, c.moments, prior, priorWeights)
	terms[0] = max(terms[0], minSecondsPerOutputToken)
	terms[1] = min(terms[1], terms[0])
	terms[2] = min(terms[2], terms[0])
	c.terms = terms
}

// speed returns f(L): the speed of a stream at a concurrency relative to that of a lone stream.
func (c *uslCurve) speed(concurrency float64) float64 {
	contention := c.terms[1] * (concurrency - 1)
	coherence := c.terms[2] * concurrency * (concurrency - 1)
	return c.terms[0] / (c.terms[0] + contention + coherence)
}

// solveNonNegative finds a non-negative x with a·x = b in the least-squares sense, by projected coordinate descent. Each term is
// regularized toward its prior with its prior weight.
func solveNonNegative(a [3][3]float64, b, prior, priorWeights [3]float64) [3]float64 {
	x := prior
	for range solverRounds {
		for i := range x {
			residual := b[i]
			for j := range x {
				if j != i {
					residual -= a[i][j] * x[j]
				}
			}
			x[i] = max(0, (residual+priorWeights[i]*prior[i])/(a[i][i]+priorWeights[i]))
		}
	}
	return x
}

// curveOf returns the engine's own curve, or that of its kind until a stream of this node has ended there.
func (s *Scheduler) curveOf(target *engine) *uslCurve {
	if target.curve.terms[0] == 0 {
		return &s.kinds[target.Kind].curve
	}
	return &target.curve
}

// learnDecode records the duration of a completed stream, from its first token to its end. Each sample is weighted by its tokens.
// Token counts are approximate, and the unweighted mean of seconds per token would predict streams that are too slow.
func (s *Scheduler) learnDecode(req *request, target *engine) {
	tokens := s.expectedOutputTokens(req)
	seconds := s.now - req.stream.startedAt
	if req.stream.startedAt == 0 || tokens <= 1 || seconds <= 0 { // a stream within one step has no measurable duration
		return
	}
	concurrency := max(1, (req.stream.concurrency+s.concurrency(target))/2)
	s.learnOutputShare(req, seconds*s.curveOf(target).speed(concurrency))
	weight := tokens / tokensPerSample
	ofKind := &s.kinds[target.Kind].curve
	ofKind.sample(concurrency, seconds/tokens, weight)
	ofKind.fit(ofKind.terms)
	target.curve.sample(concurrency, seconds/tokens, weight)
	target.curve.fit(ofKind.terms)
}

// concurrency estimates L, the number of streams of all nodes at a decode engine. It adds the streams that this node has begun since
// the last report to the reported number; the less fresh the report is, the more the mean of the engine's kind replaces it. The
// estimate is at least the number of this node's streams.
func (s *Scheduler) concurrency(target *engine) float64 {
	own := s.ownLoad(target)
	reported := reportedStreams(&target.report)
	blended := s.kinds[target.Kind].reportedStreams.blend(reported, s.reportFreshness(target))
	return max(own.streams, blended+own.newStreams)
}
