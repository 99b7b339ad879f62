// Package connreuse decides which idle connections to engines may carry another request.
//
// A reused connection saves a handshake. But if the engine has closed it meanwhile, or a middlebox has dropped it, an attempt is
// lost that may have run, because the request was written to the connection. The engine's idle timeout is known only as an upper
// bound; how long connections actually stay open becomes known only when some are lost. The package does no I/O and reads no
// clock; times are in seconds.
package connreuse

import "dillroute/scheduler"

// Parameters of the limit on the idle time of reused connections.
const (
	idleTimeoutShare = 0.5  // share of the engines' idle timeout that the limit never exceeds
	longestIdle      = 5.0  // s; the limit never exceeds it
	lossShare        = 0.25 // the limit after a loss, as a share of the idle time of the lost connection
	doublingTime     = 30.0 // s in which the limit doubles while no connection is lost
	shortestIdle     = 0.02 // s; the limit never falls below it
	pauseAfterLoss   = 10.0 // s without any reuse after the loss of a connection that had been idle for at most shortestIdle/lossShare
)

// Policy limits the idle time of reused connections by the observed losses. It is not safe for concurrent use.
type Policy struct {
	upperLimit  float64 // limit while no connection is lost
	limit       float64
	grownAt     float64 // when limit last grew
	pausedUntil float64 // no connection is reused before this time
}

// New returns the policy for engines that close an idle connection after idleTimeout at the latest (s); 0 = unknown.
func New(idleTimeout float64) *Policy {
	p := &Policy{upperLimit: longestIdle}
	if idleTimeout > 0 {
		p.upperLimit = min(p.upperLimit, idleTimeoutShare*idleTimeout)
	}
	p.limit = p.upperLimit
	return p
}

// MaxIdle returns how long a reused connection may have been idle (s); 0 = no connection may be reused.
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

// ObserveLoss records that a connection that had been idle for the given time (s) broke during its next request, before a byte
// of a response was received.
func (p *Policy) ObserveLoss(now, idle float64) {
	p.grow(now)
	p.limit = max(min(shortestIdle, p.upperLimit), min(p.limit, lossShare*idle))
	if idle <= shortestIdle/lossShare {
		p.pausedUntil = now + pauseAfterLoss
	}
}

// ReuseAllowed reports whether an attempt may be sent on a reused connection at all. An attempt whose effect must not happen
// twice may not: after the loss of the connection it would be unknown whether the request has run. A prefill attempt has no
// effect, and may be sent on one.
func ReuseAllowed(effect scheduler.Effect, prefill bool) bool {
	return prefill || effect == scheduler.Idempotent
}
