package http1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"sync"
	"time"
)

// Pool keeps idle connections to servers, by address. It is safe for concurrent use.
type Pool struct {
	MaxIdle     int           // idle connections kept for each address
	MaxOpen     int           // open at once; idle ones count and are evicted; 0 = no bound
	IdleTimeout time.Duration // after which an idle connection is closed
	Limits      Limits
	// MaxIdleTime returns how long a connection that Get returns may have been idle; nil = IdleTimeout.
	MaxIdleTime func() time.Duration
	// MinIdleTime is how long a connection is idle at least before it carries another request; 0 = no such time. A faulty server may
	// send a second response to a request some moments after the first. It shows as unread bytes, which end the use of a connection,
	// but only once it has arrived: read later, it would be taken for the response to the next request.
	MinIdleTime time.Duration
	// Chunk bounds the size in bytes of one chunk of a response; 0 = no bound. Head bounds the time from the first byte of a response
	// to the end of its head; 0 = no bound but the connection's deadline.
	Chunk int64
	Head  time.Duration
	// Connect makes connections; nil = net.Dialer.
	Connect DialFunc

	mu     sync.Mutex
	idle   map[string][]*ClientConn
	open   int
	closed bool
}

// DialFunc makes a connection, as net.Dialer.DialContext does; ctx bounds its time.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrPoolFull is returned where as many connections are open as may be and none of them is idle.
var ErrPoolFull = errors.New("http1: connection limit reached")

// Get returns an idle connection that is still open, or dials one within the timeout, unless ctx ends before.
func (p *Pool) Get(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.IdleFor = time.Since(c.idleSince); c.IdleFor < limit && c.isReusable() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	return p.Dial(ctx, addr, timeout)
}

// Dial makes a connection within the timeout, unless ctx ends before.
func (p *Pool) Dial(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	if !p.reserve() {
		return nil, ErrPoolFull
	}
	connect := p.Connect
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	nc, err := connect(ctx, "tcp", addr)
	if err != nil {
		p.release()
		return nil, err
	}
	c := &ClientConn{address: addr, pool: p, netConn: nc, limits: p.Limits}
	c.buffered = bufio.NewReaderSize(deadlineReader{c}, 1<<10)
	return c, nil
}

// reserve counts one more connection; at the limit it evicts the one that has been idle longest. It returns false where none is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpen > 0 && p.open >= p.MaxOpen {
		var oldest *ClientConn
		for _, xs := range p.idle {
			for _, c := range xs {
				if oldest == nil || c.idleSince.Before(oldest.idleSince) {
					oldest = c
				}
			}
		}
		if oldest == nil {
			return false
		}
		xs := p.idle[oldest.address]
		p.idle[oldest.address] = slices.DeleteFunc(xs, func(c *ClientConn) bool { return c == oldest })
		oldest.netConn.Close()
		oldest.once.Do(func() { p.open-- })
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// takeIdle removes and returns the connection that has been idle shortest of those idle for MinIdleTime; nil = there is none. The
// connections of an address are in the order in which they were put back.
func (p *Pool) takeIdle(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	xs := p.idle[addr]
	for i := len(xs) - 1; i >= 0; i-- {
		if c := xs[i]; time.Since(c.idleSince) >= p.MinIdleTime {
			p.idle[addr] = slices.Delete(xs, i, i+1)
			return c
		}
	}
	return nil
}

// Put returns a connection to the pool after a complete exchange.
func (p *Pool) Put(c *ClientConn) {
	c.SetDeadline(time.Time{})
	c.idleSince = time.Now()
	p.mu.Lock()
	keep := !p.closed && !c.readingOn() && len(p.idle[c.address]) < p.MaxIdle && c.buffered.Buffered() == 0
	if keep {
		if p.idle == nil {
			p.idle = map[string][]*ClientConn{}
		}
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// PutAfter returns the connection to the pool if the response allows its reuse and its body has been read to the end; otherwise it
// closes the connection.
func (p *Pool) PutAfter(c *ClientConn, r *Response) {
	if r.keep {
		var one [1]byte
		if n, err := r.Body.Read(one[:]); n == 0 && err == io.EOF {
			p.Put(c)
			return
		}
	}
	c.Close()
}

// CloseExpired closes connections whose idle timeout is over. The owner calls it periodically.
func (p *Pool) CloseExpired() {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	var old []*ClientConn
	defer func() { closeAll(old) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, xs := range p.idle {
		keep := xs[:0]
		for _, c := range xs {
			if time.Since(c.idleSince) < limit {
				keep = append(keep, c)
			} else {
				old = append(old, c)
			}
		}
		clear(xs[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = keep
		}
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() { p.closeAllIdle(false) }

// Close closes the idle connections; connections that are put back later are closed.
func (p *Pool) Close() { p.closeAllIdle(true) }

func (p *Pool) closeAllIdle(last bool) {
	p.mu.Lock()
	var all []*ClientConn
	for _, xs := range p.idle {
		all = append(all, xs...)
	}
	p.idle, p.closed = nil, p.closed || last
	p.mu.Unlock()
	closeAll(all)
}

func closeAll(cs []*ClientConn) {
	for _, c := range cs {
		c.Close()
	}
}
