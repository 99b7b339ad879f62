// Package client emulates clients of an OpenAI-style chat API. A client sends a request, reads the response or its stream, checks the
// text, records the events with their times, and disconnects early if the request says so. Retries are up to the caller. The package
// connects to nodes through sockets alone.
package client

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/emulator"
	"dillroute/lab/record"
)

const (
	// lateResponseGrace is how long a client waits for a response beyond its patience, so that a late response is recorded as late.
	lateResponseGrace = 300 * time.Millisecond
	// dialTimeout limits how long a client waits for a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection stays open.
	idleTimeout = 5 * time.Second
	// maxIdleConnections is how many idle connections to one node stay open.
	maxIdleConnections = 8
)

// Request is one request of a client.
type Request struct {
	Model           string
	Messages        []emulator.Message
	Mark            emulator.Mark
	MaxTokens       int           // limit on the response's length; 0 = not sent
	NoStream        bool          // asks for the response as one body instead of a stream
	Session         string        // prompt_cache_key; "" = none
	Patience        time.Duration // limit on the time to the first token; 0 = no limit
	DisconnectAfter int           // number of stream events after which the client disconnects; 0 = never
	Key             string        // API key; "" = the client's
	Tenant          string        // only recorded, not sent
}

// Result is the outcome of one attempt as the client sees it.
type Result struct {
	Outcome       record.Outcome
	Status        int    // HTTP status code; 0 = no response
	Code          string // code of the error response or error event
	RetryHarmless bool   // the response declares a retry harmless (X-Should-Retry)
	RetryAfter    time.Duration
	Text          string
	TextCorrect   bool // the received text is correct, and complete if the outcome is record.Served
	Events        int  // number of stream events received
	Err           error
}

// errDisconnected is the error of a request whose client disconnected as its DisconnectAfter says.
var errDisconnected = errors.New("client: disconnected early")

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	Key  string // API key of requests without a key of their own
	Log  *record.Log
	HTTP *http.Client
}

// New returns a client that records into log. The caller closes its idle connections with Close.
func New(key string, log *record.Log) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	}
	return &Client{Key: key, Log: log, HTTP: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.HTTP.CloseIdleConnections() }

// Body returns the request's JSON body.
func (r *Request) Body() []byte {
	members := map[string]any{
		"model":       r.Model,
		"messages":    r.Messages,
		"stream":      !r.NoStream,
		"x_lab":       r.Mark,
		"temperature": 0,
	}
	if r.MaxTokens > 0 {
		members["max_completion_tokens"] = r.MaxTokens
	}
	if r.Session != "" {
		members["prompt_cache_key"] = r.Session
	}
	body, _ := json.Marshal(members) // strings and numbers always encode
	return body
}

// Do sends one attempt to the node at address and reads the response. Records name the node as node. When ctx ends, the client
// disconnects.
func (c *Client) Do(ctx context.Context, node, address string, r Request) Result {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpRequest, err := c.httpRequest(attemptCtx, address, &r)
	if err != nil {
		return Result{Err: err}
	}
	log := attemptLog{log: c.Log, request: &r, node: node}
	timeout := startFirstTokenTimeout(r.Patience, cancel)
	log.requestSent()
	result := c.exchange(httpRequest, &r, func() {
		timeout.stop()
		log.add(record.FirstToken)
	})
	timeout.stop()
	if result.Outcome == record.ConnectionLost && timeout.expired {
		result.Outcome = record.TimedOut
	}
	runEnded := ctx.Err() != nil && result.Outcome == record.ConnectionLost && !timeout.expired
	if runEnded || r.DisconnectAfter > 0 && errors.Is(result.Err, errDisconnected) {
		log.add(record.ClientDisconnected)
		return result
	}
	log.finalResponse(&result)
	return result
}

// httpRequest returns the HTTP request for r, addressed to a node.
func (c *Client) httpRequest(ctx context.Context, address string, r *Request) (*http.Request, error) {
	url := "http://" + address + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(r.Body()))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Authorization", "Bearer "+cmp.Or(r.Key, c.Key))
	request.Header.Set("X-Stainless-Retry-Count", strconv.Itoa(r.Mark.Attempt))
	if r.Patience > 0 {
		request.Header.Set("X-Request-Timeout-Ms", strconv.FormatInt(r.Patience.Milliseconds(), 10))
	}
	return request, nil
}

// firstTokenTimeout cancels a request that has received no token once the client's patience and lateResponseGrace have passed.
type firstTokenTimeout struct {
	once    sync.Once // whichever of the timer and stop runs first takes effect
	timer   *time.Timer
	expired bool // the timer canceled the request; may be read after stop
}

// startFirstTokenTimeout starts the timer; a limit of 0 means no timeout.
func startFirstTokenTimeout(limit time.Duration, cancel func()) *firstTokenTimeout {
	p := &firstTokenTimeout{}
	if limit > 0 {
		p.timer = time.AfterFunc(limit+lateResponseGrace, func() {
			p.once.Do(func() {
				p.expired = true
				cancel()
			})
		})
	}
	return p
}

// stop disarms the timeout, on the first token or the end of the response. It may be called more than once.
func (p *firstTokenTimeout) stop() {
	p.once.Do(func() {})
	if p.timer != nil {
		p.timer.Stop()
	}
}

// attemptLog writes the records of one attempt of a client.
type attemptLog struct {
	log     *record.Log
	request *Request
	node    string
}

func (l attemptLog) record(kind record.Kind) record.Record {
	mark := l.request.Mark
	return record.Record{Kind: kind, Op: mark.Operation, Attempt: mark.Attempt, Class: mark.Class, Node: l.node, Tenant: l.request.Tenant}
}

func (l attemptLog) add(kind record.Kind) { l.log.Add(l.record(kind)) }

// requestSent records that the request is sent. Its record holds the client's patience (s) in Tokens.
func (l attemptLog) requestSent() {
	r := l.record(record.RequestSent)
	r.Tokens = l.request.Patience.Seconds()
	l.log.Add(r)
}

// finalResponse records the result. Its record holds RetryHarmless in State and the number of stream events in Tokens.
func (l attemptLog) finalResponse(result *Result) {
	r := l.record(record.FinalResponse)
	r.Outcome = result.Outcome
	r.OK = result.TextCorrect
	r.State = strconv.FormatBool(result.RetryHarmless)
	r.Tokens = float64(result.Events)
	r.Note = fmt.Sprintf("%d %s", result.Status, result.Code)
	if result.Err != nil {
		r.Note += " " + result.Err.Error()
	}
	l.log.Add(r)
}
