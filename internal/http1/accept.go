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
		s.room.L, s.ended.L = &s.mu, &s.mu
	}
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	if s.draining.Load() { // told before it had begun
		s.stopAccepting()
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
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

// acceptFailed deals with a connection that could not be accepted. Whatever the reason (a table that is full, memory that is short, a
// network error of that one connection), it may pass, and others wait behind it: nobody stops accepting for it.
func (s *Server) acceptFailed(err error) {
	if IsDescriptorShortage(err) {
		s.CloseIdle(1) // others may close meanwhile
	}
	if IsProcessDescriptorLimit(err) && s.OnDescriptorShortage != nil {
		s.OnDescriptorShortage(s.Conns())
	}
	time.Sleep(acceptPause)
}

// Times of an accept that fails, and of the last ones.
const (
	acceptPause = 5 * time.Millisecond
	acceptLook  = time.Millisecond       // a look whether a connection waits
	acceptLast  = 100 * time.Millisecond // for what waits when the time to accept is over
)

// acceptWaiting accepts what waits when a drain stops accepting: an accept whose deadline has passed fails, whatever waits, and what
// waits when the listener closes is reset with all that it has sent.
func (s *Server) acceptWaiting(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(acceptLast); time.Now().Before(end); {
		d.SetDeadline(time.Now().Add(acceptLook))
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return
		default:
			s.acceptFailed(err)
		}
	}
}

// start gives a connection its goroutine. Where no place is free it gets one in the lobby, which is for no longer than
// it takes to read a head and refuse: a refusal written before the request had been read would be lost to a reset. Where
// the lobby is full too, nothing more is accepted until somebody leaves it.
func (s *Server) start(nc net.Conn) {
	c := &conn{srv: s, nc: nc, ahead: &aheadReader{nc: nc, held: &s.held}}
	s.mu.Lock()
	full := s.MaxConns != nil && len(s.conns)-s.lobby >= s.MaxConns()
	if full {
		full = s.closeIdle(1) == 0 // one that rests makes room for one that asks
	}
	if full {
		for s.lobby >= s.lobbySize() && !s.draining.Load() {
			s.room.Wait()
		}
		s.lobby++
	}
	if s.closed {
		if full {
			s.lobby--
		}
		s.mu.Unlock()
		nc.Close()
		return
	}
	c.idle, c.rest = !full, sinceStart() // one that is to be refused does not make room
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		if full {
			c.turnAway()
		} else {
			c.serve()
		}
		nc.Close()
		c.ahead.drop()
		if s.OnClose != nil {
			s.OnClose(c.end)
		}
		s.mu.Lock()
		delete(s.conns, c)
		if full {
			s.lobby--
			s.room.Signal()
		}
		s.ended.Broadcast()
		s.mu.Unlock()
	}()
}

// IsDescriptorShortage tells whether an error means that the process, or the machine, has no descriptor left.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsProcessDescriptorLimit tells whether an error means that the process has as many descriptors as it may. Where it is the machine that has none
// left, fewer connections of ours would change little.
func IsProcessDescriptorLimit(err error) bool { return errors.Is(err, syscall.EMFILE) }
