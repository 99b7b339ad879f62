package http1

import (
	"errors"
	"os"
	"time"
)

// IdleConn is a connection between requests that may be closed.
type IdleConn struct {
	IdleFor time.Duration // since its last response, or since it was opened
	Evicts  bool          // its place is needed; otherwise its idle timeout is over, or the server is draining
}

// becomeIdle records that the connection waits for a request, for the time given at most. A drain either finds it idle or is seen here.
func (c *conn) becomeIdle(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.draining.Load() {
		wait = min(wait, c.server.drainLeft())
	}
	c.idle, c.idleSince, c.evicted = true, sinceStart(), false
	c.netConn.SetReadDeadline(time.Now().Add(wait))
}

// becomeBusy records that a request has begun to arrive.
func (c *conn) becomeBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.requestBegan.Store(true)
}

// idleState tells whether the connection is between requests, and for how long.
func (c *conn) idleState() (r IdleConn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return IdleConn{IdleFor: time.Duration(sinceStart() - c.idleSince), Evicts: c.evicted}, c.idle
}

// expireIdle lets the connection's wait for a request end within the time given, if it is idle and may be closed; it tells whether
// that is so.
func (c *conn) expireIdle(within time.Duration, evicts bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := IdleConn{IdleFor: time.Duration(sinceStart() - c.idleSince), Evicts: evicts}
	if !c.idle || !c.server.mayCloseIdle(r) {
		return false
	}
	c.evicted = evicts
	c.netConn.SetReadDeadline(time.Now().Add(within))
	return true
}

// CloseIdle closes up to n of the connections that have been idle longest, and returns how many.
func (s *Server) CloseIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeIdle(n)
}

// closeIdle is CloseIdle with s.mu held. Only connections that have been idle for a while are closed: a request may be on its way on the
// others. Those on which no request has ever come go first.
func (s *Server) closeIdle(n int) (closed int) {
	for closed < n {
		oldest := s.evictionCandidate()
		if oldest == nil {
			return closed
		}
		if oldest.expireIdle(0, true) { // otherwise a request has begun meanwhile
			closed++
		}
	}
	return closed
}

// evictionCandidate returns the connection that is evicted next; nil = there is none. s.mu is held.
func (s *Server) evictionCandidate() (oldest *conn) {
	var longest IdleConn
	for c := range s.conns {
		r, ok := c.idleState()
		if !ok || r.Evicts || !s.mayCloseIdle(IdleConn{IdleFor: r.IdleFor, Evicts: true}) {
			continue
		}
		if oldest == nil || evictsBefore(c, r, oldest, longest) {
			oldest, longest = c, r
		}
	}
	return oldest
}

// evictsBefore tells whether a connection is evicted before another.
func evictsBefore(c *conn, idle IdleConn, other *conn, otherIdle IdleConn) bool {
	if began := c.requestBegan.Load(); began != other.requestBegan.Load() {
		return !began
	}
	return idle.IdleFor > otherIdle.IdleFor
}

// mayCloseIdle tells whether an idle connection may be closed.
func (s *Server) mayCloseIdle(r IdleConn) bool {
	if s.MayCloseIdle != nil {
		return s.MayCloseIdle(r)
	}
	return !r.Evicts || r.IdleFor > s.Timeouts.MinIdle()
}

// closeIdle closes a connection between requests on which a read has failed. After an idle timeout it is read on for a moment: what its
// client sends just then would be reset otherwise. An evicted one, or one that its client has closed, is not read on.
func (c *conn) closeIdle(err error) {
	r, _ := c.idleState()
	evicted := r.Evicts
	switch {
	case evicted:
		c.closed.Reason = Evicted
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.closed.Reason = PeerClosed
	case c.server.draining.Load():
		c.closed.Reason = Drained
	case c.closed.Requests == 0:
		c.closed.Reason = NoRequestInTime
	default:
		c.closed.Reason = IdleTimeout
	}
	c.linger(evicted || !errors.Is(err, os.ErrDeadlineExceeded))
}

// arrivedAtDeadline tells whether a request arrived in the moment in which the idle timeout ended: a read whose deadline has passed fails
// whatever has arrived, and a close over unread bytes is a reset.
func (c *conn) arrivedAtDeadline(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.netConn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err = c.buffered.Peek(1)
	return err == nil
}
