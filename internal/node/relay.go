package node

import (
	"fmt"
	"net"
	"time"

	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/protocol"
	"dillroute/internal/relay"
)

// RelayNode is a node that speaks the protocol of the users' platform.
type RelayNode struct {
	*Node
	discovery *relay.Discovery
}

// StartRelay starts a node on the users' platform.
func StartRelay(cfg *relay.Config, opts ...Option) (*RelayNode, error) {
	o := choose(append([]Option{WithSeed(cfg.Seed)}, opts...))
	p := relayPlan(cfg)
	n, err := newNode(p, o)
	if err != nil {
		return nil, err
	}
	engines := relay.NewEngines(cfg.Settings, cfg.Limits.Parts().Engines, o.connect)
	n.front, n.caller = relay.NewFront(cfg.Settings, engines, n.Ready, o.log), engines
	l := o.listener
	if l == nil {
		if l, err = net.Listen("tcp", cfg.Listen); err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
	}
	n.serveOn(l, false)
	r := &RelayNode{Node: n}
	r.discovery = relay.Follow(cfg.Discovery, cfg.Known, cfg.Settings, n.core.clock, o.connect, func(l protocol.EndpointList) { n.takeList(l) }, o.log)
	n.lists = r.discovery
	n.begin()
	return r, nil
}

// Reload takes a new configuration: discovery may have moved.
func (r *RelayNode) Reload(next *relay.Config) { r.discovery.Move(next.Discovery) }

// relayPlan is the host's part of the configuration.
func relayPlan(cfg *relay.Config) plan {
	s, parts := cfg.Settings, cfg.Limits.Parts()
	rules, decisions := s.Scheduler.Rules, s.Scheduler
	decisions.Limits.UnsentAttemptsAreFree = true // an attempt counts once its last byte has come (PROTOCOL, nodes to engines)
	return plan{scheduler: decisions, tick: s.Scheduler.Tick, letGoBy: rules.StateReleaseLimit, held: parts.BodyBytes, anyone: true, resume: s.ClientsResume,
		book: requesttable.Config{Classes: s.Scheduler.Classes, MaxOpenRequests: parts.Clients, MaxAttempts: s.Scheduler.Limits.MaxAttempts, UnsentAttemptsAreFree: true,
			ResponseSlack: rules.AnswerSlack + relay.SocketSlack.Seconds()/2, DrainGrace: rules.DrainGrace, ReleaseFreesAllStates: true},
		strain: overload.Limits{Descriptors: cfg.Limits.Sockets, Connections: parts.Clients, Bytes: parts.BodyBytes,
			ResponseSlack: rules.AnswerSlack + relay.SocketSlack.Seconds()/2},
		times: relay.ServerTimeouts(s.ClientsResume), limits: relay.RequestLimits, lobby: parts.RejectionQueue}
}

// MaxStreamDrain is how long a stop may wait for answers that run.
const MaxStreamDrain = time.Minute
