package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Mode is how a proxy forwards what it is sent.
type Mode int

// Modes of a proxy.
const (
	Forward   Mode = iota
	Blackhole      // nothing is forwarded in either direction, and connections stay open
	Fragment       // what comes is forwarded in fragments of a few bytes
	DelayNew       // new connections carry nothing for most of a second
	CutOff         // open connections carry nothing and stay open, and new ones never come up
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
	// modePollInterval is how often a silenced connection looks at its mode again.
	modePollInterval = 10 * time.Millisecond
	// acceptQueueFillers is more than the shortest accept queue holds, with the connection that the proxy has accepted.
	acceptQueueFillers = 8
	// fillerTimeout is how long a connection to the own address takes at the most that the kernel does not drop.
	fillerTimeout = 30 * time.Millisecond
	// queuedTimeout is for how long connections are taken for those that came up under CutOff.
	queuedTimeout = 20 * time.Millisecond
	// forwardBufferBytes is the most that one read forwards.
	forwardBufferBytes = 16 << 10
)

// Proxy forwards connections to one address, and degrades them on command.
type Proxy struct {
	listener net.Listener
	target   string

	mu         sync.Mutex // guards the fields below
	mode       Mode
	conns      map[net.Conn]bool // of both sides
	blackholed map[net.Conn]bool // those of them that carry nothing any more
	fillers    []net.Conn        // connections of its own that keep the accept queue full under CutOff
}

// NewProxy starts a proxy to an address; Close ends it.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}, blackholed: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode changes the mode. All connections are reset at the end of Blackhole and of CutOff; what they had swallowed stays lost.
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

// fillAcceptQueue makes the kernel drop what asks for a new connection, as a machine that is cut off does: the accept queue is made
// as short as can be, and filled.
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

// setAcceptQueue sets the length of the accept queue.
func (p *Proxy) setAcceptQueue(length int) {
	raw, err := p.listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		return
	}
	raw.Control(func(fd uintptr) { unix.Listen(int(fd), length) })
}

// currentMode returns the mode as it is now.
func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// BlackholeConnections makes all present connections carry nothing any more, without closing them; new ones are forwarded.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeAll()
}

// blackholeAll is BlackholeConnections where the lock is held.
func (p *Proxy) blackholeAll() {
	for c := range p.conns {
		p.blackholed[c] = true
	}
}

// silenced reports whether nothing is forwarded from a connection now.
func (p *Proxy) isBlackholed(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode == Blackhole || p.mode == CutOff || p.blackholed[c]
}

// LosesResponse reports whether what the target sends over the connection from an address of the proxy is not forwarded.
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

// Close ends the proxy.
func (p *Proxy) Close() {
	p.SetMode(Forward)
	p.listener.Close()
	p.Reset()
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// accept accepts connections until the listener is closed. Under CutOff it keeps the first one and takes no other.
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

// resetQueued resets the connections that have come up in the accept queue under CutOff: what was written to them is lost.
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
		if peerClosed(c) { // nobody would read the response
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

// peerClosed reports whether the connection is no longer established in both directions.
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

// forward copies one direction. An end of sending closes both connections, an error resets them.
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

// write writes bytes, in fragments where the mode says so.
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
