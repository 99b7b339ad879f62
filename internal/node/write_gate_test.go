package node_test

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"dillroute/lab/platform"
)

// writeGate is a listener that blocks the node's writes which contain a text, until it is opened.
type writeGate struct {
	net.Listener
	text    []byte
	reached chan struct{} // closed when such a write is held
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

// Accept returns a TCP connection whose writes pass the gate.
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

// A stream whose engine has finished is forwarded completely, though the node cuts all streams while its bytes still lie in a
// buffer: the client's socket blocks the writer, the engine writes its last chunk, the node shuts down, the socket unblocks.
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
		time.Sleep(50 * time.Millisecond) // the grace for bytes that are on their way has passed as well
		close(g.opened)
		if result := <-got; !result.Complete || result.Text != platform.ResponseText(request.Operation, request.ResponseTokens) {
			t.Fatalf("got %+v, want the complete stream", result)
		}
		<-done
	}
}
