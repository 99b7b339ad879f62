package scheduler

// This file fits the concurrency curve f(L) (paper, section IV-B): the speed of each stream at concurrency L against
// that of a lone stream. The paper fits the Universal Scalability Law offline; this file fits it online.

const (
	// initialSecondsPerOutputToken is the time in seconds that a lone stream is taken to need for a token until streams have ended.
	initialSecondsPerOutputToken = 0.02
	// curvePrior is the number of samples that the prior of a curve is worth.
	curvePrior = 4
	// tokensPerSample is the number of output tokens that weigh as one sample of a curve.
	tokensPerSample = 100
	// solverRounds is the number of rounds of coordinate descent, by which the fit has settled.
	solverRounds = 40
)

// uslCurve fits seconds a token at concurrency L as c0·(1 + σ(L−1) + κL(L−1)), the Universal
// Scalability Law in its linear form, by least squares with forgetting; σ and κ start at zero.
type uslCurve struct {
	normal  [3][3]float64
	moments [3]float64
	terms   [3]float64 // the latest fit
}

// sample adds the pace seen at concurrency l with a weight; older samples keep the share given.
func (k *uslCurve) sample(l, pace, weight, keep float64) {
	x := [3]float64{1, l - 1, l * (l - 1)}
	for i := range x {
		for j := range x {
			k.normal[i][j] = keep*k.normal[i][j] + weight*x[i]*x[j]
		}
		k.moments[i] = keep*k.moments[i] + weight*x[i]*pace
	}
}

// fit solves for the law's terms, pulled to the prior where samples are few; σ and κ stay in [0, 1].
func (k *uslCurve) fit(prior [3]float64) {
	var pull [3]float64
	for i := range pull {
		pull[i] = curvePrior * (1 + k.normal[i][i]/(1+k.normal[0][0]))
	}
	c := solveNonNegative(k.normal, k.moments, prior, pull, solverRounds)
	c[0] = max(c[0], 1e-4)
	c[1], c[2] = min(c[1], c[0]), min(c[2], c[0])
	k.terms = c
}

// speed is f(L), the law fitted: the speed at concurrency L against that at 1.
func (k *uslCurve) speed(x float64) float64 {
	return k.terms[0] / (k.terms[0] + k.terms[1]*(x-1) + k.terms[2]*x*(x-1))
}

// solveNonNegative finds non-negative c with a·c = b in the least-squares sense, each term pulled to its
// prior with a weight, by projected coordinate descent.
func solveNonNegative(a [3][3]float64, b, prior, pull [3]float64, sweeps int) [3]float64 {
	c := prior
	for range sweeps {
		for i := range c {
			s := b[i]
			for j := range c {
				if j != i {
					s -= a[i][j] * c[j]
				}
			}
			c[i] = max(0, (s+pull[i]*prior[i])/(a[i][i]+pull[i]))
		}
	}
	return c
}

// curveOf is the writer's own fit, or its kind's until a stream of ours has ended there.
func (s *Scheduler) curveOf(e *engine) *uslCurve {
	if e.curve.terms[0] == 0 {
		return &s.kinds[e.Kind].curve
	}
	return &e.curve
}

func (s *Scheduler) learnDecode(q *request, e *engine) {
	s.recordEvidence(e, 0)
	tokens := s.expectedOutputTokens(q)
	if q.streamStartedAt == 0 || tokens <= 1 || s.now <= q.streamStartedAt { // within one step: no time to learn from
		return
	}
	l, pace := max(1, (q.streamConcurrency+s.concurrency(e))/2), (s.now-q.streamStartedAt)/tokens
	k, class := &s.kinds[e.Kind].curve, &s.classes[q.Class]
	class.streamTimes = append(class.streamTimes, (s.now-q.streamStartedAt)*s.curveOf(e).speed(l))
	class.streamTimes = class.streamTimes[max(0, len(class.streamTimes)-streamTimesKept):]
	if len(class.streamTimes) >= streamTimesKept/8 {
		class.outputShare = meanOverQuantile(class.streamTimes, 0.99)
	}
	weight := tokens / tokensPerSample // the fit is time over tokens in sum; means of rough ratios are too slow
	k.sample(l, pace, weight, fitMemory)
	k.fit(k.terms)
	e.curve.sample(l, pace, weight, fitMemory)
	e.curve.fit(k.terms)
}

// concurrency estimates L, all routers' streams at a writer: as reported, and ours since; unreported, ours alone.
func (s *Scheduler) concurrency(e *engine) float64 {
	own, _, fresh, _ := s.sinceReport(e)
	return max(own, s.kinds[e.Kind].reportedStreams.drawnTo(reportedLoad(&e.report, streamsAtFullUtilization), s.reportFreshness(e))+fresh)
}
