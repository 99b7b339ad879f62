package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// A poller stays within its call budget, regardless of the results and durations of its calls.
func TestPollerKeepsCallBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poller := NewPoller(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		at := poller.FirstCall(50)
		firstCall, n := at, 1
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			took := rapid.SampledFrom([]float64{0, 0, 0.01, 1, 30}).Draw(t, "took")
			next := poller.AfterCall(at+took, rapid.Bool().Draw(t, "good"))
			if next < at+took {
				t.Fatalf("the next call is at %.3f, before the last call ended at %.3f", next, at+took)
			}
			if next > at+took+poller.MaxBackoff+60 {
				t.Fatalf("the next call comes only after %.1f s", next-at-took)
			}
			at = next
			if n++; float64(n) > poller.Burst+1+poller.CallsPerSecond*(at-firstCall)+1e-6 {
				t.Fatalf("%d calls in %.3f s exceed the call budget", n, at-firstCall)
			}
		}
	})
}

func TestBackoffSpreadsCallsOfManyNodes(t *testing.T) {
	state := uint64(1)
	slots := map[int]int{}
	for range 300 {
		poller := NewPoller(func() float64 {
			state = state*6364136223846793005 + 1442695040888963407
			return float64(state>>11) / (1 << 53)
		})
		at := poller.FirstCall(0)
		for range 4 {
			at = poller.AfterCall(at, false)
		}
		slots[int(at*10)]++
	}
	most := 0
	for _, n := range slots {
		most = max(most, n)
	}
	if most > 60 {
		t.Fatalf("%d of 300 nodes call within a tenth of a second, want at most 60: %s", most, fmt.Sprint(slots))
	}
}

// A source that responds immediately instead of holding its calls is polled within the call budget, and a watch on it still continues.
func TestAgentPollerContinuesWatchWithinCallBudget(t *testing.T) {
	poller, now, calls := NewAgentPoller(func() float64 { return 0.5 }), 100.0, 0
	for end := now + 10; now < end; calls++ {
		at := poller.AfterCall(now, true)
		if at > now+0.2 {
			t.Fatalf("the watch ends: the next call comes %g s later", at-now)
		}
		now = at
	}
	if calls > 130 {
		t.Fatalf("%d calls in 10 s, want at most 130", calls)
	}
	if at := poller.AfterCall(now, false); at > now+1.2 {
		t.Fatalf("backoff of %g s after a failure", at-now)
	}
}
