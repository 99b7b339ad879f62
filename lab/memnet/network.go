// Package memnet provides an in-memory network for tests on virtual time (testing/synctest). Its listeners and connections behave like
// those of TCP as far as a proxy can observe; hosts can refuse or reset connections or not answer at all. It opens no file descriptor.
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
	silent    map[string]bool // addresses that do not answer: a dial blocks until its context ends
}

// New returns a network without listeners.
func New() *Network {
	return &Network{listeners: map[string]*Listener{}, silent: map[string]bool{}}
}

// Listen returns a listener at an address. It replaces the current listener at that address, if any.
func (n *Network) Listen(address string) *Listener {
	l := &Listener{
		network:     n,
		address:     hostAddr(address),
		acceptReady: make(chan struct{}, 1),
		open:        map[*Conn]bool{},
	}
	n.mu.Lock()
	n.listeners[address] = l
	n.mu.Unlock()
	return l
}

// Silence makes an address stop answering if on is true, and answer again otherwise. A dial of a silent address blocks until its context
// ends.
func (n *Network) Silence(address string, on bool) {
	n.mu.Lock()
	n.silent[address] = on
	n.mu.Unlock()
}

// Dialer returns a dial function for a host. The accepted ends of its connections have the host's name as their remote address.
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

// timeoutError is the error of a dial whose context ended before the address answered.
type timeoutError struct{}

// Error returns the text of the error.
func (timeoutError) Error() string { return "memnet: connection not established in time" }

// Timeout reports that the error is a timeout, as net.Error requires.
func (timeoutError) Timeout() bool { return true }

// Temporary reports that another attempt may succeed, as net.Error requires.
func (timeoutError) Temporary() bool { return true }
