package http1

import (
	"context"
	"io"
	"net"
	"testing"
	"time"
)

// A peer counts as active by bytes over a connection that was open when the silent one last carried any: not by a newer connection, not
// by earlier bytes, not by a connection to another address, and not by one that has been closed.
func TestPeerIsActiveByAnOlderConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	pool := &Pool{}
	open := func() (conn *ClientConn, peer net.Conn) {
		t.Helper()
		conn, err := pool.Dial(context.Background(), listener.Addr().String(), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		peer = <-accepted
		t.Cleanup(func() { conn.Close(); peer.Close() })
		return conn, peer
	}
	bring := func(conn *ClientConn, peer net.Conn) {
		t.Helper()
		peer.Write([]byte("x"))
		if _, err := io.ReadFull(conn.buffered, make([]byte, 1)); err != nil {
			t.Fatal(err)
		}
	}
	older, olderPeer := open()
	silent, silentPeer := open()
	bring(silent, silentPeer)
	newer, newerPeer := open()
	bring(older, olderPeer)
	writtenAt := time.Now()
	if silent.PeerActiveSince(writtenAt) {
		t.Error("active by bytes that came before")
	}
	bring(newer, newerPeer)
	if silent.PeerActiveSince(writtenAt) {
		t.Error("active by a connection that is newer than the last bytes")
	}
	bring(silent, silentPeer)
	writtenAt = time.Now()
	bring(newer, newerPeer)
	if !silent.PeerActiveSince(writtenAt) {
		t.Error("not active, though a connection that was open then brings bytes")
	}
	newer.Close()
	if silent.PeerActiveSince(writtenAt) {
		t.Error("active by a connection that has been closed")
	}
	if len(pool.conns[silent.address]) != 2 {
		t.Errorf("got %d connections, want 2", len(pool.conns[silent.address]))
	}
}
