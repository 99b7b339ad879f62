package memnet

import (
	"net"
	"sync"
	"syscall"
	"time"
)

// Listener accepts the connections to one address. It is safe for concurrent use.
type Listener struct {
	network     *Network
	address     hostAddr
	acceptReady chan struct{} // receives a value when a connection is pending or the listener is closed

	mu              sync.Mutex
	pending         []*Conn        // connected, not accepted yet
	open            map[*Conn]bool // accepting ends of the connections that are not closed
	connectionCount int            // number of connections so far
	closed          bool
	closeTimer      *time.Timer
}

// connect makes a connection from a host, queues one end for Accept and returns the client's end.
func (l *Listener) connect(from hostAddr) (net.Conn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
	}
	resetError := resetErrors[l.connectionCount%len(resetErrors)]
	l.connectionCount++
	toServer := newDirection(resetError)
	toClient := newDirection(resetError)
	client := &Conn{in: toClient, out: toServer, local: from, remote: l.address}
	server := &Conn{in: toServer, out: toClient, local: l.address, remote: from, listener: l}
	l.pending = append(l.pending, server)
	l.open[server] = true
	l.signal()
	return client, nil
}

// signal wakes one waiting Accept. If none waits, the next Accept that would wait checks the listener again immediately.
func (l *Listener) signal() {
	select {
	case l.acceptReady <- struct{}{}:
	default:
	}
}

// Accept waits for a connection. It returns net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		l.mu.Lock()
		if len(l.pending) > 0 {
			c := l.pending[0]
			l.pending = l.pending[1:]
			l.mu.Unlock()
			return c, nil
		}
		closed := l.closed
		l.mu.Unlock()
		if closed {
			l.signal()
			return nil, net.ErrClosed
		}
		<-l.acceptReady
	}
}

// Close closes the listener and resets the connections that it has not accepted. Accepted connections stay open.
func (l *Listener) Close() error {
	l.network.mu.Lock()
	if l.network.listeners[string(l.address)] == l {
		delete(l.network.listeners, string(l.address))
	}
	l.network.mu.Unlock()
	l.mu.Lock()
	l.closed = true
	unaccepted := l.pending
	l.pending = nil
	if l.closeTimer != nil {
		l.closeTimer.Stop()
	}
	l.mu.Unlock()
	for _, c := range unaccepted {
		c.Reset()
	}
	l.signal()
	return nil
}

// SetDeadline closes the listener at time t. Accept then returns net.ErrClosed instead of a timeout.
func (l *Listener) SetDeadline(t time.Time) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeTimer != nil {
		l.closeTimer.Stop()
	}
	l.closeTimer = time.AfterFunc(time.Until(t), func() { l.Close() })
	return nil
}

// ResetAll resets all connections of the listener that are open.
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
