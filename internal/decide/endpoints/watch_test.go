package endpoints

import (
	"testing"

	"pgregory.net/rapid"
)

// A change counts as notified a fixed time after its source had it, even if calls fail. The worst case is a watch that became silent
// just before the change, followed by two more calls that are silent, refused, broken or corrupted after any part of their time.
func TestNextCallComesBeforeNotificationTime(t *testing.T) {
	const notifiedAfter = 6.0
	timeouts := NewWatchTimeouts(notifiedAfter)
	rapid.Check(t, func(t *rapid.T) {
		poller := NewAgentPoller(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		now := 100.0
		for range rapid.IntRange(0, 40).Draw(t, "responses before") { // the call budget may be nearly used up
			now = poller.AfterCall(now, true)
		}
		silentSince := now // the change comes right after this
		now = timeouts.WatchDeadline(now)
		for i := range rapid.IntRange(0, 2).Draw(t, "failures") {
			if rapid.Bool().Draw(t, "silent") {
				now = timeouts.CallDeadline(now, i+1)
			} else {
				now = poller.AfterCall(now+rapid.Float64Range(0, timeouts.FirstByte).Draw(t, "connecting"), false)
			}
		}
		if now >= silentSince+notifiedAfter {
			t.Fatalf("the next call is made %.2f s after the watch became silent, which is too late", now-silentSince)
		}
	})
}

// After an outage of any length the source is polled well before a change at its recovery counts as notified.
func TestRecoveredSourceIsPolledInTime(t *testing.T) {
	const notifiedAfter = 6.0
	timeouts := NewWatchTimeouts(notifiedAfter)
	rapid.Check(t, func(t *rapid.T) {
		poller := NewAgentPoller(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "random") })
		now, recoveredAt := 100.0, 100+rapid.Float64Range(0.1, 60).Draw(t, "down for")
		lastCallAt := now
		for silent := 1; now < recoveredAt; silent++ {
			lastCallAt = now
			if rapid.Bool().Draw(t, "silent") {
				now = timeouts.CallDeadline(now, silent)
			} else {
				now = poller.AfterCall(now+rapid.Float64Range(0, timeouts.FirstByte).Draw(t, "connecting"), false)
			}
		}
		if now > recoveredAt+notifiedAfter/3 {
			t.Fatalf("recovered at %.2f, polled at %.2f, the call before started at %.2f", recoveredAt, now, lastCallAt)
		}
	})
}

// The deadline of a watch leaves time for further calls after a silent one.
func TestWatchTimeoutsFitNotificationTime(t *testing.T) {
	timeouts := NewWatchTimeouts(6)
	if got := timeouts.WatchDeadline(0); got > 3.5 || got <= timeouts.Hold {
		t.Errorf("the watch counts as silent after %g s with a hold of %g s, want after the hold and within 3.5 s", got, timeouts.Hold)
	}
	if timeouts.CompleteResponse > 2 || timeouts.FirstByte > 0.5 || timeouts.BetweenBytes > timeouts.CompleteResponse {
		t.Errorf("got %+v: a timeout is too long", timeouts)
	}
}
