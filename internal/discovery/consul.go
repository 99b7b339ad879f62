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
	// consulConnectTimeout bounds the connect to the list server.
	consulConnectTimeout = 5 * time.Second
	// consulResponseTime is allowed for a response, beyond the time for which the server holds a call.
	consulResponseTime = 5 * time.Second
	// consulWaitJitter is the part of the wait that the server may add to it ("Blocking Queries": up to wait/16).
	consulWaitJitter = 16
	// consulIndexHeader holds the index of a response.
	consulIndexHeader = "X-Consul-Index"
)

// errStopped means that the source was stopped during a call.
var errStopped = errors.New("stopped")

// consulSource polls a list server by Consul's blocking queries (health endpoint, "Blocking Queries" and "Health HTTP
// Endpoint" of its documentation).
type consulSource struct {
	address string // host:port
	service string
	wait    time.Duration // for which the server may hold a call
	parser  *Parser
	clock   clock.Clock
	poller  *endpoints.Poller

	mu      sync.Mutex
	conn    *http1.ClientConn // of the call in flight or the last one
	stopped bool
}

// run polls the list server whenever the poller schedules a call.
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

// poll makes one call and returns the response and the index for the next call: 0 after the server's index fell, as the
// documentation asks, and the same one after a failure.
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

// abort closes the connection of a call in flight, and keeps further calls from starting.
func (s *consulSource) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.conn != nil {
		s.conn.Close()
	}
}

// setConn records the connection of a call; false = the source was stopped.
func (s *consulSource) setConn(conn *http1.ClientConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = conn
	return !s.stopped
}

// fetch makes one call and reads its list.
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
		return list, fmt.Errorf("body cut short: %w", err)
	}
	return s.readResponse(resp, body)
}

// target returns the target of a blocking query for changes after an index.
func (s *consulSource) target(index uint64) string {
	return "/v1/health/service/" + url.PathEscape(s.service) + "?index=" + strconv.FormatUint(index, 10) +
		"&wait=" + strconv.Itoa(int(s.wait.Milliseconds())) + "ms"
}

// readResponse reads the list and the index of a response.
func (s *consulSource) readResponse(resp *http1.Response, body []byte) (list endpoints.List, err error) {
	if resp.Status != 200 {
		return list, fmt.Errorf("answered %d", resp.Status)
	}
	header := resp.Header.Get(consulIndexHeader)
	index, err := strconv.ParseUint(header, 10, 64)
	if err != nil || index == 0 {
		return list, fmt.Errorf("%s is %q", consulIndexHeader, header)
	}
	listed, err := s.parser.ParseConsul(body)
	if err != nil {
		return list, fmt.Errorf("invalid list:\n%w", err)
	}
	return endpoints.List{Index: index, Endpoints: listed}, nil
}
