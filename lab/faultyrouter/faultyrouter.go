// Package faultyrouter holds a small router that breaks one rule on purpose, as its defect says. The tests of the rule checker
// (lab/rules) use it: a checker that does not catch each defect checks nothing. The router without a defect breaks no rule.
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

// Defect is the way in which a router breaks a rule.
type Defect string

// Defects, each with the rule that it breaks; 0 is the correctness of the text.
const (
	// None is no defect.
	None Defect = ""
	// NeverAnswers (rule 1): no response comes.
	NeverAnswers Defect = "mute"
	// AnswersLate (rule 1): the response comes after the client's patience.
	AnswersLate Defect = "late"
	// AnswersTwice (rule 1): the stream goes on after the final response.
	AnswersTwice Defect = "twice"
	// SendsAfterAnswer (rule 1): an engine is sent a request after the final response.
	SendsAfterAnswer Defect = "after"
	// DropsConnection (rule 1): the connection is closed without a response.
	DropsConnection Defect = "drop"
	// SkipsEvent (0): an event of the stream is left out.
	SkipsEvent Defect = "skip"
	// RepeatsOnce (rule 2): a request of effect once, which may have run, is retried.
	RepeatsOnce Defect = "repeat"
	// CallsRetryHarmless (rule 2): the client is told that a retry is harmless after the request may have run.
	CallsRetryHarmless Defect = "refuse_ran"
	// SendsToDraining (rule 3): a draining engine is still sent requests.
	SendsToDraining Defect = "drain"
	// FloodsColdEngine (rule 4): all requests go to the engine that has just started.
	FloodsColdEngine Defect = "flood"
	// DelaysDecode (rule 5): a reserved state waits before its decode attempt is sent.
	DelaysDecode Defect = "pin"
	// LeavesState (rule 5): the state is not released when the router gives up.
	LeavesState Defect = "keep_failed"
)

// How long a defect makes the router wait.
const (
	neverAnswersWait = 2 * time.Second        // beyond the client's patience
	answersLateWait  = 200 * time.Millisecond // beyond the client's patience
	delaysDecodeWait = 2500 * time.Millisecond
	afterAnswerWait  = 700 * time.Millisecond
)

// Engine is an engine as the router knows it.
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
	inFlight sync.WaitGroup // requests, and what the router sends after them
	stopped  chan struct{}

	mu   sync.Mutex
	next int // for the choice among engines, in turn
}

// Start starts a router on a free loopback port. It calls engines for each choice of an engine.
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

// Stop closes all connections and waits for the router's goroutines.
func (r *Router) Stop() {
	close(r.stopped)
	r.server.Close()
	r.inFlight.Wait()
	r.client.CloseIdleConnections()
}

// pick returns an engine of a role, in turn, or nil. Two defects prefer the wrong one.
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

// wait waits for a time, or until the router stops.
func (r *Router) wait(d time.Duration) {
	select {
	case <-r.stopped:
	case <-time.After(d):
	}
}

// members are the members of a request's JSON object.
type members map[string]json.RawMessage

// with returns the text of the request with some members changed.
func (m members) with(changes map[string]string) []byte {
	changed := members{}
	for name, value := range m {
		changed[name] = value
	}
	for name, value := range changes {
		changed[name] = json.RawMessage(value)
	}
	text, _ := json.Marshal(changed) // raw members were read from valid JSON
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
			_, _ = r.prefill(prefillEngine, m, id+"x") // the engine records the request, whatever comes of it
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
