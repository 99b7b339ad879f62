package batching

import (
	"testing"

	"pgregory.net/rapid"
)

// Passes use no more than their share of the time as long as none takes more than that share of maxPause. The first pass does not wait.
func TestPassesKeepTimeShare(t *testing.T) {
	const longestPass = maxPause * maxTimeShare / (1 - maxTimeShare)
	rapid.Check(t, func(t *rapid.T) {
		const start = 1000.0
		interval := DispatchInterval{Tick: rapid.Float64Range(1e-4, 1e-2).Draw(t, "tick")}
		now := start
		spent := 0.0
		if interval.Next() > now {
			t.Fatal("the first pass waits")
		}
		for range rapid.IntRange(1, 50).Draw(t, "passes") {
			took := rapid.Float64Range(0, longestPass).Draw(t, "took")
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

// Guards against a scheduler that is not called for a multiple of a long pass, although it owns expiry and retries: the next pass follows
// within maxPause or a tick, and a pause of at least half of maxPause remains for other work of the event loop.
func TestLongPassDoesNotDelayTheNextOneFurther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const start = 1000.0
		interval := DispatchInterval{Tick: rapid.Float64Range(1e-4, 1e-2).Draw(t, "tick")}
		took := rapid.Float64Range(0, 20).Draw(t, "took")
		interval.RecordPass(start, took)
		pause := interval.Next() - (start + took)
		if pause > max(maxPause, interval.Tick)+1e-9 {
			t.Fatalf("the next pass waits for %.4f s after one of %.4f s", pause, took)
		}
		if took > maxPause && pause < maxPause/2 {
			t.Fatalf("only %.4f s remain after a pass of %.4f s", pause, took)
		}
	})
}
