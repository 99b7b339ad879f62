package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// exchangeOnce makes one exchange on a connection of which the far end is given, and puts the connection back.
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

// markIdle makes a connection look as though it had rested for so long.
func markIdle(p *Pool, c *ClientConn, d time.Duration) {
	p.mu.Lock()
	c.idleSince = time.Now().Add(-d)
	p.mu.Unlock()
}

// A connection carries no other request before a second answer to the one before would have come, nor after it has come.
func TestConnectionIsIdleForMinIdleTimeBeforeReuse(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits, MinIdleTime: time.Minute / 2}
	defer p.Close()
	c, peer := dialedConn(t, p)
	exchangeOnce(t, p, c, peer)
	if got := p.takeIdle(c.address); got != nil {
		t.Fatal("a connection was given out that has not settled")
	}
	markIdle(p, c, p.MinIdleTime+time.Second)
	if got := p.takeIdle(c.address); got != c || !c.isReusable() {
		t.Fatalf("got %v, want the connection that has settled", got)
	}
	p.Put(c)
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	for end := time.Now().Add(5 * time.Second); c.isReusable() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the bytes have crossed
	}
	markIdle(p, c, p.MinIdleTime+time.Second)
	got, err := p.Get(context.Background(), c.address, time.Second) // the listener is gone: a new connection fails
	if err == nil {
		t.Fatalf("got a connection, reused %v, with a second answer unread", got.Reused)
	}
}

// The one that has settled is taken although a newer one has not.
func TestPoolSkipsConnectionsIdleTooBriefly(t *testing.T) {
	p := &Pool{MaxIdle: 4, IdleTimeout: time.Minute, MinIdleTime: 10 * time.Second}
	defer p.Close()
	old := &ClientConn{address: "a", pool: p, idleSince: time.Now().Add(-11 * time.Second)}
	newer := &ClientConn{address: "a", pool: p, idleSince: time.Now()}
	p.idle = map[string][]*ClientConn{"a": {old, newer}}
	if got := p.takeIdle("a"); got != old {
		t.Fatal("want the one that has settled")
	}
	if got := p.takeIdle("a"); got != nil {
		t.Fatal("want none")
	}
	p.idle = nil
}

// A connection that is being made ends with its context, at once, and leaves no place taken.
func TestDialEndsWithItsContext(t *testing.T) {
	p := &Pool{MaxOpen: 1}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := p.Dial(ctx, "127.0.0.1:1", time.Minute); !errors.Is(err, context.Canceled) {
		t.Fatalf("got %v, want that it was cancelled", err)
	}
	if p.open != 0 {
		t.Fatalf("%d places are taken", p.open)
	}
}

// A connection that is being finished still gives what had come, ends soon, and is not kept.
func TestReadOnForDeliversWhatHadArrived(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	defer p.Close()
	c, peer := dialedConn(t, p)
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(peer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf")
	c.ReadOnFor(200 * time.Millisecond)
	c.SetDeadline(time.Now().Add(time.Minute)) // does not move the end
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	if body, err := resp.ReadAll(10); err != nil || string(body) != "half" {
		t.Fatalf("got %q, %v", body, err)
	}
	p.PutAfter(c, resp)
	if len(p.idle[c.address]) != 0 {
		t.Error("it was kept")
	}
	d, _ := dialedConn(t, p)
	start := time.Now()
	d.ReadOnFor(20 * time.Millisecond)
	if err := d.Await(); err == nil || time.Since(start) > 5*time.Second {
		t.Errorf("got %v after %v, want the end of the time", err, time.Since(start))
	}
}
