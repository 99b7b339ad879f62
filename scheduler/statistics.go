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

// gauge is a running mean that returns to its prior while nothing is learned, so that an engine
// or a link once slow is tried again.
type gauge struct {
	mean, updatedAt float64
	samples         int
}

func (g *gauge) add(now, x, gain float64) {
	if g.samples == 0 {
		gain = 1
	}
	g.mean, g.updatedAt, g.samples = g.mean+gain*(x-g.mean), now, g.samples+1
}

// get returns the mean, drawn to the prior with the time constant given; 0 = never.
func (g *gauge) get(now, prior, forget float64) float64 {
	if g.samples == 0 {
		return prior
	}
	if forget <= 0 {
		return g.mean
	}
	return prior + (g.mean-prior)*math.Exp(-(now-g.updatedAt)/forget)
}

// drawnTo draws the mean to a value by the trust in it.
func (g *gauge) drawnTo(v, trust float64) float64 { return g.mean + (v-g.mean)*trust }

// linearFit fits y = a + bx by least squares with forgetting.
type linearFit struct{ n, x, y, xx, xy float64 }

func (f *linearFit) add(x, y, keep float64) {
	f.n, f.x, f.y = keep*f.n+1, keep*f.x+x, keep*f.y+y
	f.xx, f.xy = keep*f.xx+x*x, keep*f.xy+x*y
}

// slope returns b, drawn to a prior that is worth so much of x's squared deviation.
func (f *linearFit) slope(prior, worth float64) float64 {
	n := max(1, f.n)
	return (f.xy - f.x*f.y/n + worth*prior) / (f.xx - f.x*f.x/n + worth)
}

// decayingRate is a decaying sum, divided by its time constant.
type decayingRate struct{ sum, updatedAt float64 }

func (x *decayingRate) add(now, weight, span float64) {
	x.sum, x.updatedAt = x.sum*math.Exp(-(now-x.updatedAt)/span)+weight, now
}

func (x *decayingRate) get(now, span float64) float64 {
	return x.sum * math.Exp(-(now-x.updatedAt)/span) / span
}

// meanOverQuantile returns the mean of xs over their value at a quantile.
func meanOverQuantile(xs []float64, quantile float64) float64 {
	ys := slices.Sorted(slices.Values(xs))
	sum := 0.0
	for _, y := range ys {
		sum += y
	}
	return sum / float64(len(ys)) / ys[int(quantile*float64(len(ys)-1))]
}
