package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// answered makes one exchange on a connection of which the far end is given, and puts the connection back.
func answered(t *testing.T, p *Pool, c *ClientConn, far net.Conn) {
	t.Helper()
	if _, _, err := c.Send("GET", "/", nil, nil); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Read(make([]byte, 1<<10)); err != nil {
		t.Fatal(err)
	}
	io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := resp.ReadAll(10); err != nil {
		t.Fatal(err)
	}
	p.Done(c, resp)
}

// rested makes a connection look as though it had rested for so long.
func rested(p *Pool, c *ClientConn, d time.Duration) {
	p.mu.Lock()
	c.used = time.Now().Add(-d)
	p.mu.Unlock()
}

// A connection carries no other request before a second answer to the one before would have come, nor after it has come.
func TestConnectionSettlesBeforeItIsReused(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits, MinIdleTime: time.Minute / 2}
	defer p.Close()
	c, far := dialled(t, p)
	answered(t, p, c, far)
	if got := p.pop(c.addr); got != nil {
		t.Fatal("a connection was given out that has not settled")
	}
	rested(p, c, p.MinIdleTime+time.Second)
	if got := p.pop(c.addr); got != c || !c.alive() {
		t.Fatalf("got %v, want the connection that has settled", got)
	}
	p.Put(c)
	io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
	for end := time.Now().Add(5 * time.Second); c.alive() && time.Now().Before(end); {
		time.Sleep(time.Millisecond) // until the bytes have crossed
	}
	rested(p, c, p.MinIdleTime+time.Second)
	got, err := p.Get(context.Background(), c.addr, time.Second) // the listener is gone: a new connection fails
	if err == nil {
		t.Fatalf("got a connection, reused %v, with a second answer unread", got.Reused)
	}
}

// The one that has settled is taken although a newer one has not.
func TestSettledConnectionBehindANewerOne(t *testing.T) {
	p := &Pool{MaxIdle: 4, IdleTimeout: time.Minute, MinIdleTime: 10 * time.Second}
	defer p.Close()
	old, newer := &ClientConn{addr: "a", pool: p, used: time.Now().Add(-11 * time.Second)}, &ClientConn{addr: "a", pool: p, used: time.Now()}
	p.idle = map[string][]*ClientConn{"a": {old, newer}}
	if got := p.pop("a"); got != old {
		t.Fatal("want the one that has settled")
	}
	if got := p.pop("a"); got != nil {
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
func TestFinishedConnectionGivesWhatHadCome(t *testing.T) {
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	defer p.Close()
	c, far := dialled(t, p)
	c.SetDeadline(time.Now().Add(time.Minute))
	io.WriteString(far, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nhalf")
	c.ReadOnFor(200 * time.Millisecond)
	c.SetDeadline(time.Now().Add(time.Minute)) // does not move the end
	resp, err := c.ReadResponse()
	if err != nil {
		t.Fatal(err)
	}
	if body, err := resp.ReadAll(10); err != nil || string(body) != "half" {
		t.Fatalf("got %q, %v", body, err)
	}
	p.Done(c, resp)
	if len(p.idle[c.addr]) != 0 {
		t.Error("it was kept")
	}
	d, _ := dialled(t, p)
	start := time.Now()
	d.ReadOnFor(20 * time.Millisecond)
	if err := d.Await(); err == nil || time.Since(start) > 5*time.Second {
		t.Errorf("got %v after %v, want the end of the time", err, time.Since(start))
	}
}
