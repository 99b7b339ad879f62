package node_test

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"dillroute/lab/platform"
)

// gate holds the writes of a node to its clients that contain a text, until it is opened.
type gate struct {
	net.Listener
	text    []byte
	reached chan struct{} // closed when such a write is held
	once    sync.Once
	opened  chan struct{}
}

func newGate(t *testing.T, text string) *gate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &gate{Listener: l, text: []byte(text), reached: make(chan struct{}), opened: make(chan struct{})}
}

// Accept returns a connection whose writes pass the gate. It is a TCP connection in all else.
func (g *gate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gated{c.(*net.TCPConn), g}, nil
}

type gated struct {
	*net.TCPConn
	g *gate
}

func (c *gated) Write(p []byte) (int, error) {
	if bytes.Contains(p, c.g.text) {
		c.g.once.Do(func() { close(c.g.reached) })
		<-c.g.opened
	}
	return c.TCPConn.Write(p)
}

// A stream whose engine has finished is passed on to its end, though the node ends all streams while what came of it still lies
// in a buffer: the client's socket holds the writer up, the engine writes its last chunk, the node stops, the socket gives way.
func TestRelayStopPassesOnWhatHasCome(t *testing.T) {
	for range 10 {
		g := newGate(t, "op1.3 ")
		s, e := newStageOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
		a := s.ask("chat")
		a.ResponseTokens = 60
		got := make(chan platform.Response, 1)
		go func() { got <- s.do(a) }()
		<-g.reached
		s.eventually("the engine has finished", func() bool { return e["w0"].StreamsCompleted() == 1 })
		s.stopped = true
		done := make(chan struct{})
		go func() { defer close(done); s.node.Shutdown(0) }()
		s.eventually("the stream was called off", func() bool { return s.node.Live() == 0 })
		time.Sleep(50 * time.Millisecond) // the moment that is left to bytes under way is over as well
		close(g.opened)
		if r := <-got; !r.Complete || r.Text != platform.ResponseText(a.Operation, a.ResponseTokens) {
			t.Fatalf("got %+v, want the whole stream", r)
		}
		<-done
	}
}
