package node

import "dillroute/internal/http1"

// WithDialer sets how a RelayNode connects to engines and discovery; the default is the network.
func WithDialer(dial http1.DialFunc) Option { return func(o *options) { o.dial = dial } }

// OpenRequests returns how many requests have no final response yet.
func (n *Node) OpenRequests() int { return n.openRequests() }

// UnfinishedRequests returns how many requests the node has not forgotten, plus how many states are being released.
func (n *Node) UnfinishedRequests() int { return n.unfinishedRequests() }

// Connections returns the number of open client connections.
func (n *Node) Connections() int { return n.server.Conns() }
