// Package clock provides the time in seconds.
//
// The wall clock of a machine may be stepped, forward or back, while a process runs. Every duration (a deadline, a window, a
// backoff, a grace period) is therefore measured by the monotonic clock. This package is the only place outside the lab that
// converts the wall clock into a number; a test checks that.
package clock

import "time"

// Clock counts the seconds since 1970 and never goes back: it starts at the wall-clock time of its creation and is advanced by the
// monotonic clock. It is safe for concurrent use. The zero Clock is not usable; as the value of an option it means that no clock was given.
type Clock struct {
	base  float64 // wall-clock time at start, in seconds since 1970
	start time.Time
}

// New returns a clock that starts at the present wall-clock time.
func New() Clock {
	now := time.Now()
	return Clock{base: unixSeconds(now), start: now}
}

// Now returns the clock's present time (s).
func (c Clock) Now() float64 { return c.base + time.Since(c.start).Seconds() }

// TimeAt converts a time of the clock (s) to a time.Time.
func (c Clock) TimeAt(seconds float64) time.Time {
	return c.start.Add(time.Duration((seconds - c.base) * float64(time.Second)))
}

// SecondsAt converts a time.Time of this process to a time of the clock (s).
func (c Clock) SecondsAt(t time.Time) float64 { return c.base + t.Sub(c.start).Seconds() }

// Wall returns the present wall-clock time (s), which may be stepped. Its only use is to compare it with time stamps of other machines.
func (c Clock) Wall() float64 { return unixSeconds(time.Now()) }

func unixSeconds(t time.Time) float64 { return float64(t.UnixNano()) / float64(time.Second) }
