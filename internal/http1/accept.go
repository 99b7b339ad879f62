package http1

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"
)

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
		s.queueFree.L, s.connEnded.L = &s.mu, &s.mu
	}
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	if s.draining.Load() { // Drain was called before Serve
		s.stopAccepting()
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case s.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptPending(l)
			return l.Close()
		default:
			s.handleAcceptError(err)
		}
	}
}

// handleAcceptError handles a failed accept. Every cause (a full descriptor table, a shortage of memory, a network error of one
// connection) may be temporary and further connections may be waiting, so the server continues to accept after a delay.
func (s *Server) handleAcceptError(err error) {
	if IsDescriptorShortage(err) {
		s.CloseIdle(1) // frees a descriptor; if none may be evicted, a connection may end during the delay
	}
	if IsProcessDescriptorLimit(err) && s.OnDescriptorShortage != nil {
		s.OnDescriptorShortage(s.Conns())
	}
	time.Sleep(acceptRetryDelay)
}

// Durations of the accept loop.
const (
	acceptRetryDelay     = 5 * time.Millisecond   // after a failed accept
	acceptPendingPoll    = time.Millisecond       // timeout of one accept by acceptPending
	acceptPendingTimeout = 100 * time.Millisecond // for all accepts by acceptPending together
)

// acceptPending accepts the connections that are still in the listen queue when a drain stops accepting. An accept after the deadline
// fails even if connections are queued, and closing the listener resets queued connections, so that the requests already sent on them
// are lost.
func (s *Server) acceptPending(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(acceptPendingTimeout); time.Now().Before(end); {
		d.SetDeadline(time.Now().Add(acceptPendingPoll))
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return
		default:
			s.handleAcceptError(err)
		}
	}
}

// startConn starts the goroutine of a connection. A connection over the limit enters the rejection queue and stays there until the head
// of its first request has been read and the request is rejected. A rejection that is written before the request is read would be lost
// to a reset. While the rejection queue is full, startConn blocks: the server accepts nothing until a connection leaves the queue or a
// drain begins.
func (s *Server) startConn(nc net.Conn) {
	c := &conn{server: s, netConn: nc, ahead: &readAhead{netConn: nc, heldBytes: &s.heldBytes}}
	s.mu.Lock()
	overLimit := s.MaxConns != nil && len(s.conns)-s.rejecting >= s.MaxConns()
	if overLimit {
		overLimit = s.closeIdle(1) == 0 // evict an idle connection in favor of the new one
	}
	if overLimit {
		for s.rejecting >= s.rejectionQueueSize() && !s.draining.Load() {
			s.queueFree.Wait()
		}
		s.rejecting++
	}
	if s.closed {
		if overLimit {
			s.rejecting--
		}
		s.mu.Unlock()
		nc.Close()
		return
	}
	c.idle, c.idleSince = !overLimit, sinceStart() // connections in the rejection queue are not evicted
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		if overLimit {
			c.rejectOverLimit()
		} else {
			c.serve()
		}
		nc.Close()
		c.ahead.discard()
		if s.OnClose != nil {
			s.OnClose(c.closed)
		}
		s.mu.Lock()
		delete(s.conns, c)
		if overLimit {
			s.rejecting--
			s.queueFree.Signal()
		}
		s.connEnded.Broadcast()
		s.mu.Unlock()
	}()
}

// IsDescriptorShortage reports whether an error means that the process or the machine has no file descriptors left.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsProcessDescriptorLimit reports whether an error means that the process has reached its own limit of file descriptors. A shortage
// of the whole machine does not count: closing connections of this process would change little.
func IsProcessDescriptorLimit(err error) bool { return errors.Is(err, syscall.EMFILE) }
