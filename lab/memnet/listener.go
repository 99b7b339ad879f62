package memnet

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener accepts the connections of an address.
type Listener struct {
	network *Network
	address hostAddr
	wake    chan struct{} // holds a value when Accept has something to look at

	mu          sync.Mutex
	waiting     []*Conn        // not accepted yet
	open        map[*Conn]bool // the listener's ends of connections that are open
	connections int            // made so far
	closed      bool
	closeTimer  *time.Timer
}

// connect makes a connection and returns the client's end.
func (l *Listener) connect(from hostAddr) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	resetError := resetErrors[l.connections%len(resetErrors)]
	l.connections++
	toServer := newDirection(resetError)
	toClient := newDirection(resetError)
	client := &Conn{in: toClient, out: toServer, local: from, remote: l.address}
	server := &Conn{in: toServer, out: toClient, local: l.address, remote: from, listener: l}
	l.waiting = append(l.waiting, server)
	l.open[server] = true
	l.signal()
	return client, nil
}

// signal wakes a waiting Accept.
func (l *Listener) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Accept waits for a connection; it returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		if len(l.waiting) > 0 {
			c := l.waiting[0]
			l.waiting = l.waiting[1:]
			l.mu.Unlock()
			return c, nil
		}
		closed := l.closed
		l.mu.Unlock()
		if closed {
			l.signal()
			return nil, net.ErrClosed
		}
		<-l.wake
	}
}

// Close closes the listener and resets what it has not accepted; accepted connections stay open.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	l.network.mu.Unlock()
	l.mu.Lock()
	l.closed = true
	waiting := l.waiting
	l.waiting = nil
	if l.closeTimer != nil {
		l.closeTimer.Stop()
	}
	l.mu.Unlock()
	for _, c := range waiting {
		c.Reset()
	}
	l.signal()
	return nil
}

// SetDeadline closes the listener at a time, as an accept that times out would.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeTimer != nil {
		l.closeTimer.Stop()
	}
	l.closeTimer = time.AfterFunc(time.Until(t), func() { l.Close() })
	return nil
}

// ResetAll resets the connections that were accepted and are open.
func (l *Listener) ResetAll() {
	l.mu.Lock()
	var open []*Conn
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.Reset()
	}
}

// Addr returns the address of the listener.
func (l *Listener) Addr() net.Addr { return l.address }
