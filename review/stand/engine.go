//go:build review

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kinds of engines, as the settings name them.
const (
	reader = "prefill"
	writer = "decode"
	mixed  = "mixed"
)

// Times of an engine.
const (
	readTime  = 40 * time.Millisecond // of one prompt
	eventTime = 30 * time.Millisecond // between two events
)

// loadReport is the load report of an engine with little work.
const loadReport = "util=0.1,queue=0,x0=0.05"

// engine is an engine of the platform.
type engine struct {
	world   *world
	id      string
	address string
	server  *http.Server

	mu       sync.Mutex
	kind     string
	draining bool
	bareEnd  bool // the load report at a stream's end is a comment line with no empty line behind it
	arrivals []arrival
}

// arrival is a request that an engine received.
type arrival struct {
	at float64 // s since the start of the run
	id string
}

// startEngine starts an engine at a loopback address.
func (w *world) startEngine(id, kind string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{world: w, id: id, address: l.Addr().String(), kind: kind}
	w.mu.Lock()
	w.engines[id] = e
	w.mu.Unlock()
	e.serve(l)
	w.note("engine %s (%s) runs at %s", id, kind, e.address)
	return e, nil
}

func (e *engine) serve(l net.Listener) {
	e.server = &http.Server{Handler: e}
	go e.server.Serve(l)
}

// restartAs ends the engine's process, as it appears on its sockets, and starts it again at once at the same address with another kind.
func (e *engine) restartAs(kind string) error {
	e.server.Close()
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.kind = kind
	e.mu.Unlock()
	e.serve(l)
	e.world.note("engine %s was restarted as %s", e.id, kind)
	return nil
}

func (e *engine) setDraining() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// received returns the requests that the engine has received.
func (e *engine) received() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// ServeHTTP answers a request of the node (PROTOCOL, nodes to engines).
func (e *engine) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	at := e.world.now()
	if id, ok := strings.CutPrefix(r.URL.Path, "/v1/holds/"); ok && r.Method == http.MethodDelete {
		e.world.release(id, "by a call to "+e.id)
		rw.WriteHeader(http.StatusNoContent)
		return
	}
	id := r.Header.Get("X-Call-Id")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.world.mu.Lock()
	known := e.world.sent[id]
	e.world.mu.Unlock()
	if !known {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.arrivals = append(e.arrivals, arrival{at, id})
	kind, draining := e.kind, e.draining
	e.mu.Unlock()
	e.world.note("engine %s (%s) received %s", e.id, kind, id)
	rw.Header().Set("X-Load-Report", loadReport)
	switch {
	case draining:
		e.world.note("engine %s drains and turns %s away", e.id, id)
		rw.Header().Set("X-Rejected", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
	case kind == reader:
		e.read(rw, r, id)
	default:
		e.answer(rw, r, id)
	}
}

// sleep waits, and returns false if the node gives the attempt up meanwhile.
func sleep(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// read reads a prompt and holds its state.
func (e *engine) read(rw http.ResponseWriter, r *http.Request, id string) {
	if !sleep(r, readTime) {
		return
	}
	e.world.hold(id, e.id)
	rw.WriteHeader(http.StatusAccepted)
	io.WriteString(rw, `{"cached_tokens":0}`)
}

// answer fetches the state of a request, or reads its prompt if there is none, runs the request and streams its answer.
func (e *engine) answer(rw http.ResponseWriter, r *http.Request, id string) {
	if !e.world.release(id, "fetched by "+e.id) && !sleep(r, readTime) {
		return
	}
	e.world.run(id, e.id)
	rw.Header().Del("X-Load-Report")
	rw.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(rw)
	for i := range 5 {
		fmt.Fprintf(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s-%d \"},\"finish_reason\":null}]}\n\n", id, i)
		controller.Flush()
		if !sleep(r, eventTime) {
			return
		}
	}
	io.WriteString(rw, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\".\"},\"finish_reason\":\"stop\"}]}\n\n")
	io.WriteString(rw, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":400,\"completion_tokens\":20,"+
		"\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n")
	io.WriteString(rw, "data: [DONE]\n\n: X-Load-Report: "+loadReport+"\n")
	e.mu.Lock()
	bare := e.bareEnd
	e.mu.Unlock()
	if !bare {
		io.WriteString(rw, "\n")
	}
	e.world.note("engine %s has written the whole stream of %s", e.id, id)
}

// hold records that an engine holds the state of a request.
func (w *world) hold(id, engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holders[id] = engine
	w.noteLocked("engine %s holds the state of %s", engine, id)
}

// release drops the state of a request, and reports whether there was one.
func (w *world) release(id, how string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	holder, held := w.holders[id]
	if held {
		delete(w.holders, id)
		w.noteLocked("state of %s at %s: %s", id, holder, how)
	}
	return held
}

// run records that an engine ran a request, with its effect.
func (w *world) run(id, engine string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[id] = append(w.ran[id], engine)
	w.noteLocked("engine %s RAN %s", engine, id)
}
