package node

import (
	"fmt"
	"net"
	"time"

	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/relay"
)

// MaxStreamDrain is the longest time for which a shutdown waits until streams are complete.
const MaxStreamDrain = time.Minute

// RelayNode is a node that speaks the relay protocol of the users' platform (internal/relay).
type RelayNode struct {
	*Node
	discovery *relay.Discovery
}

// StartRelay starts a node that speaks the relay protocol. It fails if the settings are invalid or its listener cannot be opened.
func StartRelay(cfg *relay.Config, opts ...Option) (*RelayNode, error) {
	o := applyOptions(append([]Option{WithSeed(cfg.Seed)}, opts...))
	n, err := newNode(relayHostConfig(cfg), o)
	if err != nil {
		return nil, err
	}
	engines := relay.NewEngines(cfg.Settings, cfg.Limits.Budget().Engines, o.dial)
	n.front = relay.NewFront(cfg.Settings, engines, n.Ready, o.log)
	n.engines = engines
	l := o.listener
	if l == nil {
		if l, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	n.serveOn(l, false)
	r := &RelayNode{Node: n}
	r.discovery = relay.Follow(cfg.Discovery, cfg.SavedList, cfg.Settings, n.loop.clock, o.dial, n.updateEndpoints, o.log)
	n.endpoints = r.discovery
	n.start()
	return r, nil
}

// Reload applies a new configuration. Only the address of discovery can change at run time.
func (r *RelayNode) Reload(next *relay.Config) { r.discovery.SetAddress(next.Discovery) }

// relayHostConfig returns the configuration of the host.
func relayHostConfig(cfg *relay.Config) hostConfig {
	settings := cfg.Settings
	budget := cfg.Limits.Budget()
	rules := settings.Scheduler.Rules
	responseSlack := rules.AnswerSlack + relay.SocketSlack.Seconds()/2
	h := hostConfig{
		scheduler:         settings.Scheduler,
		tick:              settings.Scheduler.Tick,
		maxHeldBytes:      budget.BodyBytes,
		anyEngineReleases: true,
		clientsMayResume:  settings.ClientsResume,
		table: requesttable.Config{
			Classes:               settings.Scheduler.Classes,
			MaxOpenRequests:       budget.Clients,
			MaxAttempts:           settings.Scheduler.Limits.MaxAttempts,
			ExemptUnsentAttempts:  true,
			ResponseSlack:         responseSlack,
			DrainGrace:            rules.DrainGrace,
			StateReleaseLimit:     rules.StateReleaseLimit,
			ReleaseFreesAllStates: true,
		},
		overload: overload.Limits{
			Descriptors:   cfg.Limits.Sockets,
			Connections:   budget.Clients,
			Bytes:         budget.BodyBytes,
			ResponseSlack: responseSlack,
		},
		timeouts:       relay.ServerTimeouts(settings.ClientsResume),
		limits:         relay.RequestLimits,
		rejectionQueue: budget.RejectionQueue,
	}
	h.scheduler.Limits.ExemptUnsentAttempts = true // the limit counts attempts whose last byte was sent (PROTOCOL, nodes to engines)
	return h
}
