// Package faultyrouter provides a small router with a deliberate defect that breaks one rule. The tests of the rule checker (lab/rules)
// use it to show that the checker detects a violation of each rule. The router without a defect breaks no rule.
package faultyrouter

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Defect is a deliberate fault by which a router breaks a rule.
type Defect string

// Defects, each with the rule that it breaks. Rule 0 is the correctness of the response text.
const (
	// None is no defect.
	None Defect = ""
	// NeverAnswers (rule 1): the router sends no response.
	NeverAnswers Defect = "mute"
	// AnswersLate (rule 1): the router sends the response after the client's patience has passed.
	AnswersLate Defect = "late"
	// AnswersTwice (rule 1): the stream continues after the final response.
	AnswersTwice Defect = "twice"
	// SendsAfterAnswer (rule 1): the router sends a request to an engine after the final response.
	SendsAfterAnswer Defect = "after"
	// DropsConnection (rule 1): the router closes the connection without a response.
	DropsConnection Defect = "drop"
	// SkipsEvent (rule 0): the router omits an event of the stream.
	SkipsEvent Defect = "skip"
	// RepeatsOnce (rule 2): the router retries a request of effect "once" that may have run.
	RepeatsOnce Defect = "repeat"
	// CallsRetryHarmless (rule 2): the response declares a retry harmless although the request may have run.
	CallsRetryHarmless Defect = "refuse_ran"
	// SendsToDraining (rule 3): the router still sends requests to a draining engine.
	SendsToDraining Defect = "drain"
	// FloodsColdEngine (rule 4): the router sends all requests to an engine in slow start.
	FloodsColdEngine Defect = "flood"
	// DelaysDecode (rule 5): the router delays the decode attempt while the state is reserved.
	DelaysDecode Defect = "pin"
	// LeavesState (rule 5): the router does not release the state of a request that failed.
	LeavesState Defect = "keep_failed"
)

// Delays that the defects of the same names add.
const (
	neverAnswersWait = 2 * time.Second         // added to the client's patience
	answersLateWait  = 200 * time.Millisecond  // added to the client's patience
	delaysDecodeWait = 2500 * time.Millisecond // between the prefill and the decode attempt
	afterAnswerWait  = 700 * time.Millisecond  // between the final response and the next request to an engine
)

// Engine is an entry of the router's engine list. WarmingUp marks an engine in slow start.
type Engine struct {
	ID, Address, Role   string
	Draining, WarmingUp bool
}

// Router is a router with a defect. It is safe for concurrent use.
type Router struct {
	defect   Defect
	name     string
	server   *http.Server
	addr     net.Addr
	client   *http.Client
	engines  func() []Engine
	inFlight sync.WaitGroup // requests, and what the router sends after their responses
	stopped  chan struct{}

	mu   sync.Mutex
	next int // round-robin position among the engines
}

// Start starts a router on a free loopback port. The router calls engines each time it picks an engine. The caller ends it with Stop.
func Start(defect Defect, name string, engines func() []Engine) (*Router, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Router{
		defect:  defect,
		name:    name,
		addr:    listener.Addr(),
		engines: engines,
		stopped: make(chan struct{}),
		client:  &http.Client{Transport: &http.Transport{}},
	}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go r.server.Serve(listener) // Stop ends it
	return r, nil
}

// Addr returns the address on which the router listens.
func (r *Router) Addr() net.Addr { return r.addr }

// Stop closes all connections and waits for the handlers and the requests that they started.
func (r *Router) Stop() {
	close(r.stopped)
	r.server.Close()
	r.inFlight.Wait()
	r.client.CloseIdleConnections()
}

// pick returns an engine of a role by round robin, or nil if there is none. FloodsColdEngine prefers an engine in slow start, and
// SendsToDraining a draining one.
func (r *Router) pick(role string) *Engine {
	var candidates []Engine
	for _, e := range r.engines() {
		if e.Role != role && e.Role != "mixed" {
			continue
		}
		if r.defect == FloodsColdEngine && e.WarmingUp || r.defect == SendsToDraining && e.Draining {
			return &e
		}
		if !e.Draining {
			candidates = append(candidates, e)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.next++
	return &candidates[r.next%len(candidates)]
}

// wait waits for the duration d, or until the router stops.
func (r *Router) wait(d time.Duration) {
	select {
	case <-r.stopped:
	case <-time.After(d):
	}
}

// members holds the members of a request's JSON object by name.
type members map[string]json.RawMessage

// with returns the JSON text of the object with some members replaced or added.
func (m members) with(changes map[string]string) []byte {
	changed := members{}
	for name, value := range m {
		changed[name] = value
	}
	for name, value := range changes {
		changed[name] = json.RawMessage(value)
	}
	text, _ := json.Marshal(changed) // raw members come from valid JSON
	return text
}

func (r *Router) serve(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	body, _ := io.ReadAll(request.Body)
	var m members
	if json.Unmarshal(body, &m) != nil {
		reject(w, http.StatusBadRequest, false)
		return
	}
	patience, _ := time.ParseDuration(request.Header.Get("X-Request-Timeout-Ms") + "ms")
	switch r.defect {
	case NeverAnswers:
		r.wait(patience + neverAnswersWait)
		panic(http.ErrAbortHandler)
	case AnswersLate:
		r.wait(patience + answersLateWait)
		reject(w, http.StatusServiceUnavailable, true)
		return
	case DropsConnection:
		panic(http.ErrAbortHandler)
	}
	id := strings.ReplaceAll(request.RemoteAddr, ":", "-") + time.Now().Format("-150405.000000000")
	r.forward(w, m, id)
}

// forward sends the request to a prefill engine and then to a decode engine.
func (r *Router) forward(w http.ResponseWriter, m members, id string) {
	prefillEngine := r.pick("prefill")
	if prefillEngine == nil {
		reject(w, http.StatusServiceUnavailable, true)
		return
	}
	state, err := r.prefill(prefillEngine, m, id)
	if err != nil {
		reject(w, http.StatusServiceUnavailable, true)
		return
	}
	if r.defect == DelaysDecode {
		r.wait(delaysDecodeWait)
	}
	r.decode(w, m, state, id, prefillEngine)
	if r.defect == SendsAfterAnswer {
		w.(http.Flusher).Flush()
		r.inFlight.Add(1)
		go func() {
			defer r.inFlight.Done()
			r.wait(afterAnswerWait)
			_, _ = r.prefill(prefillEngine, m, id+"x") // the engine records the request even if it fails
			r.release(prefillEngine, id+"x")
		}()
	}
}

// reject writes an error response.
func reject(w http.ResponseWriter, status int, retryHarmless bool) {
	shouldRetry := "false"
	if retryHarmless {
		shouldRetry = "true"
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Should-Retry", shouldRetry)
	w.WriteHeader(status)
	io.WriteString(w, `{"error":{"message":"no","type":"server_error","param":null,"code":"no"}}`)
}
