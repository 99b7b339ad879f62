package node

import (
	"net"

	"dillroute/internal/http1"
)

// Limits on the admin listener.
const (
	maxAdminConnections = 100
	maxAdminBytes       = 1 << 20 // bytes of request bodies in memory
)

var adminTextType = http1.Field{Name: "Content-Type", Value: "text/plain; charset=utf-8"}

// serveAdminOn serves the admin paths on a listener.
func (n *Node) serveAdminOn(l net.Listener) {
	n.adminAddr = l.Addr()
	n.admin = &http1.Server{
		Handler:  http1.HandlerFunc(n.serveAdmin),
		Limits:   http1.DefaultLimits,
		Timeouts: http1.DefaultTimeouts,
		MaxConns: func() int { return maxAdminConnections },
		MaxBytes: maxAdminBytes,
	}
	n.startLoop(func() { n.admin.Serve(l) })
}

// serveAdmin handles a request on the admin listener: liveness, readiness or metrics.
func (n *Node) serveAdmin(x *http1.Exchange) {
	text := []http1.Field{adminTextType}
	switch {
	case x.Method != "GET" && x.Method != "HEAD":
		x.Reply(405, append(text, http1.Field{Name: "Allow", Value: "GET, HEAD"}), []byte("GET or HEAD\n"))
	case x.Path == "/healthz":
		x.Reply(200, text, []byte("alive\n"))
	case x.Path == "/readyz":
		if !n.Ready() {
			x.Reply(503, text, []byte("not ready: draining, or no engine is listed\n"))
			return
		}
		x.Reply(200, text, []byte("ready\n"))
	case x.Path == "/metrics":
		fields := []http1.Field{{Name: "Content-Type", Value: "text/plain; version=0.0.4; charset=utf-8"}}
		x.Reply(200, fields, n.metrics.exposition(n.log))
	default:
		x.Reply(404, text, []byte("there are /healthz, /readyz and /metrics\n"))
	}
}
