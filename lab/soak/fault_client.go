package soak

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// pipeliningClients is the number of clients that pipeline requests concurrently.
const pipeliningClients = 3

// pipelineRequests makes clients send several requests on one connection without waiting for responses; some clients disconnect between
// the responses.
func pipelineRequests(t *injection) {
	n := t.drawNode()
	if !n.isInService() {
		return
	}
	var clients sync.WaitGroup
	for range pipeliningClients {
		name := fmt.Sprintf("p%d", lastCallID.Add(1))
		c := t.fleet.newClient(name, t.rng.Uint64(), 1)
		clients.Add(1)
		go func() {
			defer clients.Done()
			c.pipeline(n)
		}()
	}
	clients.Wait()
}

const (
	// badClientLimit is the time within which a node must respond to a bad client or close its connection (DAYS of the platform, bad
	// clients).
	badClientLimit = 3 * time.Second
	// badClientSlack is added to badClientLimit, because a loaded machine may delay the node.
	badClientSlack = 300 * time.Millisecond
	// badClientCount is the number of bad clients that connect at the same time.
	badClientCount = 10
)

// badRequests are incomplete or malformed requests, which cannot be served.
var badRequests = []string{
	"GET / HTTP/1.1\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\n{\"half",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -4\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nX-Call-Id: zz\r\nX-Call-Class: none\r\nX-Caller: branch\r\nX-Budget: soon\r\n" +
		"Content-Length: 2\r\n\r\n{}",
	"\x16\x03\x01\x02\x00",
	"\r\n\r\n\r\n",
	"POST /v1/chat/completions HTTP/1.1\r\nX: " + strings.Repeat("y", 40000),
	"",
}

// badClients sends bad requests. It reports a request if the node neither responds nor closes the connection within badClientLimit.
func badClients(t *injection) {
	n := t.drawNode()
	if !n.isInService() {
		return
	}
	var clients sync.WaitGroup
	for range badClientCount {
		text := badRequests[t.rng.IntN(len(badRequests))]
		clients.Add(1)
		go func() {
			defer clients.Done()
			if ignoresBadRequest(n, text) {
				t.fleet.report("bad client", "%s neither responded nor closed the connection in %v: %.60q", n.name, badClientLimit, text)
			}
		}()
	}
	clients.Wait()
}

// ignoresBadRequest sends a bad request. It returns whether the node neither responds nor closes the connection within badClientLimit.
func ignoresBadRequest(n *Node, text string) bool {
	start := time.Now()
	conn, err := net.DialTimeout("tcp", n.address, connectTimeout)
	if err != nil {
		return false
	}
	defer conn.Close()
	io.WriteString(conn, text)
	conn.SetReadDeadline(start.Add(badClientLimit + badClientSlack))
	_, err = conn.Read(make([]byte, 1))
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// idleConnectTimeout is the connect timeout of each idle client of fillDescriptors.
const idleConnectTimeout = 50 * time.Millisecond

// fillDescriptors opens connections without requests, up to a node's limit of sockets or until the node accepts no more, and closes them
// after up to 3 s.
func fillDescriptors(t *injection) {
	n := t.drawNode()
	var conns []net.Conn
	for range nodeSockets {
		conn, err := net.DialTimeout("tcp", n.address, idleConnectTimeout)
		if err != nil {
			break
		}
		conns = append(conns, conn)
	}
	t.pause(300*time.Millisecond, 3*time.Second)
	for _, conn := range conns {
		conn.Close()
	}
}
