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
	MaxIdle     int           // maximum number of idle connections for each address
	MaxOpen     int           // maximum number of open connections; idle ones count and are evicted; 0 = no limit
	IdleTimeout time.Duration // after which an idle connection is closed
	Limits      Limits
	// MaxIdleTime returns a maximum idle time for Get and CloseExpired. It applies if it is shorter than IdleTimeout; nil = IdleTimeout.
	MaxIdleTime func() time.Duration
	// MinIdleTime is the minimum time that a connection is idle before it carries another request; 0 = none. A faulty server may send a
	// second response to a request shortly after the first. Unread bytes on an idle connection prevent its reuse, but only once they have
	// arrived: a second response that arrives after the reuse would be taken for the response to the next request.
	MinIdleTime time.Duration
	// Chunk is the maximum size in bytes of one chunk of a response; 0 = no limit. Head is the maximum time from the first byte of a
	// response to the end of its head; 0 = only the connection's deadline applies.
	Chunk int64
	Head  time.Duration
	// Connect opens connections; nil = net.Dialer.
	Connect DialFunc

	mu     sync.Mutex
	idle   map[string][]*ClientConn
	open   int
	closed bool
}

// DialFunc opens a connection, as net.Dialer.DialContext does; ctx limits its duration.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrPoolFull is returned if MaxOpen connections are open and none of them is idle.
var ErrPoolFull = errors.New("http1: connection limit reached")

// Get returns an idle connection that is still open, or dials a new one within the timeout, unless ctx ends first.
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

// Dial opens a new connection within the timeout, unless ctx ends first. A timeout of 0 means that only ctx applies.
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

// reserve counts one more open connection. At the limit it evicts the connection that has been idle longest, and returns false if none
// is idle.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpen > 0 && p.open >= p.MaxOpen {
		var oldest *ClientConn
		for _, conns := range p.idle {
			for _, c := range conns {
				if oldest == nil || c.idleSince.Before(oldest.idleSince) {
					oldest = c
				}
			}
		}
		if oldest == nil {
			return false
		}
		conns := p.idle[oldest.address]
		p.idle[oldest.address] = slices.DeleteFunc(conns, func(c *ClientConn) bool { return c == oldest })
		oldest.netConn.Close()
		oldest.closeOnce.Do(func() { p.open-- })
	}
	p.open++
	return true
}

func (p *Pool) release() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// takeIdle removes and returns the most recently used connection that has been idle for at least MinIdleTime, or nil if there is none.
// The connections of an address are in the order in which they were put back.
func (p *Pool) takeIdle(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; time.Since(c.idleSince) >= p.MinIdleTime {
			p.idle[addr] = slices.Delete(conns, i, i+1)
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
	keep := !p.closed && !c.isFinishing() && len(p.idle[c.address]) < p.MaxIdle && c.buffered.Buffered() == 0
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
	if r.reusable {
		var one [1]byte
		if n, err := r.Body.Read(one[:]); n == 0 && err == io.EOF {
			p.Put(c)
			return
		}
	}
	c.Close()
}

// CloseExpired closes connections whose idle timeout has passed. The owner of the pool calls it periodically.
func (p *Pool) CloseExpired() {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	var expired []*ClientConn
	defer func() { closeAll(expired) }()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, conns := range p.idle {
		keep := conns[:0]
		for _, c := range conns {
			if time.Since(c.idleSince) < limit {
				keep = append(keep, c)
			} else {
				expired = append(expired, c)
			}
		}
		clear(conns[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = keep
		}
	}
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() { p.closeAllIdle(false) }

// Close closes the idle connections, and makes Put close connections from then on.
func (p *Pool) Close() { p.closeAllIdle(true) }

func (p *Pool) closeAllIdle(closePool bool) {
	p.mu.Lock()
	var all []*ClientConn
	for _, conns := range p.idle {
		all = append(all, conns...)
	}
	p.idle, p.closed = nil, p.closed || closePool
	p.mu.Unlock()
	closeAll(all)
}

func closeAll(conns []*ClientConn) {
	for _, c := range conns {
		c.Close()
	}
}
