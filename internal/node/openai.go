package node

import (
	"fmt"
	"net"
	"path/filepath"
	"sync/atomic"
	"time"

	"dillroute/internal/config"
	"dillroute/internal/decide/overload"
	"dillroute/internal/decide/requesttable"
	"dillroute/internal/discovery"
	"dillroute/internal/engine"
	"dillroute/internal/http1"
	"dillroute/internal/openai"
	"dillroute/internal/service"
)

// ChatNode is a node that speaks the published chat protocol.
type ChatNode struct {
	*Node
	front *openai.Front
	cfg   atomic.Pointer[config.Config]
}

// StartChat starts a node that speaks the published chat protocol. The engine list must be readable.
func StartChat(cfg *config.Config, opts ...Option) (*ChatNode, error) {
	o := choose(opts)
	n, err := newNode(chatPlan(cfg), o)
	if err != nil {
		return nil, err
	}
	c := &ChatNode{Node: n}
	c.cfg.Store(cfg)
	engines := &engine.Client{Node: cfg.Node.Name, Key: cfg.Engines.Key, Connect: seconds(cfg.Limits.Connect),
		Stall: func() time.Duration { return seconds(c.Config().Limits.Stall) }, MaxEvent: cfg.Limits.MaxEvent,
		Pool: &http1.Pool{MaxIdle: cfg.Limits.EngineIdleConns, IdleTimeout: seconds(cfg.Limits.EngineIdle),
			Limits: http1.DefaultLimits}}
	c.front = openai.NewFront(cfg, engines, o.log)
	n.front, n.caller = c.front, engines
	if err := n.listen(cfg, o.listener, o.admin); err != nil {
		return nil, err
	}
	n.lists, err = discovery.Follow(discovery.FollowOptions{Config: cfg, Clock: n.core.clock, Saved: savedList(cfg), Take: n.takeList,
		Complain: func(text string) { n.log.Error("engine list", "text", text) }})
	if err != nil {
		n.server.Close()
		if n.admin != nil {
			n.admin.Close()
		}
		return nil, fmt.Errorf("engine list: %w", err)
	}
	n.begin()
	return c, nil
}

// chatPlan is the host's part of the configuration.
func chatPlan(cfg *config.Config) plan {
	p := plan{scheduler: cfg.Scheduler(), book: bookConfig(cfg), tick: cfg.Tick, letGoBy: cfg.Rules.LetGoBy, held: cfg.Limits.MaxHeld,
		limits: http1.DefaultLimits, strain: overload.Limits{Descriptors: cfg.Limits.Files, Connections: cfg.Limits.MaxConnections,
			Bytes: cfg.Limits.MaxHeld, ResponseSlack: cfg.Rules.AnswerSlack},
		times: http1.Timeouts{Head: seconds(cfg.Limits.Head), Body: seconds(cfg.Limits.Body), Idle: seconds(cfg.Limits.Idle),
			Write: seconds(cfg.Limits.Write)}}
	p.limits.Body = cfg.Limits.MaxBody
	if p.strain.Descriptors == 0 {
		p.strain.Descriptors = service.DescriptorLimit()
	}
	return p
}

func bookConfig(cfg *config.Config) requesttable.Config {
	return requesttable.Config{Classes: cfg.Scheduler().Classes, MaxOpenRequests: cfg.Limits.MaxOpen, MaxAttempts: cfg.Limits.MaxAttempts,
		ResponseSlack: cfg.Rules.AnswerSlack, DrainGrace: cfg.Rules.DrainGrace}
}

// savedList is where the last believed list is kept; "" = nowhere.
func savedList(cfg *config.Config) string {
	if cfg.StateDir == "" {
		return ""
	}
	return filepath.Join(cfg.StateDir, "engines.json")
}

// listen opens the sockets.
func (n *Node) listen(cfg *config.Config, l, al net.Listener) error {
	var err error
	handed := l != nil
	if l == nil {
		if l, err = service.Listen(cfg.Listen, cfg.ListenShared); err != nil {
			return fmt.Errorf("/listen: %w", err)
		}
	}
	if al == nil && cfg.Admin != "" {
		if al, err = service.Listen(cfg.Admin, cfg.ListenShared); err != nil {
			l.Close()
			return fmt.Errorf("/admin: %w", err)
		}
	}
	if al != nil {
		n.aaddr = al.Addr()
		n.admin = &http1.Server{Handler: http1.HandlerFunc(n.serveAdmin), Limits: http1.DefaultLimits,
			Timeouts: http1.DefaultTimeouts, MaxConns: func() int { return 100 }, MaxBytes: 1 << 20}
		n.runLoop(func() { n.admin.Serve(al) })
	}
	n.serveOn(l, handed)
	return nil
}

// Reload takes what may change of a new configuration, and says what may not.
func (c *ChatNode) Reload(next *config.Config) (taken, refused []string) {
	merged, taken, refused := c.Config().Merge(next)
	c.cfg.Store(merged)
	c.front.Configure(merged)
	c.core.post(func(float64) { c.core.book.Reconfigure(bookConfig(merged)) })
	return taken, refused
}

// Config returns the settings in force.
func (c *ChatNode) Config() *config.Config { return c.cfg.Load() }
