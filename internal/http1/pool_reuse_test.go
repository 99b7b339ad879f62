package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// exchangeOnce makes one exchange on a connection whose server side is peer, and returns the connection to the pool.
func exchangeOnce(t *testing.T, p *Pool, c *ClientConn, peer net.Conn) {
	t.Helper()
	if _, _, err := c.Send("GET", "/", nil, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := resp.ReadAll(10); err != nil {
		t.Fatal(err)
	}
	p.PutAfter(c, resp)
}

// markIdle makes a connection appear to have been idle for d.
func markIdle(p *Pool, c *ClientConn, d time.Duration) {
	p.mu.Lock()
	c.idleSince = time.Now().Add(-d)
	p.mu.Unlock()
}

// A second response to the previous request may still arrive shortly after the first. A connection must not be reused before it has been
// idle for MinIdleTime, and not at all once such a response has arrived.
func TestConnectionIsIdleForMinIdleTimeBeforeReuse(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits, MinIdleTime: time.Minute / 2}
	defer p.Close()
	c, peer := dialedConn(t, p)
	exchangeOnce(t, p, c, peer)
	if got := p.takeIdle(c.address); got != nil {
		t.Fatal("got a connection that was not idle for MinIdleTime")
	}
	markIdle(p, c, p.MinIdleTime+time.Second)
	if got := p.takeIdle(c.address); got != c || !c.isReusable() {
		t.Fatalf("got %v, want the connection that was idle for MinIdleTime", got)
	}
	p.Put(c)
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	for end := time.Now().Add(5 * time.Second); c.isReusable() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the bytes have arrived
	}
	markIdle(p, c, p.MinIdleTime+time.Second)
	got, err := p.Get(context.Background(), c.address, time.Second) // the listener is closed, so that a new connection fails
	if err == nil {
		t.Fatalf("got a connection, reused %v, with an unread second response", got.Reused)
	}
}

// The pool returns a connection that was idle for MinIdleTime even if one that was returned later was not.
func TestPoolSkipsConnectionsIdleTooBriefly(t *testing.T) {
	p := &Pool{MaxIdle: 4, IdleTimeout: time.Minute, MinIdleTime: 10 * time.Second}
	defer p.Close()
	old := &ClientConn{address: "a", pool: p, idleSince: time.Now().Add(-11 * time.Second)}
	newer := &ClientConn{address: "a", pool: p, idleSince: time.Now()}
	p.idle = map[string][]*ClientConn{"a": {old, newer}}
	if got := p.takeIdle("a"); got != old {
		t.Fatal("want the connection that was idle for MinIdleTime")
	}
	if got := p.takeIdle("a"); got != nil {
		t.Fatal("want no connection")
	}
	p.idle = nil
}

// A dial fails immediately when its context ends, and does not count as an open connection afterwards.
func TestDialEndsWithItsContext(t *testing.T) {
	p := &Pool{MaxOpen: 1}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Dial(ctx, "127.0.0.1:1", time.Minute); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want context.Canceled", err)
	}
	if p.open != 0 {
		t.Fatalf("got %d open connections, want 0", p.open)
	}
}

// After FinishWithin a connection still returns the bytes that have arrived, its reads fail after the given time, and the pool does not
// reuse it.
func TestFinishWithinDeliversWhatHadArrived(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	defer p.Close()
	c, peer := dialedConn(t, p)
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf")
	c.FinishWithin(200 * time.Millisecond)
	c.SetDeadline(time.Now().Add(time.Minute)) // must not extend the limit
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	if body, err := resp.ReadAll(10); err != nil || string(body) != "half" {
		t.Fatalf("got %q, %v", body, err)
	}
	p.PutAfter(c, resp)
	if len(p.idle[c.address]) != 0 {
		t.Error("the connection was returned to the pool")
	}
	d, _ := dialedConn(t, p)
	start := time.Now()
	d.FinishWithin(20 * time.Millisecond)
	if err := d.AwaitResponse(); err == nil || time.Since(start) > 5*time.Second {
		t.Errorf("got %v after %v, want a timeout", err, time.Since(start))
	}
}
