// Package faultyrouter holds small routers that each break one rule on purpose. They prove that the rule checker can
// fail: a checker that passes one of them is no checker. The one without a sin breaks none.
package faultyrouter

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Defect is what a wrong node does wrong.
type Defect string

// Sins, each with the rule that it breaks.
const (
	None               Defect = ""
	NeverAnswers       Defect = "mute"        // 1: never answers
	AnswersLate        Defect = "late"        // 1: answers after the client's patience
	AnswersTwice       Defect = "twice"       // 1: goes on after the final answer
	SendsAfterAnswer   Defect = "after"       // 1: sends to an engine after the final answer
	DropsConnection    Defect = "drop"        // 1: closes the connection without an answer
	SkipsEvent         Defect = "skip"        // 0: leaves an event out
	RepeatsOnce        Defect = "repeat"      // 2: tries a once request again that may have run
	CallsRetryHarmless Defect = "refuse_ran"  // 2: calls a retry harmless after it may have run
	SendsToDraining    Defect = "drain"       // 3: goes on sending to a draining engine
	FloodsColdEngine   Defect = "flood"       // 4: sends everything to the engine that has just started
	DelaysDecode       Defect = "pin"         // 5: lets a read state wait
	LeavesState        Defect = "keep_failed" // 5: leaves the state behind when it gives up
)

// Engine is an engine as a wrong node is told of it.
type Engine struct {
	ID, Address, Role   string
	Draining, WarmingUp bool
}

// Router is a wrong node.
type Router struct {
	defect   Defect
	name     string
	server   *http.Server
	addr     net.Addr
	client   *http.Client
	engines  func() []Engine
	inFlight sync.WaitGroup
	mu       sync.Mutex
	next     int
	stop     chan struct{}
}

// Start starts one on a free loopback port. engines is asked for each request.
func Start(sin Defect, name string, engines func() []Engine) (*Router, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Router{defect: sin, name: name, addr: l.Addr(), engines: engines, stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{}}}
	n.server = &http.Server{Handler: http.HandlerFunc(n.serve)}
	go n.server.Serve(l)
	return n, nil
}

// Addr is where it listens.
func (n *Router) Addr() net.Addr { return n.addr }

// Stop ends it.
func (n *Router) Stop() {
	close(n.stop)
	n.server.Close()
	n.inFlight.Wait()
	n.client.CloseIdleConnections()
}

// pick returns engines of a role, in turn.
func (n *Router) pick(role string) *Engine {
	var fit []Engine
	for _, e := range n.engines() {
		if e.Role != role && e.Role != "mixed" {
			continue
		}
		if n.defect == FloodsColdEngine && e.WarmingUp {
			return &e
		}
		if !e.Draining || n.defect == SendsToDraining {
			fit = append(fit, e)
		}
		if n.defect == SendsToDraining && e.Draining {
			return &e
		}
	}
	if len(fit) == 0 {
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.next++
	return &fit[n.next%len(fit)]
}

func (n *Router) wait(d time.Duration) {
	select {
	case <-n.stop:
	case <-time.After(d):
	}
}

func (n *Router) serve(w http.ResponseWriter, q *http.Request) {
	n.inFlight.Add(1)
	defer n.inFlight.Done()
	body, _ := io.ReadAll(q.Body)
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		refuse(w, 400, false)
		return
	}
	patience, _ := time.ParseDuration(q.Header.Get("X-Request-Timeout-Ms") + "ms")
	switch n.defect {
	case NeverAnswers:
		n.wait(patience + 2*time.Second)
		panic(http.ErrAbortHandler)
	case AnswersLate:
		n.wait(patience + 200*time.Millisecond)
		refuse(w, 503, true)
		return
	case DropsConnection:
		panic(http.ErrAbortHandler)
	}
	id := strings.ReplaceAll(q.RemoteAddr, ":", "-") + time.Now().Format("-150405.000000000")
	reader := n.pick("prefill")
	if reader == nil {
		refuse(w, 503, true)
		return
	}
	state, ok := n.prefill(reader, m, id)
	if !ok {
		refuse(w, 503, true)
		return
	}
	if n.defect == DelaysDecode {
		n.wait(2500 * time.Millisecond)
	}
	n.decode(w, m, state, id, reader)
	if n.defect == SendsAfterAnswer {
		w.(http.Flusher).Flush()
		n.inFlight.Add(1)
		go func() {
			defer n.inFlight.Done()
			n.wait(700 * time.Millisecond)
			n.prefill(reader, m, id+"x")
			n.release(reader, id+"x")
		}()
	}
}

// with returns the request with members changed.
func with(m map[string]json.RawMessage, set map[string]string) []byte {
	c := map[string]json.RawMessage{}
	for k, v := range m {
		c[k] = v
	}
	for k, v := range set {
		c[k] = json.RawMessage(v)
	}
	b, _ := json.Marshal(c) // raw members were read from valid JSON
	return b
}

func (n *Router) post(e *Engine, path string, body []byte, id string) (*http.Response, error) {
	q, err := http.NewRequest("POST", "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Content-Type", "application/json")
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("Via", "1.1 "+n.name)
	return n.client.Do(q)
}

func (n *Router) prefill(e *Engine, m map[string]json.RawMessage, id string) (string, bool) {
	resp, err := n.post(e, "/v1/chat/completions", with(m, map[string]string{"stream": "false", "max_tokens": "1",
		"kv_transfer_params": `{"do_remote_decode":true}`}), id)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	var reply struct {
		State json.RawMessage `json:"kv_transfer_params"`
	}
	if resp.StatusCode != 200 || json.NewDecoder(resp.Body).Decode(&reply) != nil {
		return "", false
	}
	return string(reply.State), true
}

func (n *Router) release(e *Engine, id string) {
	b, _ := json.Marshal(map[string]string{"request_id": id})
	if resp, err := n.post(e, "/v1/kv/release", b, id); err == nil {
		resp.Body.Close()
	}
}

// decode streams the answer; a decode engine that turns it away before a token leaves another one to be tried.
func (n *Router) decode(w http.ResponseWriter, m map[string]json.RawMessage, state, id string, reader *Engine) {
	for try := 0; try < 3; try++ {
		e := n.pick("decode")
		if e == nil {
			break
		}
		resp, err := n.post(e, "/v1/chat/completions", with(m, map[string]string{"stream": "true", "kv_transfer_params": state}), id)
		if err != nil {
			n.giveUp(reader, id)
			refuse(w, 500, n.defect == CallsRetryHarmless)
			return
		}
		if resp.StatusCode != 200 {
			resp.Body.Close()
			if resp.StatusCode == 503 {
				continue
			}
			if n.defect == RepeatsOnce {
				state = "null"
				continue
			}
			n.giveUp(reader, id)
			refuse(w, 500, n.defect == CallsRetryHarmless)
			return
		}
		began, done := n.copy(w, resp)
		resp.Body.Close()
		if done {
			return
		}
		if !began && n.defect == RepeatsOnce {
			state = "null" // the state has gone; the engine reads anew
			continue
		}
		if !began {
			n.giveUp(reader, id)
			refuse(w, 500, n.defect == CallsRetryHarmless)
			return
		}
		io.WriteString(w, "data: {\"error\":{\"message\":\"broken\",\"type\":\"server_error\",\"param\":null,\"code\":\"stream_broken\"}}\n\n")
		return
	}
	n.giveUp(reader, id)
	refuse(w, 503, true)
}

func (n *Router) giveUp(reader *Engine, id string) {
	if n.defect != LeavesState {
		n.release(reader, id)
	}
}

// copy passes events on and tells whether any came, and the last.
func (n *Router) copy(w http.ResponseWriter, resp *http.Response) (began, done bool) {
	b, events := make([]byte, 0, 4096), 0
	buf := make([]byte, 4096)
	for {
		k, err := resp.Body.Read(buf)
		b = append(b, buf[:k]...)
		for {
			i := bytes.Index(b, []byte("\n\n"))
			if i < 0 {
				break
			}
			event := string(b[:i+2])
			b = b[i+2:]
			if events++; events == 3 && n.defect == SkipsEvent {
				continue
			}
			if !began {
				w.Header().Set("Content-Type", "text/event-stream")
				began = true
			}
			io.WriteString(w, event)
			w.(http.Flusher).Flush()
			if strings.HasPrefix(event, "data: [DONE]") {
				if n.defect == AnswersTwice {
					io.WriteString(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"more\"}}]}\n\ndata: [DONE]\n\n")
				}
				return true, true
			}
		}
		if err != nil {
			return began, false
		}
	}
}

func refuse(w http.ResponseWriter, status int, retry bool) {
	w.Header().Set("Content-Type", "application/json")
	should := "false"
	if retry {
		should = "true"
	}
	w.Header().Set("X-Should-Retry", should)
	w.WriteHeader(status)
	io.WriteString(w, `{"error":{"message":"no","type":"server_error","param":null,"code":"no"}}`)
}
