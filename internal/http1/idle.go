package http1

import (
	"errors"
	"os"
	"time"
)

// IdleConn describes a connection between requests that is a candidate for closing.
type IdleConn struct {
	IdleFor time.Duration // since its last response, or since it was opened
	Evicts  bool          // it would close in favor of another connection; otherwise its idle timeout has passed or the server is draining
}

// becomeIdle marks the connection as waiting for a request and limits the wait. A concurrent drain either finds the connection idle or
// is detected here.
func (c *conn) becomeIdle(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.server.draining.Load() {
		wait = min(wait, c.server.drainIdleRemaining())
	}
	c.idle, c.idleSince, c.evicted = true, sinceStart(), false
	c.netConn.SetReadDeadline(time.Now().Add(wait))
}

// becomeBusy marks the connection as receiving a request.
func (c *conn) becomeBusy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.requestBegan.Store(true)
}

// idleState reports whether the connection is between requests (ok), and for how long.
func (c *conn) idleState() (r IdleConn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return IdleConn{IdleFor: time.Duration(sinceStart() - c.idleSince), Evicts: c.evicted}, c.idle
}

// expireIdle checks whether the connection is idle and may be closed. If so, it limits the remaining wait for a request to timeout. It
// reports whether it set this limit.
func (c *conn) expireIdle(timeout time.Duration, evicts bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := IdleConn{IdleFor: time.Duration(sinceStart() - c.idleSince), Evicts: evicts}
	if !c.idle || !c.server.mayCloseIdle(r) {
		return false
	}
	c.evicted = evicts
	c.netConn.SetReadDeadline(time.Now().Add(timeout))
	return true
}

// CloseIdle closes up to n of the connections that have been idle longest and returns the number closed.
func (s *Server) CloseIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeIdle(n)
}

// closeIdle is CloseIdle with s.mu held. It closes only connections that mayCloseIdle allows: on one that became idle a moment ago,
// a request may be in transit. Connections on which no request ever arrived are closed first.
func (s *Server) closeIdle(n int) (closed int) {
	for closed < n {
		oldest := s.evictionCandidate()
		if oldest == nil {
			return closed
		}
		if oldest.expireIdle(0, true) { // false if a request has begun since
			closed++
		}
	}
	return closed
}

// evictionCandidate returns the connection to evict next, or nil if there is none. s.mu is held.
func (s *Server) evictionCandidate() (oldest *conn) {
	var oldestIdle IdleConn
	for c := range s.conns {
		r, ok := c.idleState()
		if !ok || r.Evicts || !s.mayCloseIdle(IdleConn{IdleFor: r.IdleFor, Evicts: true}) {
			continue
		}
		if oldest == nil || evictedBefore(c, r, oldest, oldestIdle) {
			oldest, oldestIdle = c, r
		}
	}
	return oldest
}

// evictedBefore reports whether c is evicted before other.
func evictedBefore(c *conn, idle IdleConn, other *conn, otherIdle IdleConn) bool {
	if began := c.requestBegan.Load(); began != other.requestBegan.Load() {
		return !began
	}
	return idle.IdleFor > otherIdle.IdleFor
}

// mayCloseIdle reports whether an idle connection may be closed.
func (s *Server) mayCloseIdle(r IdleConn) bool {
	if s.MayCloseIdle != nil {
		return s.MayCloseIdle(r)
	}
	return !r.Evicts || r.IdleFor > s.Timeouts.MinIdle()
}

// closeIdle closes a connection between requests on which a read has failed. After an idle timeout it lingers, since a request that the
// client sends at that moment would otherwise cause a reset. A connection that is evicted or that the client has closed does not linger.
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

// arrivedAtDeadline reports whether a request arrived just as the idle timeout passed: a read after its deadline fails even if bytes
// have arrived, and closing a connection with unread bytes resets it.
func (c *conn) arrivedAtDeadline(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.netConn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err = c.buffered.Peek(1)
	return err == nil
}
