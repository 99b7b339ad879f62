package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Mode is how a proxy forwards data. The zero value forwards everything.
type Mode int

// Modes of a proxy.
const (
	Forward   Mode = iota
	Blackhole      // nothing is forwarded in either direction, and connections stay open
	Fragment       // data is forwarded in fragments of a few bytes
	DelayNew       // new connections carry nothing for the first newConnectionDelay
	CutOff         // open connections carry nothing and stay open, and new ones are never established
)

func (m Mode) String() string {
	switch m {
	case Forward:
		return "forward"
	case Blackhole:
		return "blackhole"
	case Fragment:
		return "fragment"
	case DelayNew:
		return "delay new connections"
	case CutOff:
		return "cut off"
	}
	return fmt.Sprintf("Mode(%d)", int(m))
}

const (
	// newConnectionDelay is how long a new connection carries nothing under DelayNew.
	newConnectionDelay = 700 * time.Millisecond
	// fragmentBytes is the length of a fragment under Fragment.
	fragmentBytes = 7
	// fragmentInterval is the pause between two fragments.
	fragmentInterval = 50 * time.Microsecond
	// modePollInterval is how often a connection that carries nothing checks the mode again.
	modePollInterval = 10 * time.Millisecond
	// acceptQueueFillers is a number of connections that is larger than the shortest accept queue holds, including the connection that
	// the proxy accepts under CutOff.
	acceptQueueFillers = 8
	// fillerTimeout is the time after which a connection to the proxy itself counts as dropped by the kernel if it is not established.
	fillerTimeout = 30 * time.Millisecond
	// queuedTimeout is how long after the end of CutOff accepted connections still count as established under CutOff.
	queuedTimeout = 20 * time.Millisecond
	// forwardBufferBytes is the maximum number of bytes that are forwarded after one read.
	forwardBufferBytes = 16 << 10
)

// Proxy forwards connections to one address, and degrades them according to its mode. Its methods are safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex // guards the fields below
	mode       Mode
	conns      map[net.Conn]bool // connections from clients and to the target
	blackholed map[net.Conn]bool // the connections in conns that carry nothing more
	fillers    []net.Conn        // the proxy's connections to itself that keep the accept queue full under CutOff
}

// NewProxy starts a proxy to an address on a loopback port; Close stops it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. If the mode was Blackhole or CutOff, all connections are reset and the data that was not forwarded is lost.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	previous := p.mode
	if previous == Blackhole || previous == CutOff {
		p.blackholeAll()
	}
	p.mode = m
	p.mu.Unlock()
	if previous == m {
		return
	}
	if m == CutOff {
		p.fillAcceptQueue()
	}
	if previous == CutOff {
		p.emptyAcceptQueue()
	}
	if previous == Blackhole || previous == CutOff {
		p.Reset()
	}
}

// fillAcceptQueue makes the kernel drop requests for new connections, as if the machine were cut off: it makes the accept queue as short
// as possible and fills it.
func (p *Proxy) fillAcceptQueue() {
	p.setAcceptQueue(0)
	for range acceptQueueFillers {
		c, err := net.DialTimeout("tcp", p.Address(), fillerTimeout)
		if err != nil {
			return // full
		}
		p.mu.Lock()
		p.fillers = append(p.fillers, c)
		p.mu.Unlock()
	}
}

func (p *Proxy) emptyAcceptQueue() {
	p.setAcceptQueue(unix.SOMAXCONN)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.fillers {
		reset(c)
	}
	p.fillers = nil
}

// setAcceptQueue sets the length of the listener's accept queue.
func (p *Proxy) setAcceptQueue(length int) {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), length) })
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// BlackholeConnections stops all data on the open connections, without closing them. New connections are forwarded.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeAll()
}

// blackholeAll is BlackholeConnections for callers that hold the lock.
func (p *Proxy) blackholeAll() {
	for c := range p.conns {
		p.blackholed[c] = true
	}
}

// isBlackholed reports whether data from a connection is not forwarded now.
func (p *Proxy) isBlackholed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == Blackhole || p.mode == CutOff || p.blackholed[c]
}

// LosesResponse reports whether data that the target sends on the proxy's connection from the address peer is not forwarded.
func (p *Proxy) LosesResponse(peer net.Addr) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		if c.LocalAddr().String() == peer.String() {
			return p.mode == Blackhole || p.mode == CutOff || p.blackholed[c]
		}
	}
	return false
}

// Reset resets all connections.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
	clear(p.blackholed)
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	p.SetMode(Forward)
	p.listener.Close()
	p.Reset()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// accept accepts connections until the listener is closed. Under CutOff, it accepts one connection, which it resets at the end of CutOff.
func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == CutOff {
			for p.currentMode() == CutOff {
				time.Sleep(modePollInterval)
			}
			reset(c)
			p.resetQueued()
			continue
		}
		p.track(c)
		go p.serve(c)
	}
}

// resetQueued resets the connections that the kernel established in the accept queue under CutOff. Data written to them is lost.
func (p *Proxy) resetQueued() {
	l := p.listener.(*net.TCPListener)
	l.SetDeadline(time.Now().Add(queuedTimeout))
	defer l.SetDeadline(time.Time{})
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		reset(c)
	}
}

func (p *Proxy) track(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
}

func (p *Proxy) untrack(c net.Conn) {
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.blackholed, c)
	p.mu.Unlock()
}

// serve connects to the target and forwards both directions.
func (p *Proxy) serve(c net.Conn) {
	if p.currentMode() == DelayNew {
		time.Sleep(newConnectionDelay)
		if peerClosed(c) { // the client no longer waits for a response
			p.untrack(c)
			c.Close()
			return
		}
	}
	for p.currentMode() == Blackhole {
		time.Sleep(modePollInterval)
	}
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		p.untrack(c)
		reset(c)
		return
	}
	p.track(upstream)
	go p.forward(c, upstream)
	p.forward(upstream, c)
}

// peerClosed reports whether a connection is no longer established in both directions.
func peerClosed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	established := false
	raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		established = err == nil && info.State == unix.BPF_TCP_ESTABLISHED
	})
	return !established
}

// forward copies the data of one direction. At the end of the data it closes both connections; after an error it resets them.
func (p *Proxy) forward(from, to net.Conn) {
	buffer := make([]byte, forwardBufferBytes)
	for {
		n, err := from.Read(buffer)
		for err == nil && p.isBlackholed(from) {
			time.Sleep(modePollInterval)
			if peerClosed(from) {
				err = io.EOF
			}
		}
		if err == nil {
			err = p.write(to, buffer[:n])
		}
		if err == nil {
			continue
		}
		p.untrack(from)
		p.untrack(to)
		if err == io.EOF {
			from.Close()
			to.Close()
			return
		}
		reset(from)
		reset(to)
		return
	}
}

// write writes bytes, in fragments if the mode is Fragment.
func (p *Proxy) write(to net.Conn, b []byte) error {
	for len(b) > 0 {
		n := len(b)
		if p.currentMode() == Fragment && n > fragmentBytes {
			n = fragmentBytes
		}
		if _, err := to.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		if len(b) > 0 {
			time.Sleep(fragmentInterval)
		}
	}
	return nil
}
