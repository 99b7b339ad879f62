package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Times bound how long a peer may take.
type Times struct {
	Head  time.Duration // for a whole request head, from its first byte or from the opening of the connection
	Body  time.Duration // for a whole request body
	Idle  time.Duration // between requests
	Write time.Duration // for one write to be taken: a slower reader counts as gone
}

// DefaultTimes suit clients on a wide-area network.
var DefaultTimes = Times{Head: 10 * time.Second, Body: 30 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second}

// Handler answers requests. Serve runs on the connection's goroutine, may return before the answer is given, and
// must see to it that the Exchange is ended by Reply, End or Cut, once, from any one goroutine.
type Handler interface{ Serve(x *Exchange) }

// HandlerFunc is a Handler made from a function.
type HandlerFunc func(x *Exchange)

// Serve calls f.
func (f HandlerFunc) Serve(x *Exchange) { f(x) }

// Server serves connections.
type Server struct {
	Handler  Handler
	Limits   Limits
	Times    Times
	MaxConns int   // open at once; further ones are answered 503 and closed; 0 = no bound
	MaxBytes int64 // of request bodies held at once, over all connections; 0 = no bound
	// Shared tells that other processes accept from the very same socket: what waits in its queue is theirs, so a
	// drain stops accepting at once.
	Shared bool
	// Fault writes the body of an answer to a request that could not be parsed; nil = plain text.
	Fault func(status int, reason string) (fields []Field, body []byte)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
	draining atomic.Bool
	held     atomic.Int64
	wg       sync.WaitGroup
}

// conn is one client connection. br belongs to its goroutine; out to whoever ends the present exchange.
type conn struct {
	srv  *Server
	nc   net.Conn
	br   *bufio.Reader
	idle atomic.Bool              // between requests
	x    atomic.Pointer[Exchange] // the latest, which Close must not wait for
}

const readBuffer = 1 << 10 // small: thousands of connections wait with one each

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		if err != nil {
			if s.draining.Load() || errors.Is(err, net.ErrClosed) {
				l.Close()
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) { // out of descriptors and the like: others may close meanwhile
				time.Sleep(5 * time.Millisecond)
				continue
			}
			return err
		}
		s.start(nc)
	}
}

func (s *Server) start(nc net.Conn) {
	c := &conn{srv: s, nc: nc}
	c.idle.Store(true)
	s.mu.Lock()
	full := s.MaxConns > 0 && len(s.conns) >= s.MaxConns
	if !full {
		s.conns[c] = struct{}{}
		s.wg.Add(1)
	}
	s.mu.Unlock()
	if full {
		nc.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		c.fault(&Error{503, "too many connections"})
		nc.Close()
		return
	}
	go func() {
		defer s.wg.Done()
		c.serve()
		nc.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Drain stops accepting, closes idle connections, and lets each other one end with its present answer. What has
// connected or was being sent already is read: a connection that waits to be accepted, or a request on its way,
// would else be met by a reset.
func (s *Server) Drain() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && !s.Shared {
		l.SetDeadline(time.Now().Add(drainAccept))
	} else if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		if c.idle.Load() {
			c.nc.SetReadDeadline(time.Now().Add(drainIdle))
		}
	}
}

// How long a draining server goes on accepting, and reading idle connections. DrainTakes is after which no request can
// come that was under way when the drain began.
const (
	drainAccept = 50 * time.Millisecond
	drainIdle   = 200 * time.Millisecond
	DrainTakes  = drainAccept + drainIdle
)

// Wait waits until all connections have ended, or the time has passed; it tells whether they have.
func (s *Server) Wait(d time.Duration) bool {
	done := make(chan struct{})
	go func() { s.wg.Wait(); close(done) }()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// Close cuts all connections and waits for their goroutines. An exchange that nobody will answer any more (its owner
// has ended, and may have dropped it unseen) is cut as well: it would be waited for without end.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.nc.Close()
		if x := c.x.Load(); x != nil {
			x.Cut()
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// serve reads requests one after another; each is answered before the next is parsed, so that pipelined
// answers leave in order.
func (c *conn) serve() {
	s := c.srv
	c.br = bufio.NewReaderSize(c.nc, readBuffer)
	wait := s.Times.Head // before the first request a connection gets no idle time
	for {
		c.idle.Store(true)
		if s.draining.Load() {
			wait = min(wait, drainIdle)
		}
		c.nc.SetReadDeadline(time.Now().Add(wait))
		if _, err := c.br.Peek(1); err != nil {
			return
		}
		c.idle.Store(false)
		c.nc.SetReadDeadline(time.Now().Add(s.Times.Head))
		q, err := ReadRequest(c.br, s.Limits)
		if err == nil {
			err = c.body(q)
		}
		if err != nil {
			c.reject(err)
			return
		}
		x := &Exchange{Request: q, c: c, done: make(chan struct{})}
		c.x.Store(x)
		c.nc.SetReadDeadline(time.Time{})
		s.Handler.Serve(x)
		gone := c.watch(x)
		s.held.Add(-int64(len(q.Body)))
		if gone || x.last() {
			c.linger(gone)
			return
		}
		wait = s.Times.Idle
	}
}

// body reads the request's body, within the bytes that all connections together may hold.
func (c *conn) body(q *Request) error {
	s := c.srv
	if q.expects {
		c.nc.SetWriteDeadline(time.Now().Add(s.Times.Write))
		if _, err := io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return err
		}
	}
	if !q.frame.chunked && q.frame.length <= 0 {
		return nil
	}
	reserve := q.frame.length
	if q.frame.chunked {
		reserve = s.Limits.Body // what it may come to
	}
	if held := s.held.Add(reserve); s.MaxBytes > 0 && held > s.MaxBytes {
		s.held.Add(-reserve)
		return &Error{503, "too many bytes of requests are held"}
	}
	c.nc.SetReadDeadline(time.Now().Add(s.Times.Body))
	err := q.ReadBody(c.br, s.Limits)
	if err != nil {
		s.held.Add(-reserve)
		return err
	}
	s.held.Add(int64(len(q.Body)) - reserve)
	return nil
}

// watch waits for the end of an exchange and meanwhile looks for the client's hang-up. It tells whether the
// connection is gone. A pipelined request hides a hang-up until it is read; a failing write tells then.
func (c *conn) watch(x *Exchange) (gone bool) {
	for {
		select {
		case <-x.done:
			return false
		default:
		}
		_, err := c.br.Peek(1)
		if err == nil {
			<-x.done
			return false
		}
		if errors.Is(err, os.ErrDeadlineExceeded) {
			if x.waking.Load() {
				<-x.done
				return false
			}
			c.nc.SetReadDeadline(time.Time{}) // of a drain that took us for idle
			continue
		}
		x.hangup(errors.Is(err, io.EOF))
		<-x.done
		return true
	}
}

// reject answers a request that could not be read.
func (c *conn) reject(err error) {
	var e *Error
	var timeout interface{ Timeout() bool }
	switch {
	case errors.As(err, &e):
	case errors.As(err, &timeout) && timeout.Timeout():
		e = &Error{408, "the request did not arrive in time"}
	default:
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.srv.Times.Write))
	c.fault(e)
	c.linger(false)
}

func (c *conn) fault(e *Error) {
	fields, body := []Field{{"Content-Type", "text/plain; charset=utf-8"}}, []byte(e.Reason+"\n")
	if c.srv.Fault != nil {
		fields, body = c.srv.Fault(e.Status, e.Reason)
	}
	c.nc.Write(appendReply(nil, e.Status, fields, body, true, false))
}

// linger closes the sending side and reads on for a moment, so that the answer is not lost to a reset that
// unread bytes would cause (RFC 9112, section 9.6).
func (c *conn) linger(gone bool) {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && !gone {
		tc.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
		io.CopyN(io.Discard, c.nc, 256<<10)
	}
}
