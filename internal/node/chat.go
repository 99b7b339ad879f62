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

// ChatNode is a node that serves the OpenAI-style chat API (internal/openai).
type ChatNode struct {
	*Node
	front    *openai.Front
	settings atomic.Pointer[config.Config] // current settings, which Reload replaces
}

// StartChat starts a node that serves the OpenAI-style chat API. It fails if the settings are invalid, a listener cannot be
// opened, or the endpoint list cannot be read.
func StartChat(cfg *config.Config, opts ...Option) (*ChatNode, error) {
	o := applyOptions(opts)
	n, err := newNode(chatHostConfig(cfg), o)
	if err != nil {
		return nil, err
	}
	c := &ChatNode{Node: n}
	c.settings.Store(cfg)
	engines := c.newEngineClient(cfg)
	c.front = openai.NewFront(cfg, engines, o.log)
	n.front = c.front
	n.engines = engines
	if err := n.listen(cfg, o.listener, o.adminListener); err != nil {
		return nil, err
	}
	n.endpoints, err = discovery.Follow(discovery.FollowOptions{
		Config:    cfg,
		Clock:     n.loop.clock,
		SavedList: savedListFile(cfg),
		OnUpdate:  n.updateEndpoints,
		OnProblem: func(text string) { n.log.Error("endpoint list error", "text", text) },
	})
	if err != nil {
		n.server.Close()
		if n.admin != nil {
			n.admin.Close()
		}
		return nil, fmt.Errorf("engine list: %w", err)
	}
	n.start()
	return c, nil
}

// newEngineClient returns the client for the engines. Its stall limit follows the current settings.
func (c *ChatNode) newEngineClient(cfg *config.Config) *engine.Client {
	return &engine.Client{
		Node:           cfg.Node.Name,
		Key:            cfg.Engines.Key,
		ConnectTimeout: seconds(cfg.Limits.ConnectTimeout),
		StallTimeout:   func() time.Duration { return seconds(c.Config().Limits.StallTimeout) },
		MaxEvent:       cfg.Limits.MaxEvent,
		Pool: &http1.Pool{
			MaxIdle:     cfg.Limits.EngineIdleConns,
			IdleTimeout: seconds(cfg.Limits.EngineIdleTimeout),
			Limits:      http1.DefaultLimits,
		},
	}
}

// chatHostConfig returns the configuration of the host.
func chatHostConfig(cfg *config.Config) hostConfig {
	h := hostConfig{
		scheduler:    cfg.Scheduler(),
		table:        chatTableConfig(cfg),
		tick:         cfg.Tick,
		maxHeldBytes: cfg.Limits.MaxBufferedBody,
		limits:       http1.DefaultLimits,
		overload: overload.Limits{
			Descriptors:   cfg.Limits.Descriptors,
			Connections:   cfg.Limits.MaxConnections,
			Bytes:         cfg.Limits.MaxBufferedBody,
			ResponseSlack: cfg.Rules.AnswerSlack,
		},
		timeouts: http1.Timeouts{
			Head:  seconds(cfg.Limits.HeadTimeout),
			Body:  seconds(cfg.Limits.BodyTimeout),
			Idle:  seconds(cfg.Limits.IdleTimeout),
			Write: seconds(cfg.Limits.WriteTimeout),
		},
	}
	h.limits.Body = cfg.Limits.MaxBody
	if h.overload.Descriptors == 0 {
		h.overload.Descriptors = service.DescriptorLimit()
	}
	return h
}

// chatTableConfig returns the configuration of the request table, which Reload may change.
func chatTableConfig(cfg *config.Config) requesttable.Config {
	return requesttable.Config{
		Classes:         cfg.Scheduler().Classes,
		MaxOpenRequests: cfg.Limits.MaxOpen,
		MaxAttempts:     cfg.Limits.MaxAttempts,
		ResponseSlack:   cfg.Rules.AnswerSlack,
		DrainGrace:      cfg.Rules.DrainGrace,

		StateReleaseLimit: cfg.Rules.StateReleaseLimit,
	}
}

// savedListFile returns the path where the endpoint list is saved; "" = it is not saved.
func savedListFile(cfg *config.Config) string {
	if cfg.StateDir == "" {
		return ""
	}
	return filepath.Join(cfg.StateDir, "engines.json")
}

// listen serves clients and the admin paths on the listeners given. It opens those that are nil; an admin listener is only opened if the
// configuration has an address for it.
func (n *Node) listen(cfg *config.Config, client, admin net.Listener) error {
	var err error
	shared := client != nil
	if client == nil {
		if client, err = service.Listen(cfg.Listen, cfg.ListenShared); err != nil {
			return fmt.Errorf("/listen: %w", err)
		}
	}
	if admin == nil && cfg.Admin != "" {
		if admin, err = service.Listen(cfg.Admin, cfg.ListenShared); err != nil {
			client.Close()
			return fmt.Errorf("/admin: %w", err)
		}
	}
	if admin != nil {
		n.serveAdminOn(admin)
	}
	n.serveOn(client, shared)
	return nil
}

// Reload applies the settings of a new configuration that can change at run time. It returns the JSON pointers of the changes that were
// applied and of those that were refused because they require a restart.
func (c *ChatNode) Reload(next *config.Config) (applied, refused []string) {
	merged, applied, refused := c.Config().Merge(next)
	c.settings.Store(merged)
	c.front.Configure(merged)
	c.loop.post(func(float64) { c.table().Reconfigure(chatTableConfig(merged)) })
	return applied, refused
}

// Config returns the current settings.
func (c *ChatNode) Config() *config.Config { return c.settings.Load() }
