package http1

import (
	"errors"
	"os"
	"time"
)

// IdleConn is a connection between requests that is to end.
type IdleConn struct {
	IdleFor time.Duration // since it rests
	Evicts  bool          // another one needs its place; else its time is over, or the server is draining
}

// rests notes that the connection waits for a request, for so long at the most. A drain either finds it resting or is seen here.
func (c *conn) rests(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.srv.draining.Load() {
		wait = min(wait, c.srv.drainLeft())
	}
	c.idle, c.rest, c.makesRoom = true, sinceStart(), false
	c.nc.SetReadDeadline(time.Now().Add(wait))
}

// busy notes that a request has begun to come.
func (c *conn) busy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.said.Store(true)
}

// resting tells whether the connection is between requests, and for how long.
func (c *conn) resting() (r IdleConn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return IdleConn{IdleFor: time.Duration(sinceStart() - c.rest), Evicts: c.makesRoom}, c.idle
}

// endRest has the connection end soon if it rests and may be ended; it tells whether it does.
func (c *conn) endRest(within time.Duration, makesRoom bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := IdleConn{IdleFor: time.Duration(sinceStart() - c.rest), Evicts: makesRoom}
	if !c.idle || !c.srv.mayEnd(r) {
		return false
	}
	c.makesRoom = makesRoom
	c.nc.SetReadDeadline(time.Now().Add(within))
	return true
}

// CloseIdle closes up to n connections that have rested longest between requests, and tells how many.
func (s *Server) CloseIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeIdle(n)
}

// closeIdle is CloseIdle under the lock. Only what has rested for a while is closed: a request may be on its way to the
// others. Those that have never asked anything go first.
func (s *Server) closeIdle(n int) (closed int) {
	for closed < n {
		oldest := s.oldestResting()
		if oldest == nil {
			return closed
		}
		if oldest.endRest(0, true) { // else a request has begun meanwhile
			closed++
		}
	}
	return closed
}

// oldestResting returns the connection that makes room next; nil = there is none. The lock is held.
func (s *Server) oldestResting() (oldest *conn) {
	var longest IdleConn
	for c := range s.conns {
		r, ok := c.resting()
		if !ok || r.Evicts || !s.mayEnd(IdleConn{r.IdleFor, true}) {
			continue
		}
		if oldest == nil || goesBefore(c, r, oldest, longest) {
			oldest, longest = c, r
		}
	}
	return oldest
}

// goesBefore tells whether a connection makes room sooner than another.
func goesBefore(c *conn, r IdleConn, o *conn, than IdleConn) bool {
	if said := c.said.Load(); said != o.said.Load() {
		return !said
	}
	return r.IdleFor > than.IdleFor
}

// mayEnd tells whether a connection that rests may be ended.
func (s *Server) mayEnd(r IdleConn) bool {
	if s.MayCloseIdle != nil {
		return s.MayCloseIdle(r)
	}
	return !r.Evicts || r.IdleFor > s.Timeouts.MinIdle()
}

// endIdle ends a connection between requests, on which a read has failed. One whose time is over is read on for a moment: what its
// client sends just then would meet a reset. One that makes room for others, or that its client has ended, is not.
func (c *conn) endIdle(err error) {
	r, _ := c.resting()
	makesRoom := r.Evicts
	switch {
	case makesRoom:
		c.end.Reason = Evicted
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.end.Reason = PeerClosed
	case c.srv.draining.Load():
		c.end.Reason = Drained
	case c.end.Requests == 0:
		c.end.Reason = NoRequestInTime
	default:
		c.end.Reason = IdleTimeout
	}
	c.linger(makesRoom || !errors.Is(err, os.ErrDeadlineExceeded))
}

// cameLate tells whether a request came in the very moment in which the time of an idle connection ran out: a read whose deadline has
// passed fails, whatever is there. A close over it would be a reset.
func (c *conn) cameLate(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err = c.br.Peek(1)
	return err == nil
}
