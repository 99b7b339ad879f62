// Package connreuse decides which connections to engines may carry another request. A kept connection saves a handshake; one
// that the engine has closed meanwhile, or that something between has dropped, costs an attempt that may have run, for the
// request was written to it. How long a connection lives is told at the most; how long it really does, only by losing some.
// It does no I/O and reads no clock; times are in seconds.
package connreuse

import "dillroute/scheduler"

// Our starting values.
const (
	told    = 0.5  // part of the time after which engines close a connection at the latest
	most    = 5.0  // and longest rest of a connection that is used again
	shrink  = 0.25 // part of the rest at which one was lost that others may still have
	regrow  = 30.0 // s in which the limit doubles while none is lost
	least   = 0.02 // below this none is used again; it is where the limit grows from
	keepOff = 10.0 // s without any reuse where even such short rests were lost
)

// Policy is what was seen of kept connections. It is not safe for concurrent use.
type Policy struct {
	top   float64 // limit while none is lost
	limit float64
	at    float64 // when limit was last set
	off   float64 // until when none is used again
}

// New returns a state; idle is when engines close a connection at the latest, 0 = not told.
func New(idle float64) *Policy {
	s := &Policy{top: most}
	if idle > 0 {
		s.top = min(s.top, told*idle)
	}
	s.limit = s.top
	return s
}

// MaxIdle is how long a connection may have rested that is used again; 0 = none may.
func (s *Policy) MaxIdle(now float64) float64 {
	if dt := now - s.at; dt > 0 {
		s.limit, s.at = min(s.top, s.limit*(1+dt/regrow)), now
	}
	if now < s.off {
		return 0
	}
	return s.limit
}

// ObserveLoss files that a connection which had rested so long broke under its next request before a byte of an answer came.
func (s *Policy) ObserveLoss(now, rested float64) {
	s.MaxIdle(now)
	s.limit = max(min(least, s.top), min(s.limit, shrink*rested))
	if rested <= least/shrink {
		s.off = now + keepOff
	}
}

// ReuseAllowed tells whether an attempt may go out on a kept connection at all. One whose effect must not happen twice may not: a
// loss there could not be told from a request that has run.
func ReuseAllowed(effect scheduler.Effect, reads bool) bool {
	return reads || effect == scheduler.Idempotent
}
