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
		t.Fatal("a dead connection was given out", err)
	}
	again.Close()
	(<-conns).Close()
}

// A full pool closes a connection that rests, and tells where none does.
func TestPoolKeepsItsConnectionLimit(t *testing.T) {
	p := &Pool{MaxIdle: 4, MaxOpen: 2, IdleTimeout: time.Minute, Limits: DefaultLimits}
	a, _ := dialedConn(t, p)
	b, _ := dialedConn(t, p)
	if _, err := p.Get(context.Background(), "127.0.0.1:1", time.Second); !errors.Is(err, ErrPoolFull) {
		t.Errorf("%v", err)
	}
	p.Put(a)
	c, _ := dialedConn(t, p)
	if _, err := a.netConn.Read(make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the one that rested is open: %v", err)
	}
	b.Close()
	b.Close()
	c.Close()
	if p.open != 0 {
		t.Errorf("%d are counted open", p.open)
	}
}
