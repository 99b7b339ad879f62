package platform

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/record"
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"` // up, draining or removed
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"` // Unix milliseconds
}

// Discovery is the discovery agent of one node.
type Discovery struct {
	platform *Platform

	mu        sync.Mutex // guards the fields below
	version   int
	endpoints map[string]Endpoint
	changed   map[string]int // version at which an entry changed last
	update    chan struct{}  // closed and replaced at each change
	body      string         // body of responses instead of a list; "": lists are sent
	silent    bool           // the agent sends no responses
	server    *http.Server
	listener  net.Listener
}

// endpointList is a response of discovery. Its fields are in the order in which they are sent.
type endpointList struct {
	Full      bool       `json:"full"` // the list has all endpoints, not only those that changed
	Endpoints []Endpoint `json:"servers"`
	Version   int        `json:"version"`
}

// text returns the list as discovery sends it.
func (l endpointList) text() []byte {
	text, _ := json.Marshal(l) // strings and numbers always encode
	return text
}

// wholeList is passed instead of a version to request all endpoints.
const wholeList = -1

// StartDiscovery starts an agent that lists the given engines as up.
func (p *Platform) StartDiscovery(engines ...*Engine) *Discovery {
	d := &Discovery{
		platform:  p,
		endpoints: map[string]Endpoint{},
		changed:   map[string]int{},
		update:    make(chan struct{}),
	}
	for _, e := range engines {
		d.endpoints[e.ID] = Endpoint{ID: e.ID, Address: e.Address(), Zone: "z", Kind: e.Role(), State: "up", Weight: 1}
	}
	d.Listen()
	return d
}

// Listen starts a server at a new address. Earlier servers keep running.
func (d *Discovery) Listen() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // no loopback port is available: no test can run
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	d.mu.Lock()
	d.listener = listener
	d.server = server
	d.mu.Unlock()
	d.platform.goroutines.Add(1)
	go func() {
		defer d.platform.goroutines.Done()
		server.Serve(listener)
	}()
}

// Address returns the address of the newest server.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// HTTPServer returns the newest server.
func (d *Discovery) HTTPServer() *http.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// Close closes the newest server and all its connections.
func (d *Discovery) Close() { d.HTTPServer().Close() }

// Update changes an entry, or adds it if there is none with this ID. The change function runs under the agent's lock.
func (d *Discovery) Update(id string, change func(*Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	endpoint := d.endpoints[id]
	endpoint.ID = id
	change(&endpoint)
	d.version++
	d.endpoints[id] = endpoint
	d.changed[id] = d.version
	d.wakeWatches()
}

// SetState sets the state of an entry.
func (d *Discovery) SetState(id, state string) { d.Update(id, func(e *Endpoint) { e.State = state }) }

// SetFault sets the faults of the agent. It sends body instead of lists ("": it sends lists), or no responses at all if silent is true.
func (d *Discovery) SetFault(body string, silent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.body = body
	d.silent = silent
	d.wakeWatches()
}

// wakeWatches makes waiting watches check the agent's state again. The caller holds the lock.
func (d *Discovery) wakeWatches() {
	close(d.update)
	d.update = make(chan struct{})
}

// Snapshot returns the whole list as discovery sends it.
func (d *Discovery) Snapshot() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.list(wholeList).text()
}

// list returns the entries that changed after a version, or the whole list for a negative version. The caller holds the lock.
func (d *Discovery) list(after int) endpointList {
	list := endpointList{Full: after < 0, Endpoints: []Endpoint{}, Version: d.version}
	for id, endpoint := range d.endpoints {
		listed := d.changed[id] > after
		if list.Full {
			listed = endpoint.State != "removed"
		}
		if listed {
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// discoveryResponse holds the data of the response to a call. All fields are read under one lock, so that they are consistent.
type discoveryResponse struct {
	list   endpointList
	body   string
	silent bool
}

// awaitUpdate blocks until the list has changed after the given version, a fault is set, or maxWait has passed. It returns false if the
// call is canceled before that.
func (d *Discovery) awaitUpdate(ctx context.Context, after int, maxWait time.Duration) (discoveryResponse, bool) {
	timeout := time.After(maxWait)
	timedOut := false
	for {
		d.mu.Lock()
		if timedOut || after < d.version || d.body != "" || d.silent {
			defer d.mu.Unlock()
			return discoveryResponse{list: d.list(after), body: d.body, silent: d.silent}, true
		}
		update := d.update
		d.mu.Unlock()
		select {
		case <-update:
		case <-timeout:
			timedOut = true
		case <-ctx.Done():
			return discoveryResponse{}, false
		}
	}
}

// serve responds to a call, and records the states of the endpoints that it sent to the node.
func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	after := wholeList
	if from := r.URL.Query().Get("from"); from != "" {
		after, _ = strconv.Atoi(from)
	}
	maxWaitMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	response, ok := d.awaitUpdate(r.Context(), after, time.Duration(maxWaitMS)*time.Millisecond)
	switch {
	case !ok:
		return
	case response.silent:
		<-r.Context().Done()
		return
	case response.body != "":
		w.Write([]byte(response.body))
		return
	}
	w.Write(response.list.text())
	for _, endpoint := range response.list.Endpoints {
		state := RecordedState(endpoint.State)
		d.platform.Log.Add(record.Record{Kind: record.ListDelivered, Node: d.platform.Node, Engine: endpoint.ID, State: state})
	}
}

// RecordedState returns the name that records use for a state of discovery; "" for an unknown state.
func RecordedState(state string) string {
	switch state {
	case "up":
		return "ready"
	case "draining":
		return "draining"
	case "removed":
		return "gone"
	}
	return ""
}
