package endpoints

import (
	"testing"

	"pgregory.net/rapid"
)

// A change counts as told a fixed time after its source had it, whatever our calls came to: a watch that falls silent the
// moment before, and two more calls that are silent, refused, broken or spoilt after any part of their time.
func TestAChangeIsHeardInTime(t *testing.T) {
	const told = 6.0
	w := NewWatching(told)
	rapid.Check(t, func(t *rapid.T) {
		a := NewWatcher(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "chance") })
		now := 100.0
		for range rapid.IntRange(0, 40).Draw(t, "answers before") { // the budget may be all but spent
			now = a.After(now, true)
		}
		silentSince := now // the change comes at once after
		now = w.Silent(now)
		for i := range rapid.IntRange(0, 2).Draw(t, "failures") {
			if rapid.Bool().Draw(t, "silent") {
				now = w.Patience(now, i+1)
			} else {
				now = a.After(now+rapid.Float64Range(0, w.First).Draw(t, "connecting"), false)
			}
		}
		if now >= silentSince+told {
			t.Fatalf("asked only %.2f s after the watch fell silent", now-silentSince)
		}
	})
}

// After an outage of any length the source is asked again well before a change at its return counts as told.
func TestAReturnIsNoticedInTime(t *testing.T) {
	const told = 6.0
	w := NewWatching(told)
	rapid.Check(t, func(t *rapid.T) {
		a := NewWatcher(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "chance") })
		now, back := 100.0, 100+rapid.Float64Range(0.1, 60).Draw(t, "down for")
		begun := now
		for silent := 1; now < back; silent++ {
			begun = now
			if rapid.Bool().Draw(t, "silent") {
				now = w.Patience(now, silent)
			} else {
				now = a.After(now+rapid.Float64Range(0, w.First).Draw(t, "connecting"), false)
			}
		}
		if now > back+told/3 {
			t.Fatalf("back at %.2f, asked at %.2f, the call before began at %.2f", back, now, begun)
		}
	})
}

// A watch says how long it may wait, and what follows a silent one fits behind it.
func TestWatchingFitsItsClock(t *testing.T) {
	w := NewWatching(6)
	if got := w.Silent(0); got > 3.5 || got <= w.Hold {
		t.Errorf("silent after %g s of a hold of %g", got, w.Hold)
	}
	if w.Whole > 2 || w.First > 0.5 || w.Idle > w.Whole {
		t.Errorf("%+v", w)
	}
}
