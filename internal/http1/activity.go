package http1

import "time"

// activityEpoch is the zero of the times of connections' activity. Spans are taken from the monotonic clock.
var activityEpoch = time.Now()

// track adds a connection to those of its address.
func (p *Pool) track(c *ClientConn) {
	c.madeAt = int64(time.Since(activityEpoch))
	c.lastReadAt.Store(c.madeAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns == nil {
		p.conns = map[string]map[*ClientConn]bool{}
	}
	if p.conns[c.address] == nil {
		p.conns[c.address] = map[*ClientConn]bool{}
	}
	p.conns[c.address][c] = true
}

// untrack removes a connection that is closed. The lock is held.
func (p *Pool) untrack(c *ClientConn) {
	delete(p.conns[c.address], c)
	if len(p.conns[c.address]) == 0 {
		delete(p.conns, c.address)
	}
}

// noteRead records that bytes have come.
func (c *ClientConn) noteRead() { c.lastReadAt.Store(int64(time.Since(activityEpoch))) }

// PeerActiveSince reports whether the peer has sent bytes since a time over another connection that was open already when this one last
// carried bytes. If the peer's machine had been cut off in between, that connection would be silent as well: a newer one proves nothing,
// for open connections may fall silent while new ones work. It may be called from any goroutine.
func (c *ClientConn) PeerActiveSince(t time.Time) bool {
	since := int64(t.Sub(activityEpoch))
	silentSince := c.lastReadAt.Load()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	for other := range c.pool.conns[c.address] {
		if other != c && other.madeAt <= silentSince && other.lastReadAt.Load() > since {
			return true
		}
	}
	return false
}
