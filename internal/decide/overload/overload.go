// Package overload decides which requests a node admits, depending on whether its own machine keeps up. No rule may be broken
// because a machine is slow or file descriptors run out. A node that cannot keep up therefore sheds load early, while the
// rejection can still be written before the client's timeout.
//
// It uses three signals: lag, which is how late the node handles events (events that waited for the event loop, timers that
// fired late); file descriptors, which are the limit of the process and the calls that failed for lack of one; and the bytes
// that requests hold in memory.
//
// It does no I/O, reads no clock and has no source of randomness; times are in seconds. The host calls it from one goroutine at
// a time.
package overload

// Limits are what the machine and the settings allow.
type Limits struct {
	Descriptors   int     // of the process; 0 = unknown
	Connections   int     // of clients, by the settings
	Bytes         int64   // that requests may hold in memory, by the settings; 0 = no bound
	ResponseSlack float64 // s by which a response may come after the client's timeout
}

// Limits of admission.
const (
	maxLagShare       = 0.25 // a request is rejected if lag would take more than this share of its client's timeout
	maxHeldBytesShare = 0.9  // a request is rejected if all requests in memory would hold more than this share of Limits.Bytes
)

// Reasons of a Decision.
const (
	reasonLag   = "lag"   // lag would take too much of the client's time
	reasonTime  = "time"  // a response would come too late
	reasonBytes = "bytes" // requests in memory hold too many bytes
)

// Controller tracks how well one node keeps up. It is not safe for concurrent use.
type Controller struct {
	limits      Limits
	lag         lagEstimate
	connections connectionLimit
}

// New returns a controller that has observed neither lag nor a shortage.
func New(limits Limits) *Controller {
	return &Controller{limits: limits, connections: newConnectionLimit(limits)}
}

// ObserveLag records how late an event was handled: the longest wait among the events of one iteration of the event loop, or
// the delay of a timer.
func (c *Controller) ObserveLag(now, lag float64) { c.lag.observe(now, lag) }

// Lag returns an upper bound for the lag of the next event, by the latest observations.
func (c *Controller) Lag(now float64) float64 { return c.lag.bound(now) }

// ObserveDescriptorShortage records that a socket or file could not be opened for lack of a descriptor while the given number of
// client connections was open. The limit of connections falls immediately and grows again slowly.
func (c *Controller) ObserveDescriptorShortage(now float64, open int) {
	c.connections.observeShortage(now, open)
}

// Connections returns how many client connections may be open now.
func (c *Controller) Connections(now float64) int { return c.connections.at(now) }

// Shortages returns the number of descriptor shortages.
func (c *Controller) Shortages() int { return c.connections.shortages }

// Request is what admission needs to know of a request.
type Request struct {
	ClientTimeout float64 // s that the client waits, from the first byte of its request
	Elapsed       float64 // s of ClientTimeout that have passed
	HeldBytes     int64   // bytes of all requests in memory, this one included
	Random        float64 // in [0, 1); the only source of randomness
}

// Decision is whether a request is admitted, and how long it has or when its client may retry.
type Decision struct {
	Admitted       bool
	ClientTimeLeft float64 // s that the client still waits, less the part of the lag that exceeds Limits.ResponseSlack
	RetryAfter     float64 // of a rejection: s until the client may retry
	Reason         string  // of a rejection: lag, time or bytes
}

// Admit decides on a request. It rejects a request if lag would take too much of its client's timeout, if the time left is no
// longer than the lag, or if requests hold too many bytes. It does so immediately, because a later rejection might come too late.
func (c *Controller) Admit(now float64, request Request) Decision {
	lag := c.Lag(now)
	timeLeft := request.ClientTimeout - request.Elapsed - max(0, lag-c.limits.ResponseSlack)
	reason := c.rejectionReason(request, lag, timeLeft)
	if reason == "" {
		return Decision{Admitted: true, ClientTimeLeft: timeLeft}
	}
	return Decision{ClientTimeLeft: timeLeft, RetryAfter: retryAfter(lag, request.Random), Reason: reason}
}

// rejectionReason returns why a request is rejected; "" = it is admitted.
func (c *Controller) rejectionReason(request Request, lag, timeLeft float64) string {
	switch {
	case lag > c.limits.ResponseSlack && lag > maxLagShare*request.ClientTimeout:
		return reasonLag
	case timeLeft <= lag || timeLeft <= 0:
		return reasonTime
	case c.limits.Bytes > 0 && float64(request.HeldBytes) > maxHeldBytesShare*float64(c.limits.Bytes):
		return reasonBytes
	}
	return ""
}

// RetryAfter returns the time after which a client whose request could not be read may retry (s); random is in [0, 1).
func (c *Controller) RetryAfter(now, random float64) float64 { return retryAfter(c.Lag(now), random) }
