package http1

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Handler responds to requests. Serve runs on the connection's goroutine, may return before the response is given, and must make sure
// that the Exchange is ended by Reply, End, AbortBody or Abort, once, from any one goroutine.
type Handler interface{ Serve(x *Exchange) }

// HandlerFunc is a Handler made from a function.
type HandlerFunc func(x *Exchange)

// Serve calls f.
func (f HandlerFunc) Serve(x *Exchange) { f(x) }

// Server serves connections.
type Server struct {
	Handler        Handler
	Limits         Limits
	Timeouts       Timeouts
	MaxConns       func() int // open at once, called at each accept; further ones are answered 503 and closed; nil = no bound
	RejectionQueue int        // connections that are rejected at a time; 0 = defaultRejectionQueue
	MaxBytes       int64      // of request bodies held at once, over all connections; 0 = no bound
	// Shared tells that other processes accept from the same socket: connections in its queue are theirs, so that a drain stops
	// accepting at once.
	Shared bool
	// OnDescriptorShortage is called when an accept fails for want of descriptors, with the number of open connections; may be nil.
	OnDescriptorShortage func(open int)
	// MayCloseIdle decides whether an idle connection may be closed now; nil = evictions after Timeouts.MinIdle, all others always.
	MayCloseIdle func(IdleConn) bool
	// OnClose is called for each connection that has ended; may be nil.
	OnClose func(ConnClosed)
	// ErrorBody writes the response to a request that could not be parsed; nil = plain text.
	ErrorBody func(status int, reason string) (fields []Field, body []byte)

	mu           sync.Mutex
	conns        map[*conn]struct{}
	rejecting    int       // of conns, those in the rejection queue
	queueFree    sync.Cond // a place in the rejection queue is free; its lock is mu
	listener     net.Listener
	draining     atomic.Bool
	idleDeadline atomic.Int64 // until when a draining server reads idle connections (sinceStart)
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

// HeldBytes returns the bytes of request bodies that are held, over all connections.
func (s *Server) HeldBytes() int64 { return s.heldBytes.Load() }

// Wait waits until all connections have ended or the time has passed, and returns whether they have ended.
func (s *Server) Wait(d time.Duration) bool {
	over := false
	timer := time.AfterFunc(d, func() {
		s.mu.Lock()
		over = true
		s.connEnded.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !over {
		s.connEnded.Wait()
	}
	return len(s.conns) == 0
}

// Close closes all connections and waits for their goroutines. An exchange that has no response yet is aborted as well: its owner may
// have ended, and it would be waited for without end.
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
