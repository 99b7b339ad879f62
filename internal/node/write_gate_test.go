package node_test

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"dillroute/lab/platform"
)

// writeGate is a listener on whose connections the node's writes that contain a text block until opened is closed.
type writeGate struct {
	net.Listener
	text    []byte
	reached chan struct{} // closed when the first such write blocks
	once    sync.Once
	opened  chan struct{}
}

func newWriteGate(t *testing.T, text string) *writeGate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &writeGate{Listener: l, text: []byte(text), reached: make(chan struct{}), opened: make(chan struct{})}
}

// Accept returns a TCP connection whose writes go through the gate.
func (g *writeGate) Accept() (net.Conn, error) {
	c, err := g.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c.(*net.TCPConn), g}, nil
}

type gatedConn struct {
	*net.TCPConn
	gate *writeGate
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if bytes.Contains(p, c.gate.text) {
		c.gate.once.Do(func() { close(c.gate.reached) })
		<-c.gate.opened
	}
	return c.TCPConn.Write(p)
}

// A client's socket blocks the node's writes, the engine sends its last chunk, the node shuts down and cuts off all streams, and then the
// socket unblocks. The stream has been received completely and must be forwarded completely.
func TestRelayShutdownForwardsReceivedBytes(t *testing.T) {
	for range 10 {
		g := newWriteGate(t, "op1.3 ")
		harness, engines := newRelayHarnessOn(t, g, platform.SettingsJSON, 64, 256, "r0 read", "w0 write")
		request := harness.newRequest("chat")
		request.ResponseTokens = 60
		got := make(chan platform.Response, 1)
		go func() { got <- harness.send(request) }()
		<-g.reached
		harness.eventually("the engine has finished", func() bool { return engines["w0"].StreamsCompleted() == 1 })
		harness.stopped = true
		done := make(chan struct{})
		go func() { defer close(done); harness.node.Shutdown(0) }()
		harness.eventually("the stream was cut", func() bool { return harness.node.OpenRequests() == 0 })
		time.Sleep(50 * time.Millisecond) // beyond the time for which a cut stream still forwards what has arrived
		close(g.opened)
		if result := <-got; !result.Complete || result.Text != platform.ResponseText(request.Operation, request.ResponseTokens) {
			t.Fatalf("got %+v, want the complete stream", result)
		}
		<-done
	}
}
