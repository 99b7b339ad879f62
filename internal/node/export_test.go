package node

import "dillroute/internal/http1"

// WithDialer sets how a RelayNode connects to engines and discovery; the default is the network.
func WithDialer(dial http1.DialFunc) Option { return func(o *options) { o.dial = dial } }

// OpenRequests returns the number of requests without a final response.
func (n *Node) OpenRequests() int { return n.openRequests() }

// UnfinishedRequests returns the number of requests that the node has not forgotten, plus the number of states that are being released.
func (n *Node) UnfinishedRequests() int { return n.unfinishedRequests() }

// Connections returns the number of open client connections.
func (n *Node) Connections() int { return n.server.Conns() }
