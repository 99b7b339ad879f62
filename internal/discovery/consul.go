package discovery

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"strconv"
	"sync"
	"time"

	"dillroute/internal/clock"
	"dillroute/internal/decide/endpoints"
	"dillroute/internal/http1"
)

const (
	// consulConnectTimeout limits connecting to the list server.
	consulConnectTimeout = 5 * time.Second
	// consulResponseTime is the time allowed for a response beyond the time for which the server may hold a call.
	consulResponseTime = 5 * time.Second
	// consulWaitJitter is the divisor of the jitter: the server may hold a call for up to wait/16 longer than wait ("Blocking Queries").
	consulWaitJitter = 16
	// consulIndexHeader is the header field with the index of a response.
	consulIndexHeader = "X-Consul-Index"
)

// errStopped is returned by a call during which the source was stopped.
var errStopped = errors.New("stopped")

// consulSource polls a list server with Consul's blocking queries of the health endpoint ("Blocking Queries" and "Health HTTP
// Endpoint" in its documentation).
type consulSource struct {
	address string // host:port
	service string
	wait    time.Duration // time for which the server may hold a call
	parser  *Parser
	clock   clock.Clock
	poller  *endpoints.Poller

	mu      sync.Mutex
	conn    *http1.ClientConn // of the call in flight or the last one
	stopped bool
}

// run polls the list server at the times that s.poller schedules.
func (s *consulSource) run(responses chan<- response, stop <-chan struct{}) {
	ended := make(chan struct{})
	defer close(ended)
	go func() { // a call that the server holds must not delay a stop
		select {
		case <-stop:
			s.abort()
		case <-ended:
		}
	}()
	callAt := s.poller.FirstCall(s.clock.Now())
	index := uint64(0)
	for {
		timer := time.NewTimer(max(0, seconds(callAt-s.clock.Now())))
		select {
		case <-stop:
			timer.Stop()
			return
		case <-timer.C:
		}
		var r response
		r, index = s.poll(index)
		select {
		case responses <- r:
		case <-stop:
			return
		}
		callAt = s.poller.AfterCall(s.clock.Now(), r.err == nil)
	}
}

// poll makes one call and returns the response and the index for the next call. After a failure the index stays as it is. After the
// server's index fell, it is 0, as Consul's documentation requires.
func (s *consulSource) poll(index uint64) (response, uint64) {
	list, err := s.fetch(index)
	if err != nil {
		return response{err: fmt.Errorf("list server: %w", err)}, index
	}
	if list.Index < index {
		return response{list: list, indexReset: true}, 0
	}
	return response{list: list}, list.Index
}

// abort closes the connection of the call in flight and prevents further calls.
func (s *consulSource) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.conn != nil {
		s.conn.Close()
	}
}

// setConn records the connection of a call. It returns false if the source was stopped.
func (s *consulSource) setConn(conn *http1.ClientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return !s.stopped
}

// fetch makes one call and returns its list.
func (s *consulSource) fetch(index uint64) (list endpoints.List, err error) {
	pool := &http1.Pool{Limits: http1.DefaultLimits}
	conn, err := pool.Get(context.Background(), s.address, consulConnectTimeout)
	if err != nil {
		return list, err
	}
	defer conn.Close()
	if !s.setConn(conn) {
		return list, errStopped
	}
	conn.SetDeadline(time.Now().Add(s.wait + s.wait/consulWaitJitter + consulResponseTime))
	accept := []http1.Field{{Name: "Accept", Value: "application/json"}}
	if _, _, err := conn.Send("GET", s.target(index), accept, nil); err != nil {
		return list, err
	}
	resp, err := conn.ReadResponse()
	if err != nil {
		return list, err
	}
	body, err := resp.ReadAll(maxListBytes)
	if err != nil {
		return list, fmt.Errorf("incomplete body: %w", err)
	}
	return s.readResponse(resp, body)
}

// target returns the request target of a blocking query for changes after an index.
func (s *consulSource) target(index uint64) string {
	return "/v1/health/service/" + url.PathEscape(s.service) + "?index=" + strconv.FormatUint(index, 10) +
		"&wait=" + strconv.Itoa(int(s.wait.Milliseconds())) + "ms"
}

// readResponse returns the list of a response, with its index.
func (s *consulSource) readResponse(resp *http1.Response, body []byte) (list endpoints.List, err error) {
	if resp.Status != 200 {
		return list, fmt.Errorf("response status %d", resp.Status)
	}
	header := resp.Header.Get(consulIndexHeader)
	index, err := strconv.ParseUint(header, 10, 64)
	if err != nil || index == 0 {
		return list, fmt.Errorf("header field %s is %q, want a positive integer", consulIndexHeader, header)
	}
	listed, err := s.parser.ParseConsul(body)
	if err != nil {
		return list, fmt.Errorf("invalid list:\n%w", err)
	}
	return endpoints.List{Index: index, Endpoints: listed}, nil
}
