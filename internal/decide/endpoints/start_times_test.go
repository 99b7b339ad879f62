package endpoints

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const hour = 3600.0

// The local start time is never earlier than the true one, whichever of the two clocks was stepped.
func TestStartTimeIsNeverOlderWhicheverClockStepped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 1e9 + rapid.Float64Range(0, 1e6).Draw(t, "now")
		age := rapid.Float64Range(0, 1000).Draw(t, "age")
		step := rapid.SampledFrom([]float64{0, 2, -2, 30, -30, hour, -hour}).Draw(t, "step")
		wall, reported := now, now-age
		if rapid.Bool().Draw(t, "the node's own clock is wrong") {
			now += step
		} else {
			wall += step
		}
		local := NewStartTimes().LocalTime("e", reported, now, wall, 0)
		got := now - local
		if got < -1e-6 || got > age+1e-6 {
			t.Fatalf("an engine that started %g s ago has the age %g s; step %g", age, got, step)
		}
		if step == 0 && math.Abs(got-age) > 1e-6 {
			t.Fatalf("with clocks that agree: got %g, want %g", got, age)
		}
	})
}

func TestReportedStartTimeStaysAtItsLocalTime(t *testing.T) {
	s := NewStartTimes()
	firstLocal := s.LocalTime("e", 1000, 1010, 1010, 0)
	if again := s.LocalTime("e", 1000, 1020, 1020+hour, 0); again != firstLocal {
		t.Errorf("reported again after a step: got %g, want %g", again, firstLocal)
	}
	if later := s.LocalTime("e", 1030, 1031, 1031-hour, 0); later != 1030 {
		t.Errorf("a new start: got %g, want 1030", later)
	}
	if s.LocalTime("e", 0, 1040, 1040, 0) != 0 {
		t.Error("a start time of 0, which means long ago, does not stay 0")
	}
	if s.LocalTime("f", 900, 1040, 1040, 0); s.LocalTime("f", 900, 1050, 1050, 1049) != 900 {
		t.Error("a start that was reported before does not keep its local time")
	}
	s.Remove("f", 1060)
	if returnedLocal := s.LocalTime("f", 900, 1070, 1070, 1069); returnedLocal != 900 {
		t.Errorf("an engine that is listed again after a network partition: got %g, want 900", returnedLocal)
	}
	s.Remove("f", 1080)
	s.Retain(map[string]string{}, 1080+removedRetention+1)
	if len(s.records) != 0 {
		t.Error("an engine that was removed long ago is remembered")
	}
}

// An engine whose start was missing from the source's last response does not count as older than that response allows, even if the
// wall clock of the node's machine was ahead when the node started. The age by a correct clock is used if it is short enough for
// the source's report to be still on its way at that response.
func TestStartTimeWhenWallClockIsAhead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := 1e9 + rapid.Float64Range(0, 1e6).Draw(t, "now")
		age := rapid.Float64Range(0, maxReportDelay).Draw(t, "age")
		silence := rapid.Float64Range(0, 100).Draw(t, "since the last response")
		ahead := rapid.SampledFrom([]float64{0, hour, 24 * hour}).Draw(t, "ahead")
		got := now - NewStartTimes().LocalTime("e", now-ahead-age, now, now, now-silence)
		switch {
		case got > age+1e-6 || got < -1e-6:
			t.Fatalf("an engine that started %g s ago has the age %g s", age, got)
		case ahead == 0 && math.Abs(got-age) > 1e-6:
			t.Fatalf("with a correct clock: got %g, want %g", got, age)
		}
	})
}
