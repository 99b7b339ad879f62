package scheduler

import (
	"math"
	"math/rand"
	"testing"
)

func TestCurveFitsAKnownLaw(t *testing.T) {
	var curve uslCurve
	curve.terms = [3]float64{0.02, 0, 0}
	random := rand.New(rand.NewSource(1))
	law := func(l float64) float64 { return 0.02 * (1 + 0.03*(l-1) + 0.0005*l*(l-1)) }
	for i := 0; i < 3000; i++ {
		l := float64(1 + random.Intn(60))
		curve.sample(l, law(l), 1)
		curve.fit(curve.terms)
	}
	for _, l := range []float64{1, 10, 30, 60} {
		if got, want := curve.terms[0]/curve.speed(l), law(l); math.Abs(got-want) > 0.1*want {
			t.Errorf("seconds per token at concurrency %g: got %g, want %g", l, got, want)
		}
	}
}

func TestCurveTermsStayInRangeOnDegenerateSamples(t *testing.T) {
	for _, secondsPerToken := range []float64{0, 1e-9, 1e6} {
		var curve uslCurve
		curve.terms = [3]float64{0.02, 0, 0}
		for i := 0; i < 200; i++ {
			curve.sample(float64(1+i%2*40), secondsPerToken*float64(200-i), 1)
			curve.fit(curve.terms)
			terms := curve.terms
			if !(terms[0] > 0) || terms[1] < 0 || terms[2] < 0 || terms[1] > terms[0] || terms[2] > terms[0] {
				t.Fatalf("fitted terms are out of range: %v", terms)
			}
			if speed := curve.speed(50); !(speed > 0 && speed <= 1) {
				t.Fatalf("got speed %g, want above 0 and at most 1", speed)
			}
		}
	}
}

func TestRoughDurationHintsDoNotSlowTheCurve(t *testing.T) {
	// Each response has 100 tokens at 0.03 s per token. The duration hints stand for a third of these tokens or three times as many.
	sched := startScheduler(t, testConfig(), testFleet())
	e := sched.engines["w0"]
	for i := 0; i < 300; i++ {
		req := &request{Request: testRequest("a", 0), class: &sched.cfg.Classes[0], stage: stageStreaming,
			stream: streamStart{startedAt: 1, concurrency: 1}}
		req.MaxOutputTokens, req.DurationHint = 800, 0.06*100*[2]float64{1.0 / 3, 3}[i%2]
		sched.now = 1 + 3
		sched.learnDecode(req, e)
	}
	if secondsPerToken := e.curve.terms[0]; secondsPerToken > 0.03*100*2/(100.0/3+300)+0.004 {
		t.Fatalf("a lone stream is predicted to need %g s per token, which is too slow", secondsPerToken)
	}
}
