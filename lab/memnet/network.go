// Package memnet is a network in memory, for tests on virtual time (testing/synctest): listeners and connections that behave as TCP
// does where a proxy can tell, with hosts that refuse or reset connections, or do not answer. It opens no descriptor.
package memnet

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network is a set of listeners by address. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*Listener
	silent    map[string]bool // hosts that do not answer: connections never come up
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*Listener{}, silent: map[string]bool{}}
}

// Listen returns a listener at an address; it takes the place of one that is there.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{
		network: n,
		address: hostAddr(address),
		wake:    make(chan struct{}, 1),
		open:    map[*Conn]bool{},
	}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l
}

// Silence sets whether connections to an address never come up.
func (n *Network) Silence(address string, on bool) {
	n.mu.Lock()
	n.silent[address] = on
	n.mu.Unlock()
}

// Dialer returns a dialer for a host; the accepted ends of its connections have the host's name as their remote address.
func (n *Network) Dialer(host string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[address]
		silent := n.silent[address]
		n.mu.Unlock()
		if silent {
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: timeoutError{}}
		}
		if l == nil {
			return nil, &net.OpError{Op: "dial", Net: "mem", Err: syscall.ECONNREFUSED}
		}
		return l.connect(hostAddr(host))
	}
}

// hostAddr is the name of a host as a net.Addr.
type hostAddr string

// Network returns the name of the network.
func (hostAddr) Network() string { return "mem" }

// String returns the name of the host.
func (a hostAddr) String() string { return string(a) }

// timeoutError is the error of a connection that was not established in time.
type timeoutError struct{}

// Error says what happened.
func (timeoutError) Error() string { return "memnet: no connection came up in time" }

// Timeout reports that the error is a timeout, as net.Error requires.
func (timeoutError) Timeout() bool { return true }

// Temporary reports that another attempt may succeed, as net.Error requires.
func (timeoutError) Temporary() bool { return true }
