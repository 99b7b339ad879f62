//go:build review

package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// entry is one engine in a list of discovery.
type entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// list is an answer of discovery.
type list struct {
	Version int     `json:"version"`
	Full    bool    `json:"full"`
	Servers []entry `json:"servers"`
}

// discovery is the platform's discovery.
type discovery struct {
	world   *world
	address string
	server  *http.Server

	mu      sync.Mutex
	version int
	entries map[string]entry
	changed map[string]int // version of the latest change, by engine
	wake    chan struct{}  // closed at the next change
	pause   time.Duration  // between the head and the body of an answer
}

// startDiscovery starts a discovery that lists the given engines as up since long ago.
func (w *world) startDiscovery(engines ...*engine) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{world: w, address: l.Addr().String(), version: 1, entries: map[string]entry{}, changed: map[string]int{},
		wake: make(chan struct{})}
	for _, e := range engines {
		d.entries[e.id] = entry{ID: e.id, Addr: e.address, Zone: "wellington-dc", Kind: e.kind, Cell: 0, State: "up", Weight: 1}
		d.changed[e.id] = 1
	}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

// change changes the entry of an engine. From this moment on discovery has the change and tells it.
func (d *discovery) change(id string, change func(*entry)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.entries[id]
	change(&e)
	d.version++
	d.entries[id], d.changed[id] = e, d.version
	close(d.wake)
	d.wake = make(chan struct{})
	d.world.note("discovery has version %d: %s is %s, %s", d.version, id, e.State, e.Kind)
}

func (d *discovery) setPause(pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pause = pause
	d.world.note("discovery: from now on the body of an answer comes %v after its head", pause)
}

// since returns the entries that changed after a version; all of them if from is negative.
func (d *discovery) since(from int) (l list, wake chan struct{}, pause time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l = list{Version: d.version, Full: from < 0, Servers: []entry{}}
	for id, e := range d.entries {
		if d.changed[id] > from {
			l.Servers = append(l.Servers, e)
		}
	}
	sort.Slice(l.Servers, func(i, j int) bool { return l.Servers[i].ID < l.Servers[j].ID })
	return l, d.wake, d.pause
}

// ServeHTTP answers a call for the list, or for its changes.
func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	from := -1
	if v, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil {
		from = v
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	timeout := time.After(time.Duration(hold) * time.Millisecond)
	answer, wake, pause := d.since(from)
	for waiting := from >= 0 && answer.Version <= from; waiting; {
		select {
		case <-wake:
			answer, wake, pause = d.since(from)
			waiting = answer.Version <= from
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	text, _ := json.Marshal(answer)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	if pause > 0 {
		http.NewResponseController(rw).Flush()
		time.Sleep(pause)
	}
	_, err := rw.Write(text)
	d.world.note("discovery answered %s with version %d and %d entries (error: %v, given up by the node: %v)", r.URL.RequestURI(),
		answer.Version, len(answer.Servers), err, r.Context().Err() != nil)
}
