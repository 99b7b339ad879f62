package connreuse

import (
	"testing"

	"dillroute/scheduler"

	"pgregory.net/rapid"
)

func TestLossesShortenTheRest(t *testing.T) {
	s := New(30)
	if s.MaxIdle(0) != most {
		t.Fatal(s.MaxIdle(0))
	}
	if New(4).MaxIdle(0) != 2 {
		t.Fatal("engines that close sooner are told of")
	}
	s.ObserveLoss(1, 2)
	if l := s.MaxIdle(1); l != 0.5 {
		t.Fatal(l)
	}
	if l := s.MaxIdle(31); !(l > 0.9 && l <= most) {
		t.Fatalf("after a while without a loss: %g", l)
	}
	s.ObserveLoss(32, 0.01)
	if s.MaxIdle(33) != 0 || s.MaxIdle(32+keepOff+1) == 0 {
		t.Fatal("where all are lost none is used, for a while")
	}
}

// Over all stories the limit stays within its bounds, and a connection that rested as long as one just lost is not used.
func TestLimitProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(rapid.Float64Range(0, 60).Draw(t, "idle")), 0.0
		for range rapid.IntRange(0, 50).Draw(t, "n") {
			now += rapid.Float64Range(0, 20).Draw(t, "dt")
			if rapid.Bool().Draw(t, "lost") {
				rested := rapid.Float64Range(0, 60).Draw(t, "rested")
				s.ObserveLoss(now, rested)
				if l := s.MaxIdle(now); l > 0 && l >= rested && l > least {
					t.Fatalf("limit %g after a loss at %g", l, rested)
				}
			}
			if l := s.MaxIdle(now); l < 0 || l > s.top {
				t.Fatal(l)
			}
		}
	})
}

func TestWhatMustNotRunTwiceGetsANewConnection(t *testing.T) {
	if ReuseAllowed(scheduler.AtMostOnce, false) || ReuseAllowed(scheduler.IdempotentByKey, false) || !ReuseAllowed(scheduler.AtMostOnce, true) || !ReuseAllowed(scheduler.Idempotent, false) {
		t.Fatal("only what may be repeated, and reads, go out on kept connections")
	}
}
