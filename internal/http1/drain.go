package http1

import (
	"time"
)

// Drain stops accepting, closes idle connections, and lets each other one end with its present answer. What has
// connected or was being sent already is read: a connection that waits to be accepted, or a request on its way,
// would else be met by a reset.
func (s *Server) Drain() {
	s.idleBy.Store(sinceStart() + int64(orElse(s.Timeouts.DrainIdle, drainIdle)))
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Broadcast()
	s.stopAccepting()
	for c := range s.conns {
		c.endRest(orElse(s.Timeouts.DrainIdle, drainIdle), false)
	}
}

// stopAccepting ends the listener: soon, or at once where others accept from it too. The lock is held.
func (s *Server) stopAccepting() {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && !s.Shared {
		l.SetDeadline(time.Now().Add(orElse(s.Timeouts.DrainAccept, drainAccept)))
	} else if s.listener != nil {
		s.listener.Close()
	}
}

// drainLeft is for how long an idle connection of a draining server is still read.
func (s *Server) drainLeft() time.Duration {
	if !s.Timeouts.DrainKeep {
		return orElse(s.Timeouts.DrainIdle, drainIdle)
	}
	return max(time.Millisecond, time.Duration(s.idleBy.Load()-sinceStart()))
}

// closing tells whether connections end with the answer that is being given.
func (s *Server) closing() bool {
	return s.draining.Load() && (!s.Timeouts.DrainKeep || sinceStart() >= s.idleBy.Load())
}
