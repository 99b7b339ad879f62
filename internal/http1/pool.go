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
	MaxIdle     int           // kept for each address
	MaxOpen     int           // open at once, idle ones included, which make room; 0 = no bound
	IdleTimeout time.Duration // after which an idle connection closes
	Limits      Limits
	// MaxIdleTime is asked how long a connection may have rested that Get returns; nil = Idle.
	MaxIdleTime func() time.Duration
	// MinIdleTime is how long a connection rests at least before it carries another request; 0 = no such time. A server may send a
	// second answer to a request some moments after the first. It shows as unread bytes, which end the use of a connection, but
	// only once it has come: read later, it would be taken for the answer to the next request.
	MinIdleTime time.Duration
	// Chunk bounds the size of one chunk of an answer; 0 = no bound. Head bounds the time from the first byte of an answer
	// to the end of its head; 0 = no bound but the connection's.
	Chunk int64
	Head  time.Duration
	// Connect makes connections; nil = a net.Dialer does.
	Connect DialFunc

	mu     sync.Mutex
	idle   map[string][]*ClientConn
	open   int
	closed bool
}

// DialFunc makes a connection, as net.Dialer.DialContext does; ctx bounds its time.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// ErrPoolFull tells that the pool has as many connections open as it may.
var ErrPoolFull = errors.New("http1: no room for another connection")

// Get returns an idle connection that is still open, or makes one within the time given, unless ctx ends before.
func (p *Pool) Get(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	limit := p.IdleTimeout
	if p.MaxIdleTime != nil {
		limit = min(limit, p.MaxIdleTime())
	}
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if c.IdleFor = time.Since(c.used); c.IdleFor < limit && c.alive() {
			c.Reused = true
			return c, nil
		}
		c.Close()
	}
	return p.Dial(ctx, addr, timeout)
}

// Dial makes a connection within the time given, unless ctx ends before.
func (p *Pool) Dial(ctx context.Context, addr string, timeout time.Duration) (*ClientConn, error) {
	if !p.enter() {
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
		p.leave()
		return nil, err
	}
	c := &ClientConn{addr: addr, pool: p, nc: nc, lim: p.Limits}
	c.br = bufio.NewReaderSize(arrived{c}, 1<<10)
	return c, nil
}

// enter counts one more connection, closing one that rests if there is no room.
func (p *Pool) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.MaxOpen > 0 && p.open >= p.MaxOpen {
		var oldest *ClientConn
		for _, xs := range p.idle {
			for _, c := range xs {
				if oldest == nil || c.used.Before(oldest.used) {
					oldest = c
				}
			}
		}
		if oldest == nil {
			return false
		}
		xs := p.idle[oldest.addr]
		p.idle[oldest.addr] = slices.DeleteFunc(xs, func(c *ClientConn) bool { return c == oldest })
		oldest.nc.Close()
		oldest.once.Do(func() { p.open-- })
	}
	p.open++
	return true
}

func (p *Pool) leave() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// pop takes out the connection that has rested the shortest of those that have settled; nil = there is none. Connections stand
// in the order in which they were put back.
func (p *Pool) pop(addr string) *ClientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	xs := p.idle[addr]
	for i := len(xs) - 1; i >= 0; i-- {
		if c := xs[i]; time.Since(c.used) >= p.MinIdleTime {
			p.idle[addr] = slices.Delete(xs, i, i+1)
			return c
		}
	}
	return nil
}

// Put gives a connection back after a whole exchange.
func (p *Pool) Put(c *ClientConn) {
	c.SetDeadline(time.Time{})
	c.used = time.Now()
	p.mu.Lock()
	keep := !p.closed && !c.finishing() && len(p.idle[c.addr]) < p.MaxIdle && c.br.Buffered() == 0
	if keep {
		if p.idle == nil {
			p.idle = map[string][]*ClientConn{}
		}
		p.idle[c.addr] = append(p.idle[c.addr], c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// Done gives the connection back to the pool if the answer allows it and its body has been read to the end;
// else it closes it.
func (p *Pool) Done(c *ClientConn, r *Response) {
	if r.keep {
		var one [1]byte
		if n, err := r.Body.Read(one[:]); n == 0 && err == io.EOF {
			p.Put(c)
			return
		}
	}
	c.Close()
}

// CloseExpired closes connections that have been idle for too long; call it now and then.
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
			if time.Since(c.used) < limit {
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
func (p *Pool) CloseIdle() { p.drop(false) }

// Close closes the idle connections and keeps no more.
func (p *Pool) Close() { p.drop(true) }

func (p *Pool) drop(last bool) {
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
