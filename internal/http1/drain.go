package http1

import "time"

// Drain begins the graceful shutdown: the server stops accepting, closes idle connections, and each other connection ends with its
// present response. What has connected or was sent already is still read: a connection that waits to be accepted, or a request on
// its way, would be reset otherwise.
func (s *Server) Drain() {
	s.idleDeadline.Store(sinceStart() + int64(orElse(s.Timeouts.DrainIdle, defaultDrainIdle)))
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queueFree.Broadcast()
	s.stopAccepting()
	for c := range s.conns {
		c.expireIdle(orElse(s.Timeouts.DrainIdle, defaultDrainIdle), false)
	}
}

// stopAccepting ends the listener: soon, or at once where other processes accept from the same socket. s.mu is held.
func (s *Server) stopAccepting() {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && !s.Shared {
		l.SetDeadline(time.Now().Add(orElse(s.Timeouts.DrainAccept, defaultDrainAccept)))
	} else if s.listener != nil {
		s.listener.Close()
	}
}

// drainLeft is for how long a draining server still reads an idle connection.
func (s *Server) drainLeft() time.Duration {
	if !s.Timeouts.DrainKeep {
		return orElse(s.Timeouts.DrainIdle, defaultDrainIdle)
	}
	return max(time.Millisecond, time.Duration(s.idleDeadline.Load()-sinceStart()))
}

// closesConnections tells whether connections end with their present response.
func (s *Server) closesConnections() bool {
	return s.draining.Load() && (!s.Timeouts.DrainKeep || sinceStart() >= s.idleDeadline.Load())
}
