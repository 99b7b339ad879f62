package http1

import (
	"bufio"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Timeouts bound how long a peer may take.
type Timeouts struct {
	First          time.Duration // from the opening of a connection to its first byte; 0 = Head
	Head           time.Duration // for a whole request head, from its first byte
	Body           time.Duration // for a whole request body, from the end of its head
	Whole          time.Duration // for head and body together, from the first byte; 0 = no further bound
	Idle           time.Duration // between requests
	EvictableAfter time.Duration // after which a connection without a request may be closed to make room; 0 = restedFor
	Write          time.Duration // for one write to be taken: a slower reader counts as gone
	// A draining server goes on accepting, and reading idle connections, for so long; 0 = drainAccept, drainIdle. With
	// DrainKeep connections stay in use until then; without, each ends with its next answer.
	DrainAccept, DrainIdle time.Duration
	DrainKeep              bool
	Rejection              time.Duration // for the first byte of a connection that is to be refused; 0 = lobbyWait
	Linger                 time.Duration // that a closing connection is read on, so that its answer is not lost; 0 = lingerFor
}

// orElse returns the first of two times that is not 0.
func orElse(a, b time.Duration) time.Duration {
	if a > 0 {
		return a
	}
	return b
}

// AcceptsFor is after which no request can come that was under way when the drain began.
func (t Timeouts) AcceptsFor() time.Duration {
	if t.DrainKeep {
		return max(t.DrainAccept, t.DrainIdle)
	}
	return orElse(t.DrainAccept, drainAccept) + orElse(t.DrainIdle, drainIdle)
}

// MinIdle is how long a connection has rested before it may be closed to make room.
func (t Timeouts) MinIdle() time.Duration { return orElse(t.EvictableAfter, restedFor) }

var processStart = time.Now()

// sinceStart is the time since the start of the process in nanoseconds, by the monotonic clock: the wall clock may be stepped.
func sinceStart() int64 { return int64(time.Since(processStart)) }

// DefaultTimeouts suit clients on a wide-area network.
var DefaultTimeouts = Timeouts{Head: 10 * time.Second, Body: 30 * time.Second, Idle: 60 * time.Second, Write: 10 * time.Second}

// Handler answers requests. Serve runs on the connection's goroutine, may return before the answer is given, and
// must see to it that the Exchange is ended by Reply, End, Break or Cut, once, from any one goroutine.
type Handler interface{ Serve(x *Exchange) }

// HandlerFunc is a Handler made from a function.
type HandlerFunc func(x *Exchange)

// Serve calls f.
func (f HandlerFunc) Serve(x *Exchange) { f(x) }

// Server serves connections.
type Server struct {
	Handler        Handler
	Limits         Limits
	Timeouts       Timeouts
	MaxConns       func() int // open at once, asked at each accept; further ones are answered 503 and closed; nil = no bound
	RejectionQueue int        // connections that are refused at a time; 0 = lobbyMost
	MaxBytes       int64      // of request bodies held at once, over all connections; 0 = no bound
	// Shared tells that other processes accept from the very same socket: what waits in its queue is theirs, so a
	// drain stops accepting at once.
	Shared bool
	// OnDescriptorShortage is told that a connection could not be accepted for want of descriptors, and how many are open; nil = nobody is.
	OnDescriptorShortage func(open int)
	// MayCloseIdle says whether a connection that rests may be ended now; nil = where it is to make room, after Times.Rest, and else always.
	MayCloseIdle func(IdleConn) bool
	// OnClose is told of each connection that has ended, and why; nil = nobody is.
	OnClose func(ConnClosed)
	// ErrorBody writes the body of an answer to a request that could not be parsed; nil = plain text.
	ErrorBody func(status int, reason string) (fields []Field, body []byte)

	mu       sync.Mutex
	conns    map[*conn]struct{}
	lobby    int       // of conns, those that are being refused
	room     sync.Cond // of the lobby; its lock is mu
	listener net.Listener
	draining atomic.Bool
	idleBy   atomic.Int64 // until when a draining server reads idle connections, as sinceStart has it
	held     atomic.Int64
	closed   bool      // no connection is served any more
	ended    sync.Cond // a connection has ended; its lock is mu
}

// conn is one client connection. br belongs to its goroutine; out to whoever ends the present exchange.
type conn struct {
	srv   *Server
	nc    net.Conn
	ahead *aheadReader
	br    *bufio.Reader            // of ahead
	said  atomic.Bool              // a request has begun to come
	x     atomic.Pointer[Exchange] // the latest, which Close must not wait for
	by    time.Time                // when the present request must have come whole; zero = not bounded
	end   ConnClosed               // of its goroutine

	// The lock is held while another goroutine looks whether the connection rests and has it end: a request that begins meanwhile waits
	// for that, and then sets the deadlines that are its own.
	mu        sync.Mutex
	idle      bool  // between requests
	rest      int64 // since when it is idle, as sinceStart has it
	makesRoom bool  // it is to end so that another one can be served
}

// rests notes that the connection waits for a request, for so long at the most. A drain either finds it resting or is seen here.
func (c *conn) rests(wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.srv.draining.Load() {
		wait = min(wait, c.srv.drainLeft())
	}
	c.idle, c.rest, c.makesRoom = true, sinceStart(), false
	c.nc.SetReadDeadline(time.Now().Add(wait))
}

// busy notes that a request has begun to come.
func (c *conn) busy() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = false
	c.said.Store(true)
}

// resting tells whether the connection is between requests, and for how long.
func (c *conn) resting() (r IdleConn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return IdleConn{IdleFor: time.Duration(sinceStart() - c.rest), Evicts: c.makesRoom}, c.idle
}

// endRest has the connection end soon if it rests and may be ended; it tells whether it does.
func (c *conn) endRest(within time.Duration, makesRoom bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := IdleConn{IdleFor: time.Duration(sinceStart() - c.rest), Evicts: makesRoom}
	if !c.idle || !c.srv.mayEnd(r) {
		return false
	}
	c.makesRoom = makesRoom
	c.nc.SetReadDeadline(time.Now().Add(within))
	return true
}

// IdleConn is a connection between requests that is to end.
type IdleConn struct {
	IdleFor time.Duration // since it rests
	Evicts  bool          // another one needs its place; else its time is over, or the server is draining
}

// ConnClosed is the end of a client's connection.
type ConnClosed struct {
	Reason     CloseReason
	Requests   int  // that were read on it
	Unanswered bool // the last of them has no answer, though its client has not been seen to leave
}

// CloseReason says why a client's connection has ended.
type CloseReason string

// Reasons of an end.
const (
	PeerClosed         CloseReason = "the client closed it between requests"
	ClientDisconnected CloseReason = "the client left before its answer ended"
	NoRequestInTime    CloseReason = "no request came on it in time"
	IdleTimeout        CloseReason = "it rested for as long as it may"
	Evicted            CloseReason = "it made room for another"
	Drained            CloseReason = "the server is draining"
	FinalResponse      CloseReason = "its answer was the last one"
	MalformedRequest   CloseReason = "its request could not be read"
	IncompleteRequest  CloseReason = "its request did not come to its end"
	ConnectionLimit    CloseReason = "there was no place for it"
)

const readBuffer = 1 << 10 // small: thousands of connections wait with one each

// Serve accepts connections until the listener closes.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	if s.conns == nil {
		s.conns = map[*conn]struct{}{}
		s.room.L, s.ended.L = &s.mu, &s.mu
	}
	if s.closed {
		s.mu.Unlock()
		return l.Close()
	}
	if s.draining.Load() { // told before it had begun
		s.stopAccepting()
	}
	s.mu.Unlock()
	for {
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		case s.draining.Load() && errors.Is(err, os.ErrDeadlineExceeded):
			s.acceptWaiting(l)
			return l.Close()
		default:
			s.acceptFailed(err)
		}
	}
}

// acceptFailed deals with a connection that could not be accepted. Whatever the reason (a table that is full, memory that is short, a
// network error of that one connection), it may pass, and others wait behind it: nobody stops accepting for it.
func (s *Server) acceptFailed(err error) {
	if IsDescriptorShortage(err) {
		s.CloseIdle(1) // others may close meanwhile
	}
	if IsProcessDescriptorLimit(err) && s.OnDescriptorShortage != nil {
		s.OnDescriptorShortage(s.Conns())
	}
	time.Sleep(acceptPause)
}

// Times of an accept that fails, and of the last ones.
const (
	acceptPause = 5 * time.Millisecond
	acceptLook  = time.Millisecond       // a look whether a connection waits
	acceptLast  = 100 * time.Millisecond // for what waits when the time to accept is over
)

// acceptWaiting accepts what waits when a drain stops accepting: an accept whose deadline has passed fails, whatever waits, and what
// waits when the listener closes is reset with all that it has sent.
func (s *Server) acceptWaiting(l net.Listener) {
	d, ok := l.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(acceptLast); time.Now().Before(end); {
		d.SetDeadline(time.Now().Add(acceptLook))
		nc, err := l.Accept()
		switch {
		case err == nil:
			s.start(nc)
		case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
			return
		default:
			s.acceptFailed(err)
		}
	}
}

// start gives a connection its goroutine. Where no place is free it gets one in the lobby, which is for no longer than
// it takes to read a head and refuse: a refusal written before the request had been read would be lost to a reset. Where
// the lobby is full too, nothing more is accepted until somebody leaves it.
func (s *Server) start(nc net.Conn) {
	c := &conn{srv: s, nc: nc, ahead: &aheadReader{nc: nc, held: &s.held}}
	s.mu.Lock()
	full := s.MaxConns != nil && len(s.conns)-s.lobby >= s.MaxConns()
	if full {
		full = s.closeIdle(1) == 0 // one that rests makes room for one that asks
	}
	if full {
		for s.lobby >= s.lobbySize() && !s.draining.Load() {
			s.room.Wait()
		}
		s.lobby++
	}
	if s.closed {
		if full {
			s.lobby--
		}
		s.mu.Unlock()
		nc.Close()
		return
	}
	c.idle, c.rest = !full, sinceStart() // one that is to be refused does not make room
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		if full {
			c.turnAway()
		} else {
			c.serve()
		}
		nc.Close()
		c.ahead.drop()
		if s.OnClose != nil {
			s.OnClose(c.end)
		}
		s.mu.Lock()
		delete(s.conns, c)
		if full {
			s.lobby--
			s.room.Signal()
		}
		s.ended.Broadcast()
		s.mu.Unlock()
	}()
}

// The lobby: connections that are refused at a time, and how long their heads may take.
const (
	lobbyMost = 64
	lobbyWait = 250 * time.Millisecond // for the first byte: clients open connections ahead and never use some
	lobbyTime = time.Second
)

func (s *Server) lobbySize() int {
	if s.RejectionQueue > 0 {
		return s.RejectionQueue
	}
	return lobbyMost
}

// turnAway reads one request's head and refuses it.
func (c *conn) turnAway() {
	c.end.Reason = ConnectionLimit
	c.br = bufio.NewReaderSize(c.ahead, readBuffer)
	c.nc.SetReadDeadline(time.Now().Add(orElse(c.srv.Timeouts.Rejection, lobbyWait)))
	if _, err := c.br.Peek(1); err != nil && !c.cameLate(err) {
		return
	}
	c.nc.SetReadDeadline(time.Now().Add(lobbyTime))
	if _, err := ReadRequest(c.br, c.srv.Limits); err != nil {
		c.reject(err)
		return
	}
	c.reject(&Error{503, "too many connections"})
}

// CloseIdle closes up to n connections that have rested longest between requests, and tells how many.
func (s *Server) CloseIdle(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closeIdle(n)
}

// closeIdle is CloseIdle under the lock. Only what has rested for a while is closed: a request may be on its way to the
// others. Those that have never asked anything go first.
func (s *Server) closeIdle(n int) (closed int) {
	for closed < n {
		oldest := s.oldestResting()
		if oldest == nil {
			return closed
		}
		if oldest.endRest(0, true) { // else a request has begun meanwhile
			closed++
		}
	}
	return closed
}

// oldestResting returns the connection that makes room next; nil = there is none. The lock is held.
func (s *Server) oldestResting() (oldest *conn) {
	var longest IdleConn
	for c := range s.conns {
		r, ok := c.resting()
		if !ok || r.Evicts || !s.mayEnd(IdleConn{r.IdleFor, true}) {
			continue
		}
		if oldest == nil || goesBefore(c, r, oldest, longest) {
			oldest, longest = c, r
		}
	}
	return oldest
}

// goesBefore tells whether a connection makes room sooner than another.
func goesBefore(c *conn, r IdleConn, o *conn, than IdleConn) bool {
	if said := c.said.Load(); said != o.said.Load() {
		return !said
	}
	return r.IdleFor > than.IdleFor
}

// mayEnd tells whether a connection that rests may be ended.
func (s *Server) mayEnd(r IdleConn) bool {
	if s.MayCloseIdle != nil {
		return s.MayCloseIdle(r)
	}
	return !r.Evicts || r.IdleFor > s.Timeouts.MinIdle()
}

// restedFor is LeastRest where a protocol does not say otherwise.
const restedFor = time.Second

// Held returns the bytes of request bodies that are held, over all connections.
func (s *Server) Held() int64 { return s.held.Load() }

// IsDescriptorShortage tells whether an error means that the process, or the machine, has no descriptor left.
func IsDescriptorShortage(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// IsProcessDescriptorLimit tells whether an error means that the process has as many descriptors as it may. Where it is the machine that has none
// left, fewer connections of ours would change little.
func IsProcessDescriptorLimit(err error) bool { return errors.Is(err, syscall.EMFILE) }

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
	s.idleBy.Store(sinceStart() + int64(orElse(s.Timeouts.DrainIdle, drainIdle)))
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.room.Broadcast()
	s.stopAccepting()
	for c := range s.conns {
		c.endRest(orElse(s.Timeouts.DrainIdle, drainIdle), false)
	}
}

// stopAccepting ends the listener: soon, or at once where others accept from it too. The lock is held.
func (s *Server) stopAccepting() {
	if l, ok := s.listener.(interface{ SetDeadline(time.Time) error }); ok && !s.Shared {
		l.SetDeadline(time.Now().Add(orElse(s.Timeouts.DrainAccept, drainAccept)))
	} else if s.listener != nil {
		s.listener.Close()
	}
}

// Times that a protocol may set otherwise.
const (
	drainAccept = 50 * time.Millisecond
	drainIdle   = 200 * time.Millisecond
	lingerFor   = 500 * time.Millisecond
)

// drainLeft is for how long an idle connection of a draining server is still read.
func (s *Server) drainLeft() time.Duration {
	if !s.Timeouts.DrainKeep {
		return orElse(s.Timeouts.DrainIdle, drainIdle)
	}
	return max(time.Millisecond, time.Duration(s.idleBy.Load()-sinceStart()))
}

// closing tells whether connections end with the answer that is being given.
func (s *Server) closing() bool {
	return s.draining.Load() && (!s.Timeouts.DrainKeep || sinceStart() >= s.idleBy.Load())
}

// Wait waits until all connections have ended, or the time has passed; it tells whether they have.
func (s *Server) Wait(d time.Duration) bool {
	over := false
	timer := time.AfterFunc(d, func() {
		s.mu.Lock()
		over = true
		s.ended.Broadcast()
		s.mu.Unlock()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.conns) > 0 && !over {
		s.ended.Wait()
	}
	return len(s.conns) == 0
}

// Close cuts all connections and waits for their goroutines. An exchange that nobody will answer any more (its owner
// has ended, and may have dropped it unseen) is cut as well: it would be waited for without end.
func (s *Server) Close() {
	s.draining.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.room.Broadcast()
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.nc.Close()
		if x := c.x.Load(); x != nil {
			x.Abort()
		}
	}
	for len(s.conns) > 0 {
		s.ended.Wait()
	}
}

// serve reads requests one after another; each is answered before the next is parsed, so that pipelined
// answers leave in order.
func (c *conn) serve() {
	s := c.srv
	c.br = bufio.NewReaderSize(c.ahead, readBuffer)
	wait := orElse(s.Timeouts.First, s.Timeouts.Head) // before the first request a connection gets no idle time
	for {
		c.rests(wait)
		if _, err := c.br.Peek(1); err != nil && !c.cameLate(err) {
			c.endIdle(err)
			return
		}
		c.busy()
		arrived, begun := c.ahead.cameAt(c.br.Buffered()), time.Now()
		c.by = time.Time{}
		if s.Timeouts.Whole > 0 {
			c.by = begun.Add(s.Timeouts.Whole)
		}
		c.readBy(begun.Add(s.Timeouts.Head))
		q, err := ReadRequest(c.br, s.Limits)
		if err == nil {
			err = c.body(q)
		}
		if err != nil {
			c.reject(err)
			return
		}
		c.end.Requests++
		x := &Exchange{Request: q, Arrived: arrived, c: c, done: make(chan struct{})}
		c.x.Store(x)
		c.nc.SetReadDeadline(time.Time{})
		size := int64(len(q.Body)) // the handler may take the body away
		s.Handler.Serve(x)
		gone := c.watch(x)
		s.held.Add(-size)
		if gone || x.last() {
			c.end.Reason = FinalResponse
			if gone || x.gone() {
				c.end.Reason = ClientDisconnected
			}
			c.end.Unanswered = x.unanswered && c.end.Reason != ClientDisconnected
			c.linger(gone)
			return
		}
		wait = s.Timeouts.Idle
	}
}

// endIdle ends a connection between requests, on which a read has failed. One whose time is over is read on for a moment: what its
// client sends just then would meet a reset. One that makes room for others, or that its client has ended, is not.
func (c *conn) endIdle(err error) {
	r, _ := c.resting()
	makesRoom := r.Evicts
	switch {
	case makesRoom:
		c.end.Reason = Evicted
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.end.Reason = PeerClosed
	case c.srv.draining.Load():
		c.end.Reason = Drained
	case c.end.Requests == 0:
		c.end.Reason = NoRequestInTime
	default:
		c.end.Reason = IdleTimeout
	}
	c.linger(makesRoom || !errors.Is(err, os.ErrDeadlineExceeded))
}

// cameLate tells whether a request came in the very moment in which the time of an idle connection ran out: a read whose deadline has
// passed fails, whatever is there. A close over it would be a reset.
func (c *conn) cameLate(err error) bool {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.nc.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err = c.br.Peek(1)
	return err == nil
}

// readBy bounds the reads of a request: by the time given and, if it is bounded, by that of the whole request.
func (c *conn) readBy(at time.Time) {
	if !c.by.IsZero() && c.by.Before(at) {
		at = c.by
	}
	c.nc.SetReadDeadline(at)
}

// body reads the request's body, within the bytes that all connections together may hold.
func (c *conn) body(q *Request) error {
	s := c.srv
	if q.expects {
		c.nc.SetWriteDeadline(time.Now().Add(s.Timeouts.Write))
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
	c.readBy(time.Now().Add(s.Timeouts.Body))
	err := q.ReadBody(c.br, s.Limits)
	if err != nil {
		s.held.Add(-reserve)
		return err
	}
	s.held.Add(int64(len(q.Body)) - reserve)
	return nil
}

// reject answers a request that could not be read.
func (c *conn) reject(err error) {
	var e *Error
	switch {
	case errors.As(err, &e):
		c.endedBy(MalformedRequest)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.endedBy(IncompleteRequest)
		e = &Error{408, "the request did not arrive in time"}
	default:
		c.endedBy(IncompleteRequest)
		return
	}
	c.nc.SetWriteDeadline(time.Now().Add(c.srv.Timeouts.Write))
	c.fault(e)
	c.linger(false)
}

// endedBy notes why the connection ends, unless that is known already.
func (c *conn) endedBy(why CloseReason) {
	if c.end.Reason == "" {
		c.end.Reason = why
	}
}

func (c *conn) fault(e *Error) {
	fields, body := []Field{{"Content-Type", "text/plain; charset=utf-8"}}, []byte(e.Reason+"\n")
	if c.srv.ErrorBody != nil {
		fields, body = c.srv.ErrorBody(e.Status, e.Reason)
	}
	c.nc.Write(appendReply(nil, e.Status, fields, body, true, false))
}

// linger closes the sending side and reads on for a moment, so that the answer is not lost to a reset that
// unread bytes would cause (RFC 9112, section 9.6).
func (c *conn) linger(gone bool) {
	if tc, ok := c.nc.(interface{ CloseWrite() error }); ok && !gone {
		tc.CloseWrite()
		c.nc.SetReadDeadline(time.Now().Add(orElse(c.srv.Timeouts.Linger, lingerFor)))
		io.CopyN(io.Discard, c.nc, 256<<10)
	}
}
