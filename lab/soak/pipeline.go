package soak

import (
	"fmt"
	"io"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

const (
	// pipelinedRequests is the number of requests that a client sends without waiting for a response.
	pipelinedRequests = 5
	// pipelinedTimeout is the timeout that each pipelined request states.
	pipelinedTimeout = 3 * time.Second
)

// pipeline sends several requests on a new connection without waiting for a response. It reads their responses in order, or disconnects
// after some of them.
func (c *client) pipeline(n *Node) {
	conn, err := dial(n)
	if err != nil {
		return
	}
	defer conn.Close()
	requests := c.drawPipelined()
	text := ""
	for _, request := range requests {
		text += request.Encode()
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return
	}
	awaited := pipelinedRequests
	if c.rng.IntN(2) == 0 {
		awaited = c.rng.IntN(pipelinedRequests)
	}
	for i, request := range requests[:awaited] {
		request.Timeout *= time.Duration(i + 1) // each request also waits for the responses to those before it
		if !c.receivePipelined(n, conn, request, i == 0) {
			return
		}
	}
}

// drawPipelined generates the requests that pipeline sends, and registers their IDs.
func (c *client) drawPipelined() []platform.Request {
	requests := make([]platform.Request, pipelinedRequests)
	for i := range requests {
		request := platform.Request{
			Operation:      fmt.Sprintf("%s-%d", c.name, i),
			Class:          classes[c.rng.IntN(len(classes))],
			Tenant:         "branch",
			Session:        c.name,
			ResponseTokens: 1 + c.rng.IntN(maxResponseTokens/4),
			Timeout:        pipelinedTimeout,
			ID:             newCallID(),
		}
		c.fleet.platform.RegisterCall(request.ID, platform.Operation{
			Name:           request.Operation,
			Class:          request.Class,
			ResponseTokens: request.ResponseTokens,
		})
		requests[i] = request
	}
	return requests
}

// receivePipelined reads and records one response of a pipeline. It returns false if no further response can be read.
func (c *client) receivePipelined(n *Node, conn *clientConn, request platform.Request, isFirst bool) bool {
	base := record.Record{Op: request.Operation, Class: request.Class, Node: n.name}
	sent := base
	sent.Kind = record.RequestSent
	sent.Tokens = request.Timeout.Seconds()
	c.fleet.log.Add(sent)
	response, reusable := receive(conn, request, func() {
		first := base
		first.Kind = record.FirstToken
		c.fleet.log.Add(first)
	})
	if response.Outcome == record.ConnectionLost && !isFirst { // the node may close the connection after any response
		c.fleet.addUnanswered(n, request, record.Now())
		disconnect := base
		disconnect.Kind = record.ClientDisconnected
		c.fleet.log.Add(disconnect)
		return false
	}
	c.fleet.log.Add(finalRecord(base, request, response))
	return reusable
}
