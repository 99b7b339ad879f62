package http1

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

func TestPoolDropsAConnectionThatTheServerClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	conns := make(chan net.Conn, 2)
	go func() {
		for range 2 {
			c, err := l.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	p := &Pool{MaxIdle: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	defer p.Close()
	c, err := p.Get(context.Background(), l.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	p.Put(c)
	(<-conns).Close()
	for c.isReusable() {
		time.Sleep(time.Millisecond)
	}
	again, err := p.Get(context.Background(), l.Addr().String(), time.Second)
	if err != nil || again == c || again.Reused {
		t.Fatal("got the connection that the server closed", err)
	}
	again.Close()
	(<-conns).Close()
}

// At MaxOpen the pool closes an idle connection for a new one, and returns ErrPoolFull if none is idle.
func TestPoolEnforcesMaxOpen(t *testing.T) {
	p := &Pool{MaxIdle: 4, MaxOpen: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	a, _ := dialedConn(t, p)
	b, _ := dialedConn(t, p)
	if _, err := p.Get(context.Background(), "127.0.0.1:1", time.Second); !errors.Is(err, ErrPoolFull) {
		t.Errorf("got %v, want ErrPoolFull", err)
	}
	p.Put(a)
	c, _ := dialedConn(t, p)
	if _, err := a.netConn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the idle connection is still open: %v", err)
	}
	b.Close()
	b.Close()
	c.Close()
	if p.open != 0 {
		t.Errorf("got %d open connections, want 0", p.open)
	}
}
