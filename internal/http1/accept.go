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
			s.acceptWaiting(l)
			return l.Close()
		default:
			s.acceptFailed(err)
		}
	}
}

// acceptFailed handles a failed accept. Whatever the reason (a full descriptor table, a shortage of memory, a network error of that
// one connection), it may pass and further connections wait, so that the server goes on accepting.
func (s *Server) acceptFailed(err error) {
	if IsDescriptorShortage(err) {
		s.CloseIdle(1) // others may close meanwhile
	}
	if IsProcessDescriptorLimit(err) && s.OnDescriptorShortage != nil {
		s.OnDescriptorShortage(s.Conns())
	}
	time.Sleep(acceptRetryPause)
}

// Intervals of accepting.
const (
	acceptRetryPause = 5 * time.Millisecond   // after a failed accept
	acceptPoll       = time.Millisecond       // for one accept, once the listener is to stop
	acceptTail       = 100 * time.Millisecond // for all connections that wait when the listener is to stop
)

// acceptWaiting accepts the connections that wait in the listen queue when a drain stops accepting: an accept whose deadline has passed
// fails whatever the queue holds, and what the queue holds when the listener closes is reset with all that it has sent.
func (s *Server) acceptWaiting(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(acceptTail); time.Now().Before(end); {
		d.SetDeadline(time.Now().Add(acceptPoll))
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.startConn(nc)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return
		default:
			s.acceptFailed(err)
		}
	}
}

// startConn gives a connection its goroutine. Over the connection limit it goes to the rejection queue, for no longer than it takes to
// read a head and to reject the request: a rejection written before the request was read would be lost to a reset. Where the
// rejection queue is full too, nothing more is accepted until one of its connections has ended.
func (s *Server) startConn(nc net.Conn) {
	c := &conn{server: s, netConn: nc, ahead: &readAhead{netConn: nc, heldBytes: &s.heldBytes}}
	s.mu.Lock()
	full := s.MaxConns != nil && len(s.conns)-s.rejecting >= s.MaxConns()
	if full {
		full = s.closeIdle(1) == 0 // an idle connection is evicted for the new one
	}
	if full {
		for s.rejecting >= s.rejectionQueueSize() && !s.draining.Load() {
			s.queueFree.Wait()
		}
		s.rejecting++
	}
	if s.closed {
		if full {
			s.rejecting--
		}
		s.mu.Unlock()
		nc.Close()
		return
	}
	c.idle, c.idleSince = !full, sinceStart() // one in the rejection queue is not evicted
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		if full {
			c.rejectOverLimit()
		} else {
			c.serve()
		}
		nc.Close()
		c.ahead.drop()
		if s.OnClose != nil {
			s.OnClose(c.closed)
		}
		s.mu.Lock()
		delete(s.conns, c)
		if full {
			s.rejecting--
			s.queueFree.Signal()
		}
		s.connEnded.Broadcast()
		s.mu.Unlock()
	}()
}

// IsDescriptorShortage tells whether an error means that the process, or the machine, has no descriptor left.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsProcessDescriptorLimit tells whether an error means that the process has as many descriptors as it may. A shortage of the whole
// machine is none: fewer connections of this process would change little.
func IsProcessDescriptorLimit(err error) bool { return errors.Is(err, syscall.EMFILE) }
