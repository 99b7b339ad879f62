package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Roles of engines, as discovery names them.
const (
	rolePrefill = "read"
	roleDecode  = "write"
)

// Engine is an emulated engine on a loopback socket.
type Engine struct {
	ID            string
	TokenInterval time.Duration // between two events of a stream
	PrefillTime   time.Duration // of one prompt

	platform *Platform

	mu               sync.Mutex // guards the fields below
	role             string     // read, write or both
	localPrefill     bool       // as a decode engine, it prefills a request without a state itself
	address          string
	listener         net.Listener
	conns            map[net.Conn]bool
	faults           []Fault // queued faults: each of the next responses takes one
	stopped          bool
	startDelay       time.Duration // time before the engine starts to serve a request
	hung             chan struct{} // closed when the engine stops hanging; nil: it does not hang
	readsSlowly      bool          // it reads slowReadBytes of a request in slowReadInterval
	frozen           bool          // while it hangs, it does not detect closed connections either
	attemptsLost     chan struct{} // closed when the engine loses the attempts that it has received
	streamsStarted   int
	streamsCompleted int
}

// listen starts the engine at an address.
func (e *Engine) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.listener = listener
	e.address = listener.Addr().String()
	e.stopped = false
	e.mu.Unlock()
	e.platform.goroutines.Add(1)
	go e.accept(listener)
	return nil
}

// Address returns the address on which the engine listens.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Role returns the role of the engine: read, write or both.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}

// SetLocalPrefill sets whether the engine, as a decode engine, prefills a request without a state itself.
func (e *Engine) SetLocalPrefill(on bool) {
	e.mu.Lock()
	e.localPrefill = on
	e.mu.Unlock()
}

// needsState reports whether a decode attempt at the engine needs a state that another engine has prefilled.
func (e *Engine) needsState() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role == roleDecode && !e.localPrefill
}

// RestartAs ends the engine like Stop, and starts it again at the same address with another role. The endpoint list is not changed. Faults
// that are queued, and the states that the engine holds, are lost.
func (e *Engine) RestartAs(role string) error {
	e.Stop()
	e.platform.dropStates(e.ID)
	e.mu.Lock()
	e.role = role
	e.faults = nil
	address := e.address
	e.mu.Unlock()
	for end := time.Now().Add(restartTime); ; time.Sleep(time.Millisecond) {
		err := e.listen(address)
		if err == nil || time.Now().After(end) { // until then, the port may serve a connection of another process
			return err
		}
	}
}

// restartTime is how long an engine tries to listen at its address again.
const restartTime = time.Second

// StreamsStarted returns the number of streams that have begun.
func (e *Engine) StreamsStarted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streamsStarted
}

// StreamsCompleted returns the number of streams that were written up to and including their last chunk.
func (e *Engine) StreamsCompleted() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.streamsCompleted
}

// Stop ends the engine as the exit of its process would: open connections are reset and new ones refused.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.stopped {
		return
	}
	e.stopped = true
	if e.frozen {
		e.recover()
	}
	e.listener.Close()
	for conn := range e.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		conn.Close()
	}
}

// accept accepts connections until the listener is closed.
func (e *Engine) accept(listener net.Listener) {
	defer e.platform.goroutines.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.stopped {
			conn.Close()
		} else {
			e.conns[conn] = true
			e.platform.goroutines.Add(1)
			go e.serve(conn)
		}
		e.mu.Unlock()
	}
}

// serve serves the requests of one connection one after another.
func (e *Engine) serve(conn net.Conn) {
	defer e.platform.goroutines.Done()
	defer func() {
		e.mu.Lock()
		delete(e.conns, conn)
		e.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(e.requestReader(conn))
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		x := &exchange{engine: e, conn: conn, request: request}
		x.disconnected, x.nextRequest = watch(reader)
		if !x.serve() {
			if x.lost {
				<-x.disconnected
			}
			return
		}
	}
}

// Rate at which an engine reads requests while it reads slowly.
const (
	slowReadBytes    = 2 << 10
	slowReadInterval = 50 * time.Millisecond
	slowReadBuffer   = 8 << 10 // bytes of the connection's receive buffer
)

// SetReadsSlowly sets whether the engine reads the requests on new connections slowly.
func (e *Engine) SetReadsSlowly(on bool) {
	e.mu.Lock()
	e.readsSlowly = on
	e.mu.Unlock()
}

// requestReader returns the reader from which the requests of a connection are read.
func (e *Engine) requestReader(conn net.Conn) io.Reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.readsSlowly {
		return conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetReadBuffer(slowReadBuffer)
	}
	return slowReader{conn}
}

// slowReader reads a connection slowly.
type slowReader struct{ conn net.Conn }

func (r slowReader) Read(p []byte) (int, error) {
	time.Sleep(slowReadInterval)
	return r.conn.Read(p[:min(len(p), slowReadBytes)])
}

// watch returns two channels: one is closed when the peer has closed its side, the other when the peer's next request begins.
func watch(reader *bufio.Reader) (disconnected, nextRequest <-chan struct{}) {
	closed, readable := make(chan struct{}), make(chan struct{})
	go func() {
		if _, err := reader.Peek(1); err != nil {
			close(closed)
		} else {
			close(readable)
		}
	}()
	return closed, readable
}
