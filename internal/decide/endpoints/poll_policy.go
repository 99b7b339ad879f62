package endpoints

// PollPolicy defines how a node polls one kind of source.
type PollPolicy struct {
	WatchTimeouts
	FirstCallSpread float64        // seconds over which the first calls of nodes that start together are spread
	NewPoller       func() *Poller // returns the poller of one watch
}

// AgentPollPolicy returns the policy for an agent on the node's machine that serves only this node. It responds immediately, and
// calls to it cost nothing. notifiedAfter is the time after which a change counts as notified, even if all calls failed (s).
func AgentPollPolicy(notifiedAfter float64, random func() float64) PollPolicy {
	return PollPolicy{
		WatchTimeouts: NewWatchTimeouts(notifiedAfter),
		NewPoller:     func() *Poller { return NewAgentPoller(random) },
	}
}

// Parameters of SharedPollPolicy. The timeout of a shared source is a third of notifiedAfter, the time after which a change
// counts as notified (2 s of 6 s; PROTOCOL, figures). The time of a silent watch up to its deadline and the time of one queued
// response must together fit into notifiedAfter. Shares without another reference are of notifiedAfter.
const (
	sharedHoldShare            = 1.0 / 3  // time for which a watch asks the source to wait for a change
	sharedFirstByteShare       = 1.0 / 3  // timeout of the first byte: a response may be queued for the source's whole timeout
	sharedMaxCalls             = 2        // calls in flight at the same time
	sharedMinBackoff           = 0.5      // s
	sharedMaxBackoffShare      = 0.65     // longest backoff, and longest delay of the first call: a queued response still fits
	sharedMaxIntervalShare     = 0.4      // longest poll interval: a queued response and one more call still fit
	sharedCongestionDelayShare = 1.0 / 12 // delay of a response above which the source counts as congested
	sharedFirstCallShare       = 0.8      // longest delay of the first call, as a share of pollInterval
)

// SharedPollPolicy returns the policy for a source that all nodes poll. It can respond to each of them only every few seconds,
// and rejects calls that would be queued for longer than its timeout, so nodes that called again immediately would keep it
// overloaded. Nodes that start with a saved list therefore spread their first calls, and each node backs off with jitter after
// a failure. After repeated rejections the backoff is so long that the rejected nodes no longer overload the source, but at most
// notifiedAfter (s). pollInterval is the time within which a node is expected to poll (s).
func SharedPollPolicy(notifiedAfter, pollInterval float64, random func() float64) PollPolicy {
	timeouts := NewWatchTimeouts(notifiedAfter)
	timeouts.Hold = sharedHoldShare * notifiedAfter
	timeouts.FirstByte = sharedFirstByteShare * notifiedAfter
	timeouts.MaxCallInterval = max(timeouts.FirstByte, pollInterval/2)
	timeouts.MaxCalls = sharedMaxCalls
	newPoller := func() *Poller {
		poller := NewAgentPoller(random)
		poller.MinBackoff = sharedMinBackoff
		poller.MaxBackoff = sharedMaxBackoffShare * notifiedAfter
		poller.OverloadBackoff = notifiedAfter
		poller.MaxInterval = sharedMaxIntervalShare * notifiedAfter
		poller.CongestionDelay = sharedCongestionDelayShare * notifiedAfter
		return poller
	}
	return PollPolicy{
		WatchTimeouts:   timeouts,
		FirstCallSpread: min(sharedMaxBackoffShare*notifiedAfter, sharedFirstCallShare*pollInterval),
		NewPoller:       newPoller,
	}
}
