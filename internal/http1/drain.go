package http1

import "time"

// Drain begins the graceful shutdown: the server stops accepting, closes idle connections, and closes each other connection after its
// current response. It does so after the delays in Timeouts, because a connection in the listen queue or a request in transit would
// otherwise be reset.
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

// stopAccepting stops the listener after Timeouts.DrainAccept, or immediately if other processes accept from the same socket. s.mu is
// held.
func (s *Server) stopAccepting() {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && !s.Shared {
		l.SetDeadline(time.Now().Add(orElse(s.Timeouts.DrainAccept, defaultDrainAccept)))
	} else if s.listener != nil {
		s.listener.Close()
	}
}

// drainIdleRemaining returns how long a draining server still waits for a request on an idle connection.
func (s *Server) drainIdleRemaining() time.Duration {
	if !s.Timeouts.KeepAliveWhileDraining {
		return orElse(s.Timeouts.DrainIdle, defaultDrainIdle)
	}
	return max(time.Millisecond, time.Duration(s.idleDeadline.Load()-sinceStart()))
}

// closesConnections reports whether connections close after their current response.
func (s *Server) closesConnections() bool {
	return s.draining.Load() && (!s.Timeouts.KeepAliveWhileDraining || sinceStart() >= s.idleDeadline.Load())
}
