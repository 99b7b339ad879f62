package batching

import (
	"testing"

	"pgregory.net/rapid"
)

// However long passes take, they get no more than their share of the time, and an idle owner asks at once.
func TestPassesKeepTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := DispatchInterval{Tick: rapid.Float64Range(1e-4, 1e-2).Draw(t, "tick")}
		now, spent, start := 1000.0, 0.0, 1000.0
		if b.Next() > now {
			t.Fatal("the first pass waits")
		}
		for range rapid.IntRange(1, 50).Draw(t, "passes") {
			took := rapid.Float64Range(0, 0.05).Draw(t, "took")
			b.Done(now, took)
			if b.Next() < now+b.Tick {
				t.Fatal("two passes within a tick")
			}
			spent += took
			now = max(b.Next(), now+took)
			if spent > share*(now-start)+1e-9 {
				t.Fatalf("%.4f s of %.4f s", spent, now-start)
			}
		}
	})
}
