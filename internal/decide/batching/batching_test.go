package batching

import (
	"testing"

	"pgregory.net/rapid"
)

// However long passes take, they use no more than their share of the time, and the first pass does not wait.
func TestPassesKeepTimeShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = 1000.0
		interval := DispatchInterval{Tick: rapid.Float64Range(1e-4, 1e-2).Draw(t, "tick")}
		now := start
		spent := 0.0
		if interval.Next() > now {
			t.Fatal("the first pass waits")
		}
		for range rapid.IntRange(1, 50).Draw(t, "passes") {
			took := rapid.Float64Range(0, 0.05).Draw(t, "took")
			interval.RecordPass(now, took)
			if interval.Next() < now+interval.Tick {
				t.Fatal("two passes within a tick")
			}
			spent += took
			now = max(interval.Next(), now+took)
			if spent > maxTimeShare*(now-start)+1e-9 {
				t.Fatalf("passes took %.4f s of %.4f s", spent, now-start)
			}
		}
	})
}
