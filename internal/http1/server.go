package http1

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Handler answers requests. Serve runs on the connection's goroutine, may return before the answer is given, and
// must see to it that the Exchange is ended by Reply, End, Break or Cut, once, from any one goroutine.
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
	MaxConns       func() int // open at once, asked at each accept; further ones are answered 503 and closed; nil = no bound
	RejectionQueue int        // connections that are refused at a time; 0 = lobbyMost
	MaxBytes       int64      // of request bodies held at once, over all connections; 0 = no bound
	// Shared tells that other processes accept from the very same socket: what waits in its queue is theirs, so a
	// drain stops accepting at once.
	Shared bool
	// OnDescriptorShortage is told that a connection could not be accepted for want of descriptors, and how many are open; nil = nobody is.
	OnDescriptorShortage func(open int)
	// MayCloseIdle says whether a connection that rests may be ended now; nil = where it is to make room, after Times.Rest, and else always.
	MayCloseIdle func(IdleConn) bool
	// OnClose is told of each connection that has ended, and why; nil = nobody is.
	OnClose func(ConnClosed)
	// ErrorBody writes the body of an answer to a request that could not be parsed; nil = plain text.
	ErrorBody func(status int, reason string) (fields []Field, body []byte)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lobby    int       // of conns, those that are being refused
	room     sync.Cond // of the lobby; its lock is mu
	listener net.Listener
	draining atomic.Bool
	idleBy   atomic.Int64 // until when a draining server reads idle connections, as sinceStart has it
	held     atomic.Int64
	closed   bool      // no connection is served any more
	ended    sync.Cond // a connection has ended; its lock is mu
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Held returns the bytes of request bodies that are held, over all connections.
func (s *Server) Held() int64 { return s.held.Load() }

// Wait waits until all connections have ended, or the time has passed; it tells whether they have.
func (s *Server) Wait(d time.Duration) bool {
	over := false
	timer := time.AfterFunc(d, func() {
		s.mu.Lock()
		over = true
		s.ended.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !over {
		s.ended.Wait()
	}
	return len(s.conns) == 0
}

// Close cuts all connections and waits for their goroutines. An exchange that nobody will answer any more (its owner
// has ended, and may have dropped it unseen) is cut as well: it would be waited for without end.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.room.Broadcast()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.nc.Close()
		if x := c.x.Load(); x != nil {
			x.Abort()
		}
	}
	for len(s.conns) > 0 {
		s.ended.Wait()
	}
}
