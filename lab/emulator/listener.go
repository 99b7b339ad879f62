package emulator

import (
	"net"
	"sync"
	"time"
)

// A new listener may find its address still in use while the previous socket closes.
const (
	listenAttempts = 50
	listenPause    = 10 * time.Millisecond
)

// listenAgain listens at an address at which another listener may just be closing.
func listenAgain(address string) (net.Listener, error) {
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

// slowListener delays accepted connections while the engine has the fault of slow handshakes.
type slowListener struct {
	net.Listener
	engine *Engine
}

// Accept returns the next connection, delayed by the fault as it is now.
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

// slowConn delivers its first byte no earlier than a given time.
type slowConn struct {
	net.Conn
	until time.Time
	once  sync.Once
}

// Read waits for the time of the first byte, and reads.
func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.until)) })
	return c.Conn.Read(p)
}
