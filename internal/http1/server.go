package http1

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Handler responds to requests. Serve runs on the connection's goroutine and may return before the response is written. The handler must
// ensure that one goroutine, not necessarily that of Serve, ends the Exchange exactly once, by Reply, End, AbortBody or Abort.
type Handler interface{ Serve(x *Exchange) }

// HandlerFunc is an adapter that allows a function to be used as a Handler.
type HandlerFunc func(x *Exchange)

// Serve calls f(x).
func (f HandlerFunc) Serve(x *Exchange) { f(x) }

// Server accepts connections and serves the requests on them.
type Server struct {
	Handler        Handler
	Limits         Limits
	Timeouts       Timeouts
	MaxConns       func() int // returns the maximum number of open connections; more are rejected with a 503; nil = no limit
	RejectionQueue int        // maximum number of connections being rejected at a time; 0 = defaultRejectionQueue
	MaxBytes       int64      // maximum of HeldBytes; a request whose body would exceed it gets a 503; 0 = no limit
	// Shared means that other processes accept from the same socket. A drain then stops accepting immediately, since the other
	// processes accept the connections in its queue.
	Shared bool
	// OnDescriptorShortage is called with the number of open connections when an accept fails because the process has reached its limit
	// of file descriptors; may be nil.
	OnDescriptorShortage func(open int)
	// MayCloseIdle reports whether an idle connection may be closed now. If it is nil, a connection may be evicted once it has been idle
	// for longer than Timeouts.MinIdle, and closed for any other cause at any time.
	MayCloseIdle func(IdleConn) bool
	// OnClose is called for each connection that has closed; may be nil.
	OnClose func(ConnClosed)
	// ErrorBody returns header fields and body of the response to a request that is rejected before it reaches Handler; nil = plain text.
	ErrorBody func(status int, reason string) (fields []Field, body []byte)

	mu           sync.Mutex
	conns        map[*conn]struct{}
	rejecting    int       // number of conns in the rejection queue
	queueFree    sync.Cond // the rejection queue is no longer full; its lock is mu
	listener     net.Listener
	draining     atomic.Bool
	idleDeadline atomic.Int64 // when a draining server stops waiting on idle connections; ns, as of sinceStart
	heldBytes    atomic.Int64
	closed       bool      // Close was called
	connEnded    sync.Cond // a connection has ended; its lock is mu
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// HeldBytes returns the number of bytes of request bodies and of bytes read ahead that are held, over all connections.
func (s *Server) HeldBytes() int64 { return s.heldBytes.Load() }

// Wait waits until all connections have ended, for at most d, and reports whether they have.
func (s *Server) Wait(d time.Duration) bool {
	timedOut := false
	timer := time.AfterFunc(d, func() {
		s.mu.Lock()
		timedOut = true
		s.connEnded.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !timedOut {
		s.connEnded.Wait()
	}
	return len(s.conns) == 0
}

// Close closes all connections and waits for their goroutines. It also aborts exchanges that have not ended: the goroutine
// that would end them may be gone, and Close would otherwise wait for them forever.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.queueFree.Broadcast()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.netConn.Close()
		if x := c.exchange.Load(); x != nil {
			x.Abort()
		}
	}
	for len(s.conns) > 0 {
		s.connEnded.Wait()
	}
}
