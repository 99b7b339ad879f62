// Package overload decides what a node still takes by how its own machine keeps up. A rule may not break because a machine
// is slow or its file table full: a node that cannot keep up refuses early, while the refusal can still be written.
//
// Three things tell. Lag is how late the node hears of what happens: facts that waited for the owner, timers that rang
// late. Files are the descriptors that the process may hold, and calls that found none. Bytes are what requests hold.
//
// It does no I/O, reads no clock and draws no chance; times are in seconds.
package overload

// Limits are what the machine allows.
type Limits struct {
	Descriptors   int     // descriptors of the process; 0 = not known
	Connections   int     // of clients, by the settings
	Bytes         int64   // of requests held, by the settings; 0 = no bound
	ResponseSlack float64 // s that an answer may come after the client's time is up
}

// Our starting values.
const (
	fileReserve = 32  // descriptors for listeners, logs, lists, state and a reload
	filePart    = 0.1 // and this part of all, for calls that let go of states and for other things of the process
	perRequest  = 2   // descriptors that a request in flight holds: its client's and an engine's
	leastConns  = 4   // connections below which a shortage does not push
	shrink      = 0.7 // what a shortage leaves of the connections then open
	regrow      = 0.1 // part of the full number that comes back in a second without one
	gainMean    = 0.125
	gainDev     = 0.25 // gains and the factor of the bound are those of RFC 6298 for round-trip times
	devs        = 4
	fade        = 2.0  // s after which a lag not seen again is mostly forgotten
	lagPart     = 0.25 // part of a client's time that lag may take
	bytesPart   = 0.9  // part of the bytes at which no more is taken
	leastReturn = 0.1  // s after which a refused client is asked back at the earliest
	mostReturn  = 5.0  // and at the latest
)

// Controller is how one node keeps up. It is not safe for concurrent use.
type Controller struct {
	lim       Limits
	mean, dev float64 // of lag
	at        float64 // of the latest sample
	cap       float64 // connections of clients, after a shortage
	capAt     float64
	short     int // shortages seen
}

// New returns the state of a node that keeps up.
func New(lim Limits) *Controller {
	s := &Controller{lim: lim}
	s.cap = float64(s.most())
	return s
}

// most is how many connections of clients the settings and the file table allow.
func (s *Controller) most() int {
	n := s.lim.Connections
	if s.lim.Descriptors > 0 {
		free := float64(s.lim.Descriptors)*(1-filePart) - fileReserve
		n = min(n, max(leastConns, int(free/perRequest)))
	}
	return n
}

// ObserveLag files how late something was heard of: the longest wait among the facts of one turn, or a timer's.
func (s *Controller) ObserveLag(now, lag float64) {
	s.decay(now)
	lag = max(0, lag)
	if off := lag - s.mean; off > 0 {
		s.dev += gainDev * (off - s.dev)
	} else {
		s.dev += gainDev * (-off - s.dev)
	}
	s.mean += gainMean * (lag - s.mean)
}

// decay lets go of what has not been seen again.
func (s *Controller) decay(now float64) {
	if dt := now - s.at; dt > 0 {
		keep := fade / (fade + dt)
		s.mean, s.dev, s.at = s.mean*keep, s.dev*keep, now
	}
}

// Lag is what the next fact or timer is to be late by at most, as far as the latest ones tell.
func (s *Controller) Lag(now float64) float64 {
	s.decay(now)
	return s.mean + devs*s.dev
}

// ObserveDescriptorShortage files that a socket or file could not be opened for want of descriptors, while so many connections of clients
// were open. Fewer are taken from then on, and they come back bit by bit.
func (s *Controller) ObserveDescriptorShortage(now float64, open int) {
	s.regrow(now)
	s.short++
	s.cap = max(leastConns, min(s.cap, shrink*float64(open)))
}

func (s *Controller) regrow(now float64) {
	if dt := now - s.capAt; dt > 0 {
		s.cap, s.capAt = min(float64(s.most()), s.cap+regrow*dt*float64(s.most())), now
	}
}

// Connections is how many connections of clients may be open now.
func (s *Controller) Connections(now float64) int {
	s.regrow(now)
	return int(s.cap)
}

// Shortages is how often descriptors ran out.
func (s *Controller) Shortages() int { return s.short }

// Request is what is asked of the node.
type Request struct {
	ClientTimeout float64 // s that the client waits, from the first byte of its request
	Elapsed       float64 // s of them that are over
	HeldBytes     int64   // bytes that requests hold, this one included
	Draw          float64 // from 0 up to 1, the only chance in it
}

// Decision says whether a request is taken.
type Decision struct {
	Admitted       bool
	ClientTimeLeft float64 // s until the answer has to be on its way, our own lag taken off
	RetryAfter     float64 // of a refusal: s until the client may come again
	Reason         string  // lag, time or bytes
}

// Admit decides on a request. One is refused when the lag would take so much of its time that an answer might come too
// late, or less than the lag is left: the refusal is certain to be in time only while it is given at once.
func (s *Controller) Admit(now float64, q Request) Decision {
	lag := s.Lag(now)
	left := q.ClientTimeout - q.Elapsed - max(0, lag-s.lim.ResponseSlack)
	v := Decision{Admitted: true, ClientTimeLeft: left}
	switch {
	case lag > s.lim.ResponseSlack && lag > lagPart*q.ClientTimeout:
		v.Admitted, v.Reason = false, "lag"
	case left <= lag || left <= 0:
		v.Admitted, v.Reason = false, "time"
	case s.lim.Bytes > 0 && float64(q.HeldBytes) > bytesPart*float64(s.lim.Bytes):
		v.Admitted, v.Reason = false, "bytes"
	}
	if !v.Admitted {
		v.RetryAfter = s.back(lag, q.Draw)
	}
	return v
}

// RetryAfter says when a client may come again that could not even be heard (s); draw is from 0 up to 1.
func (s *Controller) RetryAfter(now, draw float64) float64 { return s.back(s.Lag(now), draw) }

// back spreads the return of refused clients over the time that it takes to catch up, so that they do not come as one.
func (s *Controller) back(lag, draw float64) float64 {
	span := min(mostReturn, max(leastReturn, 2*fade*min(1, lag)+2*lag))
	return min(mostReturn, span*(0.5+draw))
}
