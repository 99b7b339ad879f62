package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

func ready(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n"); err != nil {
		return false
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	return err == nil && resp.StatusCode == http.StatusOK
}

// kept is a client's connection to a node.
type kept struct {
	net.Conn
	br   *bufio.Reader
	used bool // it has carried a request
}

// client sends one request after another, over connections that it keeps.
type client struct {
	fleet *Fleet
	name  string
	rng   *rand.Rand
	conns map[*Node]*kept
	asked int
}

var callIDs atomic.Uint64

// How clients behave.
const (
	thinkMean   = 120 * time.Millisecond
	restLong    = 0.03 // of pauses last seconds: their connections end meanwhile
	leaveShare  = 0.10 // leave before the answer
	halfShare   = 0.02 // end their sending and wait on
	retryAtOnce = 0.3
	mostTries   = 4
	mostTokens  = 60
	hurried     = 0.05 // have hardly any time left
)

// classes are those of requests, drawn alike.
var classes = []string{"chat", "chat", "commit", "keyed"}

// run asks until the day is over.
func (c *client) run(stop <-chan struct{}) {
	defer func() {
		for _, k := range c.conns {
			k.Close()
		}
	}()
	for {
		pause := time.Duration(c.rng.ExpFloat64() * float64(thinkMean))
		if c.rng.Float64() < restLong {
			pause = time.Duration((1 + 4*c.rng.Float64()) * float64(time.Second))
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		c.want(stop)
	}
}

// want has one thing done, by as many tries as it takes.
func (c *client) want(stop <-chan struct{}) {
	c.asked++
	a := platform.Request{Operation: fmt.Sprintf("%s-%d", c.name, c.asked), Class: "chat", Tenant: "branch", Session: c.name + "-" + strconv.Itoa(c.asked/4),
		ResponseTokens: 1 + c.rng.IntN(mostTokens), Timeout: time.Duration((0.8 + 3.2*c.rng.Float64()) * float64(time.Second))}
	if c.rng.Float64() < hurried {
		a.Timeout = time.Duration((0.02 + 0.3*c.rng.Float64()) * float64(time.Second))
	}
	a.Class = classes[c.rng.IntN(len(classes))]
	for try := 0; try < mostTries; {
		n := c.fleet.front(c.rng)
		if n == nil {
			return
		}
		out, after := c.try(n, a, try)
		switch out {
		case crossed: // asked anew on a new connection
			continue
		case record.Unmet:
			time.Sleep(50 * time.Millisecond)
		case record.Refused:
			if c.rng.Float64() > retryAtOnce {
				time.Sleep(after)
			}
		default:
			return
		}
		try++
		select {
		case <-stop:
			return
		default:
		}
	}
}

// What becomes of a request beside the outcomes that are recorded.
const (
	crossed record.Outcome = "crossed" // it could not be written: the node had closed the connection, so it is sent again
	over    record.Outcome = "over"    // its client wants nothing more of it
)

// open tells whether nothing has come on a connection that rests: neither bytes nor its end.
func (k *kept) open() bool {
	k.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := k.br.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// connect returns a connection to a node.
func (c *client) connect(n *Node) (*kept, error) {
	if k := c.conns[n]; k != nil {
		delete(c.conns, n)
		if k.open() {
			return k, nil
		}
		k.Close()
	}
	nc, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &kept{Conn: nc, br: bufio.NewReader(nc)}, nil
}

// pipelined is how many requests a client sends at once.
const pipelined = 5

// pipeline sends several requests at once on a connection of its own and reads their answers in order, or leaves after some of them.
func (c *client) pipeline(n *Node) {
	nc, err := net.DialTimeout("tcp", n.addr, time.Second)
	if err != nil {
		return
	}
	k := &kept{Conn: nc, br: bufio.NewReader(nc)}
	defer k.Close()
	asks, text := make([]platform.Request, pipelined), ""
	for i := range asks {
		asks[i] = platform.Request{Operation: fmt.Sprintf("%s-%d", c.name, i), Class: classes[c.rng.IntN(len(classes))], Tenant: "branch", Session: c.name,
			ResponseTokens: 1 + c.rng.IntN(mostTokens/4), Timeout: 3 * time.Second, ID: fmt.Sprintf("%016x", callIDs.Add(1))}
		c.fleet.platform.RegisterCall(asks[i].ID, platform.Operation{Name: asks[i].Operation, Class: asks[i].Class, ResponseTokens: asks[i].ResponseTokens})
		text += asks[i].Encode()
	}
	if _, err := io.WriteString(k, text); err != nil {
		return
	}
	stay := pipelined
	if c.rng.IntN(2) == 0 {
		stay = c.rng.IntN(pipelined)
	}
	for i, a := range asks[:stay] {
		ask := record.Record{Kind: record.Ask, Op: a.Operation, Class: a.Class, Node: n.name, Tokens: (a.Timeout + time.Duration(i)*a.Timeout).Seconds()}
		c.fleet.log.Add(ask)
		a.Timeout *= time.Duration(i + 1)
		ans, keep := hear(k, a, func() {
			first := ask
			first.Kind, first.Tokens, first.T = record.First, 0, 0
			c.fleet.log.Add(first)
		})
		if ans.Outcome == record.Cut && i > 0 { // the node may close behind any answer
			c.fleet.cross(n, a, record.Now())
			c.fleet.log.Add(record.Record{Kind: record.Hangup, Op: a.Operation, Class: a.Class, Node: n.name})
			return
		}
		c.fleet.log.Add(end(a, ask, ans))
		if !keep {
			return
		}
	}
}

// end is the record of an answer.
func end(a platform.Request, base record.Record, ans platform.Response) record.Record {
	base.Kind, base.Outcome, base.Tokens, base.T = record.Answer, ans.Outcome, 0, 0
	whole := platform.ResponseText(a.Operation, a.ResponseTokens)
	base.OK = ans.Outcome == record.Served && ans.Text == whole || ans.Outcome == record.Failed && strings.HasPrefix(whole, ans.Text)
	base.Note = fmt.Sprintf("%s status %d", a.ID, ans.Status)
	if ans.Err != nil {
		base.Note += ": " + ans.Err.Error()
	}
	return base
}

// try makes one request and records it.
func (c *client) try(n *Node, a platform.Request, try int) (record.Outcome, time.Duration) {
	k, err := c.connect(n)
	if err != nil {
		return record.Unmet, 0
	}
	a.ID = fmt.Sprintf("%016x", callIDs.Add(1))
	c.fleet.platform.RegisterCall(a.ID, platform.Operation{Name: a.Operation, Class: a.Class, Attempt: try, ResponseTokens: a.ResponseTokens})
	base := record.Record{Op: a.Operation, Try: try, Class: a.Class, Node: n.name}
	ask := base
	ask.Kind, ask.Tokens, ask.T = record.Ask, a.Timeout.Seconds(), record.Now()
	if _, err := io.WriteString(k, a.Encode()); err != nil {
		k.Close()
		if k.used {
			return crossed, 0
		}
		return record.Unmet, 0
	}
	c.fleet.log.Add(ask)
	var left atomic.Bool
	if c.rng.Float64() < leaveShare {
		leave := time.AfterFunc(time.Duration(c.rng.Float64()*float64(600*time.Millisecond)), func() {
			if left.CompareAndSwap(false, true) {
				gone := base
				gone.Kind, gone.Note = record.Hangup, a.ID
				c.fleet.log.Add(gone)
				k.Close()
			}
		})
		defer leave.Stop()
	} else if c.rng.Float64() < halfShare {
		k.Conn.(*net.TCPConn).CloseWrite()
		k.used = true
	}
	ans, keep := hear(k, a, func() {
		first := base
		first.Kind = record.First
		c.fleet.log.Add(first)
	})
	if !left.CompareAndSwap(false, true) {
		return over, 0
	}
	if !keep {
		k.Close()
	} else {
		c.conns[n] = k
	}
	if ans.Outcome == record.Cut && k.used {
		c.fleet.cross(n, a, ask.T)
		gone := base
		gone.Kind, gone.Note = record.Hangup, a.ID
		c.fleet.log.Add(gone)
		return over, 0 // what was recorded under a try cannot be recorded there again
	}
	k.used = true
	c.fleet.log.Add(end(a, base, ans))
	c.fleet.count(n, ans.Outcome)
	after, _ := strconv.ParseFloat(ans.RetryAfter, 64)
	return ans.Outcome, time.Duration(after * float64(time.Second))
}

// streamFor is how long a stream may last.
const streamFor = 20 * time.Second

// hear reads an answer; keep tells whether the connection can carry another request.
func hear(k *kept, a platform.Request, first func()) (ans platform.Response, keep bool) {
	k.SetReadDeadline(time.Now().Add(a.Timeout + time.Second))
	if _, err := k.br.Peek(1); err != nil {
		ans.Outcome, ans.Err = record.Cut, err
		if errors.Is(err, os.ErrDeadlineExceeded) {
			ans.Outcome = record.Overdue
		}
		return ans, false
	}
	resp, err := http.ReadResponse(k.br, nil)
	if err != nil {
		return platform.Response{Outcome: record.Cut, Err: err}, false
	}
	ans.Status, ans.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	switch {
	case resp.StatusCode == 429 || resp.StatusCode == 503:
		ans.Outcome = record.Refused
	case resp.StatusCode != 200:
		ans.Outcome = record.Failed
	}
	if ans.Outcome != "" {
		_, err = io.Copy(io.Discard, resp.Body)
		return ans, err == nil && !resp.Close
	}
	first()
	k.SetReadDeadline(time.Now().Add(streamFor))
	ans.Outcome = record.Failed
	final := false
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if final = data == "[DONE]"; final {
			continue
		}
		var e struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if ans.Err = json.Unmarshal([]byte(data), &e); ans.Err != nil {
			return ans, false
		}
		for _, x := range e.Choices {
			ans.Text += x.Delta.Content
		}
	}
	if ans.Err = lines.Err(); ans.Err != nil {
		return ans, false
	}
	ans.Outcome, ans.Complete = record.Served, true
	return ans, !resp.Close
}
