// Package clock gives a process the time in seconds.
//
// The wall clock of a machine may be stepped, forward or back, while a process runs. Every span (a deadline, a window, a backoff,
// a grace period) is therefore measured by the monotonic clock. This is the only place of the product that turns the time of day
// into a number; a test holds that.
package clock

import "time"

// Clock gives seconds since 1970 that never go back: the wall clock when it was made, advanced by the monotonic clock. It is safe
// for concurrent use. The zero Clock is no clock; options use it as "none given".
type Clock struct {
	base  float64 // s since 1970 at start
	start time.Time
}

// New returns a clock that starts now.
func New() Clock {
	now := time.Now()
	return Clock{base: unixSeconds(now), start: now}
}

// Now returns the time of the clock (s).
func (c Clock) Now() float64 { return c.base + time.Since(c.start).Seconds() }

// TimeAt returns the moment at which the clock shows so many seconds.
func (c Clock) TimeAt(seconds float64) time.Time {
	return c.start.Add(time.Duration((seconds - c.base) * float64(time.Second)))
}

// SecondsAt returns what the clock shows at a moment of this process (s).
func (c Clock) SecondsAt(t time.Time) float64 { return c.base + t.Sub(c.start).Seconds() }

// Wall returns what the wall clock shows now (s), stepped or not. It is of use only beside time stamps of other machines.
func (c Clock) Wall() float64 { return unixSeconds(time.Now()) }

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }
