// Package connreuse decides which idle connections to engines may carry another request.
//
// A reused connection saves a handshake. One that the engine has closed meanwhile, or that a middlebox has dropped, costs an
// attempt that may have run, because the request was written to it. The engine's idle timeout is known only as an upper bound;
// how long connections really stay open shows only when some are lost. The package does no I/O and reads no clock; times are in
// seconds.
package connreuse

import "dillroute/scheduler"

// Starting values that no page prescribes.
const (
	idleTimeoutShare = 0.5  // of the engines' idle timeout for which a connection may be idle
	longestIdle      = 5.0  // s; the limit never exceeds it
	lossShare        = 0.25 // of the idle time of a lost connection that others may still have
	doublingTime     = 30.0 // s in which the limit doubles while no connection is lost
	shortestIdle     = 0.02 // s; the limit never falls below it
	pauseAfterLoss   = 10.0 // s without any reuse after a connection was lost that had been idle for about as little
)

// Policy limits the idle time by the losses that were observed. It is not safe for concurrent use.
type Policy struct {
	upperLimit  float64 // limit while no connection is lost
	limit       float64
	grownAt     float64 // when limit last grew
	pausedUntil float64 // no connection is reused before
}

// New returns the policy for engines that close a connection after idleTimeout at the latest (s); 0 = unknown.
func New(idleTimeout float64) *Policy {
	p := &Policy{upperLimit: longestIdle}
	if idleTimeout > 0 {
		p.upperLimit = min(p.upperLimit, idleTimeoutShare*idleTimeout)
	}
	p.limit = p.upperLimit
	return p
}

// MaxIdle returns for how long a connection may have been idle that is reused (s); 0 = none may be reused.
func (p *Policy) MaxIdle(now float64) float64 {
	p.grow(now)
	if now < p.pausedUntil {
		return 0
	}
	return p.limit
}

// grow raises the limit by the time that has passed.
func (p *Policy) grow(now float64) {
	elapsed := now - p.grownAt
	if elapsed <= 0 {
		return
	}
	p.limit = min(p.upperLimit, p.limit*(1+elapsed/doublingTime))
	p.grownAt = now
}

// ObserveLoss records that a connection which had been idle for so long (s) broke under its next request before a byte of a
// response came.
func (p *Policy) ObserveLoss(now, idle float64) {
	p.grow(now)
	p.limit = max(min(shortestIdle, p.upperLimit), min(p.limit, lossShare*idle))
	if idle <= shortestIdle/lossShare {
		p.pausedUntil = now + pauseAfterLoss
	}
}

// ReuseAllowed tells whether an attempt may be sent on a reused connection at all. One whose effect must not happen twice may
// not: a lost connection could not be told from a request that has run. A prefill attempt has no effect, and may.
func ReuseAllowed(effect scheduler.Effect, prefill bool) bool {
	return prefill || effect == scheduler.Idempotent
}
