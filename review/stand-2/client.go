//go:build review2

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// healthy reports whether the node's GET /healthz answers 200.
func (w *world) healthy() bool {
	conn, err := net.DialTimeout("tcp", w.address, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(conn, "GET /healthz HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	return err == nil && response.StatusCode == 200
}

var calls atomic.Uint64

// answer is what a client saw of the answer to a request. Times count from the sending of the request.
type answer struct {
	id     string
	sentAt float64       // Unix seconds, of the request's last byte
	status int           // 0 = none
	after  time.Duration // to the last byte of an answer, or to the first event of a stream
	closed bool          // the node closed the connection without an answer
	whole  bool          // a stream ended with its last chunk
	text   string
}

func (a answer) String() string {
	switch {
	case a.status != 0:
		return fmt.Sprintf("status %d after %.3f s, whole %v", a.status, a.after.Seconds(), a.whole)
	case a.closed:
		return fmt.Sprintf("closed without an answer after %.3f s", a.after.Seconds())
	}
	return fmt.Sprintf("no answer in %.3f s", a.after.Seconds())
}

// send sends a usual client's request on a new connection and waits for its answer until its time is over by wait.
func (w *world) send(operation, class string, budget, wait time.Duration) answer {
	request := platform.Request{Operation: operation, Class: class, Tenant: "branch", Session: operation, ResponseTokens: 20,
		Timeout: budget, ID: fmt.Sprintf("%016x", calls.Add(1))}
	w.platform.RegisterCall(request.ID, platform.Operation{Name: operation, Class: class, ResponseTokens: request.ResponseTokens})
	result := answer{id: request.ID}
	conn, err := net.DialTimeout("tcp", w.address, budget)
	if err != nil {
		result.closed = true
		return result
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, request.Encode()); err != nil {
		result.closed = true
		return result
	}
	sent := time.Now()
	result.sentAt = record.Now()
	conn.SetReadDeadline(sent.Add(budget + wait))
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	result.after = time.Since(sent)
	if err != nil {
		result.closed = !errors.Is(err, os.ErrDeadlineExceeded)
		return result
	}
	result.status = response.StatusCode
	if response.StatusCode == 200 {
		conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		result.text, err = platform.ReadEvents(response.Body)
	} else {
		_, err = io.Copy(io.Discard, response.Body)
		result.after = time.Since(sent)
	}
	result.whole = err == nil
	return result
}
