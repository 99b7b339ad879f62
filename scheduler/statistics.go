package scheduler

import (
	"math"
	"slices"
)

// This file implements the running statistics of the performance models.

const (
	// kindGain is the weight of the newest outcome or report in the mean of its engine kind or role.
	kindGain = 0.05
	// meanDecayTime is the time constant, in seconds, with which a decayingMean returns to its prior.
	meanDecayTime = 5.0
	// rateWindow is the time constant, in seconds, over which the rates of arrivals and of completed work are averaged.
	rateWindow = 10.0
	// forgettingFactor is the factor by which each new sample of a least-squares fit reduces the weight of the older samples.
	forgettingFactor = 0.98
)

// decayingMean is a running mean that returns to a prior while no value is added. As a result, an engine or a link that was slow once is
// tried again.
type decayingMean struct {
	mean      float64
	updatedAt float64
	samples   int
}

// add moves the mean toward a value by a gain. The first value becomes the mean.
func (g *decayingMean) add(now, value, gain float64) {
	if g.samples == 0 {
		gain = 1
	}
	g.mean += gain * (value - g.mean)
	g.updatedAt = now
	g.samples++
}

// get returns the mean after its decay toward the prior since the latest value. The time constant is in seconds; 0 means no decay.
func (g *decayingMean) get(now, prior, timeConstant float64) float64 {
	if g.samples == 0 {
		return prior
	}
	if timeConstant <= 0 {
		return g.mean
	}
	return prior + (g.mean-prior)*math.Exp(-(now-g.updatedAt)/timeConstant)
}

// blend returns the weighted mean of the running mean and a value, with a weight of the value from 0 to 1.
func (g *decayingMean) blend(value, weight float64) float64 { return g.mean + (value-g.mean)*weight }

// linearFit fits y = a + bx by least squares with exponential forgetting. Its fields are weighted sums over the samples.
type linearFit struct{ n, x, y, xx, xy float64 }

// add adds a sample. The weights of older samples are multiplied by retention.
func (f *linearFit) add(x, y, retention float64) {
	f.n = retention*f.n + 1
	f.x = retention*f.x + x
	f.y = retention*f.y + y
	f.xx = retention*f.xx + x*x
	f.xy = retention*f.xy + x*y
}

// slope returns b, regularized toward a prior. priorWeight is the sum of squared deviations of x that gives the samples equal weight.
func (f *linearFit) slope(prior, priorWeight float64) float64 {
	n := max(1, f.n)
	return (f.xy - f.x*f.y/n + priorWeight*prior) / (f.xx - f.x*f.x/n + priorWeight)
}

// decayingRate is a sum that decays exponentially. Divided by the time constant of the decay, it is a rate per second.
type decayingRate struct {
	sum       float64
	updatedAt float64
}

func (r *decayingRate) add(now, weight, timeConstant float64) {
	r.sum = r.sum*math.Exp(-(now-r.updatedAt)/timeConstant) + weight
	r.updatedAt = now
}

func (r *decayingRate) get(now, timeConstant float64) float64 {
	return r.sum * math.Exp(-(now-r.updatedAt)/timeConstant) / timeConstant
}

// meanToQuantileRatio returns the mean of the values divided by the given quantile of them.
func meanToQuantileRatio(values []float64, quantile float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	return sum / float64(len(sorted)) / sorted[int(quantile*float64(len(sorted)-1))]
}
