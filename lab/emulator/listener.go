package emulator

import (
	"net"
	"sync"
	"time"
)

// An engine makes at most listenAttempts attempts to listen, with listenPause between them. The address may still be in use while the
// previous socket closes.
const (
	listenAttempts = 50
	listenPause    = 10 * time.Millisecond
)

// listenWithRetry listens at an address and retries while a previous listener there is still closing.
func listenWithRetry(address string) (net.Listener, error) {
	var listener net.Listener
	var err error
	for range listenAttempts {
		if listener, err = net.Listen("tcp", address); err == nil {
			return listener, nil
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

// slowListener delays the first read from each connection that it accepts while the engine has the fault HandshakeDelayMS.
type slowListener struct {
	net.Listener
	engine *Engine
}

// Accept returns the next connection. The current value of the fault determines the delay of its first read.
func (l *slowListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return conn, err
	}
	if delay := l.engine.faults.Load().HandshakeDelayMS; delay > 0 {
		until := time.Now().Add(time.Duration(delay * float64(time.Millisecond)))
		conn = &slowConn{Conn: conn, until: until}
	}
	return conn, nil
}

// slowConn is a connection whose first read waits until a given time.
type slowConn struct {
	net.Conn
	until time.Time
	once  sync.Once
}

// Read reads from the connection; the first call waits until the given time.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.until)) })
	return c.Conn.Read(p)
}
