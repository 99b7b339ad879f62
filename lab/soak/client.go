package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// connectTimeout is a client's timeout for connecting to a node.
const connectTimeout = time.Second

// clientConn is a client's connection to a node.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
	used   bool // an attempt on it has ended, or the client has closed its sending side
}

// dial opens a connection to a node.
func dial(n *Node) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", n.address, connectTimeout)
	if err != nil {
		return nil, err
	}
	return &clientConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// idle reports whether a connection without a request in progress is still usable: it has received no bytes, and the node has not
// closed it.
func (k *clientConn) idle() bool {
	k.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := k.reader.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// client performs one operation after another over connections that it reuses. Only one goroutine may use it.
type client struct {
	fleet      *Fleet
	name       string
	rng        *rand.Rand
	conns      map[*Node]*clientConn // idle connections, one for each node
	operations int                   // number of operations begun
}

// newClient returns a client whose random generator is initialized with a seed and a stream number.
func (f *Fleet) newClient(name string, seed, stream uint64) *client {
	return &client{fleet: f, name: name, rng: rand.New(rand.NewPCG(seed, stream)), conns: map[*Node]*clientConn{}}
}

// lastCallID is the last ID that was assigned to a call.
var lastCallID atomic.Uint64

func newCallID() string { return fmt.Sprintf("%016x", lastCallID.Add(1)) }

// Behavior of clients. Each share is a probability from 0 to 1; its comment says of what it is a share.
const (
	meanThinkTime       = 120 * time.Millisecond // mean pause before an operation
	longThinkTimeShare  = 0.03                   // of pauses, which last 1 s to 5 s, so that nodes close idle connections
	disconnectShare     = 0.10                   // of attempts, whose client disconnects
	maxDisconnectDelay  = 600 * time.Millisecond // maximum time from sending an attempt to the disconnect
	halfCloseShare      = 0.02                   // of attempts, whose client closes its sending side and waits for the response
	immediateRetryShare = 0.3                    // of rejections, which are retried immediately in spite of Retry-After
	unreachablePause    = 50 * time.Millisecond  // after an attempt that could not connect
	maxAttempts         = 4                      // per operation
	maxResponseTokens   = 60                     // per response
	shortTimeoutShare   = 0.05                   // of operations, whose timeout is 0.02 s to 0.32 s
	stoppingNodeShare   = 0.7                    // of attempts whose client has an open connection to a stopping node: they go to it
)

// classes are the classes of requests; each entry is drawn with the same probability.
var classes = []string{"chat", "chat", "commit", "keyed"}

// run performs operations until stop is closed.
func (c *client) run(stop <-chan struct{}) {
	defer func() {
		for _, conn := range c.conns {
			conn.Close()
		}
	}()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(meanThinkTime))
		if c.rng.Float64() < longThinkTimeShare {
			pause = time.Duration((1 + 4*c.rng.Float64()) * float64(time.Second))
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c.performOperation(stop)
	}
}

// drawRequest generates the request of the next operation.
func (c *client) drawRequest() platform.Request {
	c.operations++
	request := platform.Request{
		Operation:      fmt.Sprintf("%s-%d", c.name, c.operations),
		Tenant:         "branch",
		Session:        c.name + "-" + strconv.Itoa(c.operations/4),
		ResponseTokens: 1 + c.rng.IntN(maxResponseTokens),
		Timeout:        time.Duration((0.8 + 3.2*c.rng.Float64()) * float64(time.Second)),
	}
	if c.rng.Float64() < shortTimeoutShare {
		request.Timeout = time.Duration((0.02 + 0.3*c.rng.Float64()) * float64(time.Second))
	}
	request.Class = classes[c.rng.IntN(len(classes))]
	return request
}

// performOperation performs one operation with up to maxAttempts attempts.
func (c *client) performOperation(stop <-chan struct{}) {
	request := c.drawRequest()
	for attempt := 0; attempt < maxAttempts; {
		n := c.pickNode()
		if n == nil {
			return
		}
		outcome, retryAfter := c.attempt(n, request, attempt)
		switch outcome {
		case resend:
			continue
		case record.Unreachable:
			time.Sleep(unreachablePause)
		case record.Rejected:
			if c.rng.Float64() > immediateRetryShare {
				time.Sleep(retryAfter)
			}
		default:
			return
		}
		attempt++
		select {
		case <-stop:
			return
		default:
		}
	}
}

// pickNode returns a node for the next attempt; nil if there is none. If the client has an open connection to a stopping node, it returns
// that node with probability stoppingNodeShare. Otherwise it returns a random node in service.
func (c *client) pickNode() *Node {
	if n := c.stoppingNode(); n != nil && c.rng.Float64() < stoppingNodeShare {
		return n
	}
	return c.fleet.pickNode(c.rng)
}

// stoppingNode returns a stopping node to which the client has an open connection; nil if there is none. It generates no random numbers, so
// that stoppingNodeShare does not change the operations of a scenario without stops.
func (c *client) stoppingNode() *Node {
	for _, n := range c.fleet.nodes {
		conn := c.conns[n]
		if conn == nil || !n.stopping() {
			continue
		}
		if conn.idle() {
			return n
		}
		conn.Close()
		delete(c.conns, n)
	}
	return nil
}

// Outcomes of an attempt that are not recorded.
const (
	resend    record.Outcome = "crossed" // the request could not be written on a reused connection: it is sent again
	abandoned record.Outcome = "over"    // the client has disconnected, or must not retry
)

// connect returns the idle connection to a node if it is still usable, or a new one.
func (c *client) connect(n *Node) (*clientConn, error) {
	if conn := c.conns[n]; conn != nil {
		delete(c.conns, n)
		if conn.idle() {
			return conn, nil
		}
		conn.Close()
	}
	return dial(n)
}

// attempt makes one attempt and records it. retryAfter is the value of the Retry-After header; 0 if the response has none.
func (c *client) attempt(n *Node, request platform.Request, number int) (outcome record.Outcome, retryAfter time.Duration) {
	conn, err := c.connect(n)
	if err != nil {
		return record.Unreachable, 0
	}
	request.ID = newCallID()
	c.fleet.platform.RegisterCall(request.ID, platform.Operation{
		Name:           request.Operation,
		Class:          request.Class,
		Attempt:        number,
		ResponseTokens: request.ResponseTokens,
	})
	base := record.Record{Op: request.Operation, Attempt: number, Class: request.Class, Node: n.name}
	sent := base
	sent.Kind = record.RequestSent
	sent.Tokens = request.Timeout.Seconds()
	sent.T = record.Now()
	if _, err := io.WriteString(conn, request.Encode()); err != nil {
		conn.Close()
		if conn.used {
			return resend, 0
		}
		return record.Unreachable, 0
	}
	c.fleet.log.Add(sent)
	var ended atomic.Bool // the attempt has ended with its response or with the client's disconnect
	if timer := c.scheduleClientFault(conn, request.ID, base, &ended); timer != nil {
		defer timer.Stop()
	}
	response, reusable := receive(conn, request, func() {
		first := base
		first.Kind = record.FirstToken
		c.fleet.log.Add(first)
	})
	if !ended.CompareAndSwap(false, true) {
		return abandoned, 0
	}
	if reusable {
		c.conns[n] = conn
	} else {
		conn.Close()
	}
	if response.Outcome == record.ConnectionLost && conn.used {
		c.fleet.addUnanswered(n, request, sent.T)
		c.recordDisconnect(request.ID, base)
		return abandoned, 0 // not resent: after these records, no other response is allowed under the attempt's number
	}
	conn.used = true
	c.fleet.log.Add(finalRecord(base, request, response))
	c.fleet.countOutcome(n, response.Outcome)
	after, _ := strconv.ParseFloat(response.RetryAfter, 64)
	return response.Outcome, time.Duration(after * float64(time.Second))
}

// scheduleClientFault makes some clients disconnect before the response, and others close their sending side. It returns the timer of
// the disconnect; nil if the client stays connected.
func (c *client) scheduleClientFault(conn *clientConn, id string, base record.Record, ended *atomic.Bool) *time.Timer {
	if c.rng.Float64() < disconnectShare {
		delay := time.Duration(c.rng.Float64() * float64(maxDisconnectDelay))
		return time.AfterFunc(delay, func() {
			if ended.CompareAndSwap(false, true) {
				c.recordDisconnect(id, base)
				conn.Close()
			}
		})
	}
	if c.rng.Float64() < halfCloseShare {
		conn.Conn.(*net.TCPConn).CloseWrite()
		conn.used = true
	}
	return nil
}

func (c *client) recordDisconnect(id string, base record.Record) {
	disconnect := base
	disconnect.Kind = record.ClientDisconnected
	disconnect.Note = id
	c.fleet.log.Add(disconnect)
}

// finalRecord returns the record of a response, with the request's ID and the status in its note.
func finalRecord(base record.Record, request platform.Request, response platform.Response) record.Record {
	final := platform.FinalRecord(base, request, response)
	final.Note = fmt.Sprintf("%s status %d", request.ID, response.Status)
	if response.Err != nil {
		final.Note += ": " + response.Err.Error()
	}
	return final
}

const (
	// headGrace is how much longer than its timeout a client waits for the head of a response.
	headGrace = time.Second
	// streamTimeout bounds the time for reading a stream.
	streamTimeout = 20 * time.Second
)

// receive reads a response, and calls first when a stream begins. reusable says whether the connection can carry another request.
func receive(conn *clientConn, request platform.Request, first func()) (response platform.Response, reusable bool) {
	conn.SetReadDeadline(time.Now().Add(request.Timeout + headGrace))
	if _, err := conn.reader.Peek(1); err != nil {
		outcome := record.ConnectionLost
		if errors.Is(err, os.ErrDeadlineExceeded) {
			outcome = record.TimedOut
		}
		return platform.Response{Outcome: outcome, Err: err}, false
	}
	head, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return platform.Response{Outcome: record.ConnectionLost, Err: err}, false
	}
	response.Status = head.StatusCode
	response.RetryAfter = head.Header.Get("Retry-After")
	response.Outcome = platform.StatusOutcome(head.StatusCode)
	if response.Outcome != record.Served {
		_, err = io.Copy(io.Discard, head.Body)
		return response, err == nil && !head.Close
	}
	first()
	conn.SetReadDeadline(time.Now().Add(streamTimeout))
	response.Text, response.Err = platform.ReadEvents(head.Body)
	if response.Err != nil {
		response.Outcome = record.Failed
		return response, false
	}
	response.Complete = true
	return response, !head.Close
}
