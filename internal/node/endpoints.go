package node

import (
	"dillroute/internal/decide/outcome"
	"dillroute/internal/protocol"
	"dillroute/scheduler"
)

// engineEndpoint is the address of an engine and the outcome of the latest calls to it. Times are in seconds; 0 = never.
type engineEndpoint struct {
	address     string
	lastSuccess float64 // when the engine last responded to a call
	lastFailure float64 // when a call last failed
	servedAt    float64 // latest start time of a call that the engine has responded to
}

// updateEndpoints posts an endpoint list to the event loop. It is called on the goroutine of the endpoint source.
func (n *Node) updateEndpoints(list protocol.EndpointList) {
	n.log.Debug("endpoint list received", "engines", len(list.Engines), "saved", list.Saved)
	n.loop.post(func(now float64) {
		n.setAddresses(list.Addresses)
		n.table().UpdateEndpoints(now, scheduler.EndpointUpdate{Form: list.Form, Engines: list.Engines})
		n.forgetUnknownEngines()
		n.cancelUnsentAttempts()
	})
}

func (n *Node) setAddresses(addresses map[string]string) {
	for id, address := range addresses {
		endpoint := n.owned.engines[id]
		if endpoint == nil {
			endpoint = &engineEndpoint{}
			n.owned.engines[id] = endpoint
		}
		endpoint.address = address
	}
}

// forgetUnknownEngines removes the engines that the request table no longer knows.
func (n *Node) forgetUnknownEngines() {
	for id := range n.owned.engines {
		if !n.table().EngineKnown(id) {
			delete(n.owned.engines, id)
		}
	}
}

// cancelUnsentAttempts cancels the attempts at engines that are no longer ready, unless a byte of their requests has been written. The
// drain grace period is for requests in transit, not for connections that are still being established.
func (n *Node) cancelUnsentAttempts() {
	for _, request := range n.owned.requests {
		for _, attempt := range request.attempts {
			if !n.table().EngineReady(attempt.engine) {
				attempt.CancelIfUnsent()
			}
		}
	}
}

// endpoint returns the endpoint of an engine, or the zero value if the engine is unknown.
func (n *Node) endpoint(id string) engineEndpoint {
	if endpoint := n.owned.engines[id]; endpoint != nil {
		return *endpoint
	}
	return engineEndpoint{}
}

// recordAttemptResult records whether an engine responded to an attempt that was started at startedAt. The record is used to rank the
// engines for release calls (releaseTargets). It is kept only where every engine can release any state.
func (n *Node) recordAttemptResult(now float64, id string, startedAt float64, cause outcome.Cause) {
	endpoint := n.owned.engines[id]
	if !n.config.anyEngineReleases || endpoint == nil || endpoint.address == "" {
		return
	}
	switch cause {
	case outcome.ResponseComplete:
		endpoint.lastSuccess = now
		endpoint.servedAt = max(endpoint.servedAt, startedAt)
	case outcome.ConnectionBroken, outcome.AttemptTimedOut, outcome.StreamStalled:
		endpoint.lastFailure = now
	}
}
