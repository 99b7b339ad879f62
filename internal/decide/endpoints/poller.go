package endpoints

// Poller decides when a node calls the source of the endpoint list again. Hundreds of nodes may poll the same source: after a
// failure each of them backs off with jitter, and none exceeds its call budget, regardless of the source's responses. Times are in
// seconds. Poller is not safe for concurrent use.
type Poller struct {
	MinBackoff, MaxBackoff float64        // bounds of the backoff after a failed call
	OverloadBackoff        float64        // longest backoff while the source is overloaded (AfterRejection); 0 = MaxBackoff applies
	CallsPerSecond, Burst  float64        // call budget: average rate, and number of calls that may be made without a pause
	MaxInterval            float64        // longest poll interval after a response, while the source is congested; 0 = no interval
	CongestionDelay        float64        // the source counts as congested if a response is delayed by more than this
	Random                 func() float64 // returns numbers in [0, 1); the only source of randomness

	interval              float64 // current poll interval after a response
	backoff               float64 // current backoff after a failed call
	tokens                float64 // calls that the budget still allows
	refilledAt            float64
	started               bool
	consecutiveRejections int
	hasSucceeded          bool // a call has succeeded
}

// A source counts as overloaded after this number of consecutive rejections. The number is lower before the source's first
// response to this node, because all nodes then call at the same time. Afterwards they call at different times.
const (
	rejectionsBeforeResponse = 2
	rejectionsAfterResponse  = 4
)

// Poll interval of a congested source (AfterResponse).
const (
	initialInterval       = 0.25 // s; the first interval when congestion begins
	intervalDecreaseShare = 0.25 // share of initialInterval by which each response without congestion shortens the interval
)

// backoffGrowth is the factor by which a backoff may exceed the one before it (decorrelated jitter).
const backoffGrowth = 3

// NewPoller returns a poller with default parameters for a source that many nodes share.
func NewPoller(random func() float64) *Poller {
	return &Poller{MinBackoff: 0.25, MaxBackoff: 20, CallsPerSecond: 2, Burst: 4, Random: random}
}

// NewAgentPoller returns a poller for an agent on the node's machine that serves only this node, so that it needs no backoff of
// several seconds. A longer backoff than 0.2 s would be wrong: a watch continues only if its next call is made within 0.2 s, and
// the changes that the source has when it recovers may count as notified immediately.
func NewAgentPoller(random func() float64) *Poller {
	return &Poller{MinBackoff: 0.05, MaxBackoff: 0.2, CallsPerSecond: 10, Burst: 20, Random: random}
}

// FirstCall returns when the first call may be made. The time is random, so that nodes that start together do not call together.
func (p *Poller) FirstCall(now float64) float64 {
	return p.takeToken(now + p.MinBackoff*p.Random())
}

// AfterCall returns when to call again after a call that ended at now. After a success the node calls again as soon as the budget
// allows, because the source holds the call until there is a change. After a failure it backs off first, with decorrelated jitter
// (Brooker, "Exponential Backoff and Jitter", 2015).
func (p *Poller) AfterCall(now float64, succeeded bool) float64 {
	if succeeded {
		p.recordSuccess()
		return p.takeToken(now)
	}
	previous := max(p.MinBackoff, p.backoff)
	p.backoff = min(p.MaxBackoff, p.MinBackoff+p.Random()*(backoffGrowth*previous-p.MinBackoff))
	return p.takeToken(now + p.backoff)
}

// AfterResponse returns when to call again after a response that was delayed by the given time (s): the calls of all nodes must
// not exceed what the source can answer. The poll interval doubles while the source is congested and shrinks step by step while
// it is not, as in TCP's congestion avoidance (Chiu and Jain, 1989). If N nodes each pause for an interval p and then queue, and
// the source answers C calls a second, none is rejected as long as N/C is at most p plus the time for which a call may queue.
func (p *Poller) AfterResponse(now, delay float64) float64 {
	p.adjustInterval(delay > p.CongestionDelay)
	p.recordSuccess()
	return p.takeToken(now + p.interval*(1+p.Random())/2)
}

// AfterRejection returns when to call again after the source has responded that it cannot answer now. The backoff after the
// first rejections is that of any failure. After further ones it is so long that the calls of all rejected nodes no longer keep
// the source overloaded.
func (p *Poller) AfterRejection(now float64) float64 {
	p.adjustInterval(true)
	p.consecutiveRejections++
	limit := rejectionsBeforeResponse
	if p.hasSucceeded {
		limit = rejectionsAfterResponse
	}
	if p.consecutiveRejections < limit || p.OverloadBackoff <= 0 {
		return p.AfterCall(now, false)
	}
	p.backoff = p.OverloadBackoff * (1 + p.Random()) / 2
	return p.takeToken(now + p.backoff)
}

// recordSuccess resets the backoff and the count of rejections.
func (p *Poller) recordSuccess() {
	p.backoff = 0
	p.consecutiveRejections = 0
	p.hasSucceeded = true
}

// adjustInterval doubles the poll interval of a congested source and shortens it step by step otherwise.
func (p *Poller) adjustInterval(congested bool) {
	if congested {
		p.interval = min(p.MaxInterval, max(initialInterval, 2*p.interval))
		return
	}
	p.interval = max(0, p.interval-intervalDecreaseShare*initialInterval)
}

// takeToken takes one call from the budget (a token bucket) and returns when it may be made, which is not before at.
func (p *Poller) takeToken(at float64) float64 {
	if !p.started {
		p.started = true
		p.tokens = p.Burst
		p.refilledAt = at
	}
	if at > p.refilledAt {
		p.tokens = min(p.Burst, p.tokens+p.CallsPerSecond*(at-p.refilledAt))
		p.refilledAt = at
	}
	p.tokens--
	if p.tokens >= 0 {
		return at
	}
	return at - p.tokens/p.CallsPerSecond
}
