package connreuse

import (
	"testing"

	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func TestLossShortensMaxIdle(t *testing.T) {
	policy := New(30)
	if got := policy.MaxIdle(0); got != longestIdle {
		t.Fatalf("without a loss: got %g, want %g", got, longestIdle)
	}
	if got := New(4).MaxIdle(0); got != 2 {
		t.Fatalf("with an idle timeout of 4 s: got %g, want 2", got)
	}
	policy.ObserveLoss(1, 2)
	if got := policy.MaxIdle(1); got != 0.5 {
		t.Fatalf("after a loss at 2 s: got %g, want 0.5", got)
	}
	if got := policy.MaxIdle(31); !(got > 0.9 && got <= longestIdle) {
		t.Fatalf("30 s after a loss: got %g, want 0.9 to %g", got, longestIdle)
	}
	policy.ObserveLoss(32, 0.01)
	if policy.MaxIdle(33) != 0 || policy.MaxIdle(32+pauseAfterLoss+1) == 0 {
		t.Fatal("after a loss at 0.01 s reuse does not pause, or pauses forever")
	}
}

// In any sequence of events the limit stays within its bounds, and a connection that was idle as long as one just lost is not reused.
func TestMaxIdleStaysWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := New(rapid.Float64Range(0, 60).Draw(t, "idle"))
		now := 0.0
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			now += rapid.Float64Range(0, 20).Draw(t, "dt")
			if rapid.Bool().Draw(t, "lost") {
				idle := rapid.Float64Range(0, 60).Draw(t, "idle before loss")
				policy.ObserveLoss(now, idle)
				if limit := policy.MaxIdle(now); limit > 0 && limit >= idle && limit > shortestIdle {
					t.Fatalf("limit %g after a loss at %g", limit, idle)
				}
			}
			if limit := policy.MaxIdle(now); limit < 0 || limit > policy.upperLimit {
				t.Fatalf("limit %g, want 0 to %g", limit, policy.upperLimit)
			}
		}
	})
}

func TestAtMostOnceNeedsNewConnection(t *testing.T) {
	for _, c := range []struct {
		effect  scheduler.Effect
		prefill bool
		want    bool
	}{
		{scheduler.AtMostOnce, false, false},
		{scheduler.IdempotentByKey, false, false},
		{scheduler.AtMostOnce, true, true},
		{scheduler.Idempotent, false, true},
	} {
		if got := ReuseAllowed(c.effect, c.prefill); got != c.want {
			t.Errorf("effect %v, prefill %v: got %v, want %v", c.effect, c.prefill, got, c.want)
		}
	}
}
