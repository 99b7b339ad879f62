package scheduler

import (
	"math"
	"slices"
)

// This file holds the running statistics from which the performance models predict.

const (
	// kindGain is the weight of one outcome or report in the mean of its engine kind or role.
	kindGain = 0.05
	// forgetTime is the time constant, in seconds, with which a gauge returns to its prior.
	forgetTime = 5.0
	// rateWindow is the time constant, in seconds, over which the rates of arrivals and of completed work are averaged.
	rateWindow = 10.0
	// fitMemory is the share of the older samples' weight that a least-squares fit keeps at each new sample.
	fitMemory = 0.98
)

// gauge is a running mean that returns to a prior while nothing is learned, so that an engine or a link that was slow once
// is tried again.
type gauge struct {
	mean      float64
	updatedAt float64
	samples   int
}

// add moves the mean toward a value by a gain. The first value becomes the mean.
func (g *gauge) add(now, value, gain float64) {
	if g.samples == 0 {
		gain = 1
	}
	g.mean += gain * (value - g.mean)
	g.updatedAt = now
	g.samples++
}

// get returns the mean, drawn to the prior with a time constant in seconds; 0 draws never.
func (g *gauge) get(now, prior, timeConstant float64) float64 {
	if g.samples == 0 {
		return prior
	}
	if timeConstant <= 0 {
		return g.mean
	}
	return prior + (g.mean-prior)*math.Exp(-(now-g.updatedAt)/timeConstant)
}

// drawnTo returns the mean, drawn to a value by the trust in that value, from 0 to 1.
func (g *gauge) drawnTo(value, trust float64) float64 { return g.mean + (value-g.mean)*trust }

// linearFit fits y = a + bx by least squares with forgetting.
type linearFit struct{ n, x, y, xx, xy float64 }

// add adds a sample. Older samples keep a share of their weight.
func (f *linearFit) add(x, y, keep float64) {
	f.n = keep*f.n + 1
	f.x = keep*f.x + x
	f.y = keep*f.y + y
	f.xx = keep*f.xx + x*x
	f.xy = keep*f.xy + x*y
}

// slope returns b, drawn to a prior that weighs as much as a squared deviation of x.
func (f *linearFit) slope(prior, priorWeight float64) float64 {
	n := max(1, f.n)
	return (f.xy - f.x*f.y/n + priorWeight*prior) / (f.xx - f.x*f.x/n + priorWeight)
}

// decayingRate is a sum that decays with a time constant; divided by that, it is a rate.
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

// meanOverQuantile returns the mean of values over their value at a quantile.
func meanOverQuantile(values []float64, quantile float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	sum := 0.0
	for _, value := range sorted {
		sum += value
	}
	return sum / float64(len(sorted)) / sorted[int(quantile*float64(len(sorted)-1))]
}
