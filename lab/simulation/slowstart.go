package simulation

import (
	"math"
	"time"
)

// arrival is a request that reached an engine in slow start.
type arrival struct {
	at     time.Time
	weight float64 // work of its class as a multiple of the mean
}

// slowStartLoad is the work that an engine in slow start has received in the window that ends now, and its capacity:
// OverloadMultiple times the work that it can process in one window. Both are in requests of mean work.
type slowStartLoad struct{ received, capacity float64 }

// limit returns the maximum work that the engine may receive in one window: the capacity plus an allowance for random variation. The
// allowance has a larger factor if the capacity is below smallWindow requests.
func (l slowStartLoad) limit() float64 {
	const smallWindow = 30
	n := l.capacity
	if n < smallWindow {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// speed returns the engine's current speed as a fraction of its full speed.
func (e *engine) speed() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	speed := 1.0
	age := time.Since(e.startedAt).Seconds()
	if !e.startedAt.IsZero() && age < e.fleet.site.SlowStartSeconds {
		speed = e.fleet.site.slowStartSpeed(age)
	}
	if e.fault == SlowsDown {
		speed *= slowSpeed
	}
	return speed
}

// slowStartSpeed returns the speed of an engine in slow start as a fraction of its full speed; age is the time since its cold start (s).
func (s *Site) slowStartSpeed(age float64) float64 {
	return s.SlowStartShare + (1-s.SlowStartShare)*age/s.SlowStartSeconds
}

// warmingUp reports whether the engine is in slow start.
func (e *engine) warmingUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.startedAt.IsZero() && time.Since(e.startedAt).Seconds() < e.fleet.site.SlowStartSeconds
}

// slowStartLoad returns the load in the window that ends now; false = the engine is not in slow start. The caller must hold e.mu.
func (e *engine) slowStartLoad(now time.Time) (slowStartLoad, bool) {
	s := &e.fleet.site
	age := now.Sub(e.startedAt).Seconds()
	if e.startedAt.IsZero() || age > s.SlowStartSeconds {
		return slowStartLoad{}, false
	}
	for len(e.arrivals) > 0 && now.Sub(e.arrivals[0].at).Seconds() >= s.SlowStartWindow {
		e.arrivals = e.arrivals[1:]
	}
	var load slowStartLoad
	for _, a := range e.arrivals {
		load.received += a.weight
	}
	load.capacity = s.OverloadMultiple * s.slowStartSpeed(age) * s.SlowStartWindow / s.work(e.kind).secondsOn(e.kind)
	return load, true
}

// requestArrived counts a request at an engine in slow start. An engine that has received more work than the limit is overloaded: it
// sends no more responses.
func (e *engine) requestArrived(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.fleet.site
	now := time.Now()
	if _, warming := e.slowStartLoad(now); !warming {
		return
	}
	weight := s.Classes[q.class].work(e.kind).secondsOn(e.kind) / s.work(e.kind).secondsOn(e.kind)
	e.arrivals = append(e.arrivals, arrival{at: now, weight: weight})
	load, _ := e.slowStartLoad(now)
	e.fleet.recordSlowStartUse(load.received / load.limit())
	if load.received > load.limit() && !e.overloaded {
		e.overloaded = true
		e.fleet.addViolation("rule 4: %s, %.1f s after its start, received %.1f requests of mean work (%d) in %.1f s; N is %.1f",
			e.ID, now.Sub(e.startedAt).Seconds(), load.received, len(e.arrivals), s.SlowStartWindow, load.capacity)
	}
}

// hasSlowStartCapacity reports whether the engine may be sent one more request without using the allowance for random variation.
func (e *engine) hasSlowStartCapacity() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	load, warming := e.slowStartLoad(time.Now())
	return !warming || load.received+1 <= load.capacity
}
