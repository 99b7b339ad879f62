// Package client emulates clients of an OpenAI-style chat API: they send requests, read the response or its stream, check the text,
// record what came and when, and disconnect when they are told to. Retries are the caller's. It meets the product on sockets alone.
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
	// lateResponseGrace is how long beyond its patience a client still listens, so that a late response is recorded as late.
	lateResponseGrace = 300 * time.Millisecond
	// dialTimeout is how long a client waits for a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an idle connection is open.
	idleTimeout = 5 * time.Second
	// maxIdleConnections is how many idle connections to a node stay open.
	maxIdleConnections = 8
)

// Request is one request of a client.
type Request struct {
	Model           string
	Messages        []emulator.Message
	Mark            emulator.Mark
	MaxTokens       int           // of the response; 0 = not sent
	NoStream        bool          // the response comes as one body
	Session         string        // prompt_cache_key; "" = none
	Patience        time.Duration // until the first token; 0 = without limit
	DisconnectAfter int           // events of the stream; 0 = never
	Key             string        // "" = the client's
	Tenant          string        // for the record
}

// Result is what the client saw of one attempt.
type Result struct {
	Outcome    record.Outcome
	Status     int    // of HTTP; 0 = no response came
	Code       string // of the error
	Retry      bool   // the node says that a retry is harmless
	RetryAfter time.Duration
	Text       string
	OK         bool // the text is correct as far as it came, and complete if the outcome is record.Served
	Events     int  // of the stream
	Err        error
}

// errDisconnected is the error of a request whose client disconnected by its own choice.
var errDisconnected = errors.New("client: left")

// Client sends requests to nodes. It is safe for concurrent use.
type Client struct {
	Key  string // API key
	Log  *record.Log
	HTTP *http.Client
}

// New returns a client; Close ends its connections.
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

// Body returns the body of the request.
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
	body, _ := json.Marshal(members) // strings and numbers encode
	return body
}

// Do sends one attempt to the node at an address and reads the response. node is the name that records give the node.
func (c *Client) Do(ctx context.Context, node, address string, r Request) Result {
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	httpRequest, err := c.httpRequest(attemptCtx, address, &r)
	if err != nil {
		return Result{Err: err}
	}
	log := attemptLog{log: c.Log, request: &r, node: node}
	patience := startPatience(r.Patience, cancel)
	log.requestSent()
	result := c.exchange(httpRequest, &r, func() {
		patience.stop()
		log.add(record.FirstToken)
	})
	patience.stop()
	if result.Outcome == record.Cut && patience.expired {
		result.Outcome = record.TimedOut
	}
	runEnded := ctx.Err() != nil && result.Outcome == record.Cut && !patience.expired
	if runEnded || r.DisconnectAfter > 0 && errors.Is(result.Err, errDisconnected) {
		log.add(record.ClientDisconnected)
		return result
	}
	log.finalResponse(&result)
	return result
}

// httpRequest returns the request as it is sent.
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

// patience cancels a request that has had no token when the patience of its client and a grace have passed.
type patience struct {
	once    sync.Once // decides between the timer and stop
	timer   *time.Timer
	expired bool // may be read after stop
}

// startPatience starts the timer; a limit of 0 sets none.
func startPatience(limit time.Duration, cancel func()) *patience {
	p := &patience{}
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

// stop ends the limit: a token or the end of the response has come. It may be called again.
func (p *patience) stop() {
	p.once.Do(func() {})
	if p.timer != nil {
		p.timer.Stop()
	}
}

// attemptLog records one attempt of a client.
type attemptLog struct {
	log     *record.Log
	request *Request
	node    string
}

func (l attemptLog) record(kind record.Kind) record.Record {
	mark := l.request.Mark
	return record.Record{Kind: kind, Op: mark.Operation, Try: mark.Attempt, Class: mark.Class, Node: l.node, Tenant: l.request.Tenant}
}

func (l attemptLog) add(kind record.Kind) { l.log.Add(l.record(kind)) }

func (l attemptLog) requestSent() {
	r := l.record(record.RequestSent)
	r.Tokens = l.request.Patience.Seconds()
	l.log.Add(r)
}

func (l attemptLog) finalResponse(result *Result) {
	r := l.record(record.FinalResponse)
	r.Outcome = result.Outcome
	r.OK = result.OK
	r.State = strconv.FormatBool(result.Retry)
	r.Tokens = float64(result.Events)
	r.Note = fmt.Sprintf("%d %s", result.Status, result.Code)
	if result.Err != nil {
		r.Note += " " + result.Err.Error()
	}
	l.log.Add(r)
}
