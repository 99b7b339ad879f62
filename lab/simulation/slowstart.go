package simulation

import (
	"math"
	"time"
)

// arrival is a request that reached a warming engine.
type arrival struct {
	at     time.Time
	weight float64 // its class's work as a multiple of the mean
}

// slowStartLoad is what a warming engine has received in the window that ends now, and what it can serve in one, both in requests of
// mean work.
type slowStartLoad struct{ received, capacity float64 }

// limit returns what the engine may receive: its capacity and what is put down to chance, which is more in small windows.
func (l slowStartLoad) limit() float64 {
	const smallWindow = 30
	n := l.capacity
	if n < smallWindow {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// speed returns the part of its full speed at which the engine works.
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

// slowStartSpeed returns the part of its full speed at which an engine works at an age since its cold start (s).
func (s *Site) slowStartSpeed(age float64) float64 {
	return s.SlowStartShare + (1-s.SlowStartShare)*age/s.SlowStartSeconds
}

// warmingUp reports whether the engine is in slow start.
func (e *engine) warmingUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.startedAt.IsZero() && time.Since(e.startedAt).Seconds() < e.fleet.site.SlowStartSeconds
}

// slowStartLoad returns the load of the window that ends now; false = the engine is not in slow start. The caller has the lock.
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
	load.capacity = s.OverloadMultiple * s.slowStartSpeed(age) * s.SlowStartWindow / s.work(e.kind).at(e.kind)
	return load, true
}

// requestArrived counts a request at a warming engine. Beyond the limit the engine is overloaded and answers nothing more.
func (e *engine) requestArrived(q *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.fleet.site
	now := time.Now()
	if _, warming := e.slowStartLoad(now); !warming {
		return
	}
	weight := s.Classes[q.class].work(e.kind).at(e.kind) / s.work(e.kind).at(e.kind)
	e.arrivals = append(e.arrivals, arrival{at: now, weight: weight})
	load, _ := e.slowStartLoad(now)
	e.fleet.noteSlowStartUse(load.received / load.limit())
	if load.received > load.limit() && !e.overloaded {
		e.overloaded = true
		e.fleet.violation("rule 4: %s, %.1f s after its start, got %.1f requests of mean work (%d) in %.1f s; N is %.1f",
			e.ID, now.Sub(e.startedAt).Seconds(), load.received, len(e.arrivals), s.SlowStartWindow, load.capacity)
	}
}

// hasSlowStartCapacity reports whether the engine may be sent one more request without relying on chance.
func (e *engine) hasSlowStartCapacity() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	load, warming := e.slowStartLoad(time.Now())
	return !warming || load.received+1 <= load.capacity
}
