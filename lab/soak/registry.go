package soak

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// When changes count as told at the latest (PROTOCOL and STANDING of the platform).
const (
	toldAfterSilence = 6 * time.Second // of a watch that fell silent
	toldAfterReload  = 4 * time.Second // of a new configuration
	oldAddressFor    = 1500 * time.Millisecond
)

// Registry is the list of engines that all agents tell.
type Registry struct {
	log *record.Log

	mu      sync.Mutex
	version int
	servers map[string]platform.Endpoint
	changed map[string]int // version at which an entry changed last
	agents  []*Agent
}

// NewRegistry returns an empty list.
func NewRegistry(log *record.Log) *Registry {
	return &Registry{log: log, servers: map[string]platform.Endpoint{}, changed: map[string]int{}}
}

// Set changes an entry, or adds it.
func (r *Registry) Set(id string, change func(*platform.Endpoint)) {
	r.mu.Lock()
	s := r.servers[id]
	s.ID = id
	change(&s)
	r.version++
	r.servers[id], r.changed[id] = s, r.version
	version, agents := r.version, slices.Clone(r.agents)
	r.mu.Unlock()
	for _, a := range agents {
		a.heard(s, version)
	}
}

// all returns the whole list, and the versions at which its entries changed last.
func (r *Registry) all() (servers map[string]platform.Endpoint, changed map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.servers), maps.Clone(r.changed)
}

// Agent is the discovery of one node, on its own machine.
type Agent struct {
	reg   *Registry
	node  string
	reach func(engine string) string // address at which the node reaches an engine

	mu      sync.Mutex
	version int // of the list as the agent has it
	servers map[string]platform.Endpoint
	changed map[string]int
	counted map[string]int // versions of entries that count as told to the node
	silent  int            // troubles that want it to say nothing
	open    map[int]bool   // calls that wait, by number
	deaf    map[int]bool   // those of them that will never be answered
	calls   int
	late    time.Time // until when a change may count as told later
	news    chan struct{}
	server  *http.Server
	addr    string
}

// Agent starts the agent of a node.
func (r *Registry) Agent(node string, reach func(string) string) (*Agent, error) {
	a := &Agent{reg: r, node: node, reach: reach, open: map[int]bool{}, deaf: map[int]bool{}, news: make(chan struct{}),
		servers: map[string]platform.Endpoint{}, changed: map[string]int{}, counted: map[string]int{}}
	a.learn()
	if err := a.listen(); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	return a, nil
}

func (a *Agent) listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(a.serve)}
	a.mu.Lock()
	a.server, a.addr = s, l.Addr().String()
	a.mu.Unlock()
	go s.Serve(l)
	return nil
}

// Addr is the newest address.
func (a *Agent) Addr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.addr
}

// Move listens at a new address; the old one closes its connections a little later. The node is told by its configuration.
func (a *Agent) Move() error {
	a.mu.Lock()
	old := a.server
	a.mu.Unlock()
	if err := a.listen(); err != nil {
		return err
	}
	a.allow(toldAfterReload)
	time.AfterFunc(oldAddressFor, func() { old.Close() })
	return nil
}

// allow lets changes count as told later by up to a time from now.
func (a *Agent) allow(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if by := time.Now().Add(d); by.After(a.late) {
		a.late = by
	}
}

// Silence has the agent say nothing and learn nothing, or ends that: what it gets at the return counts at once.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	if on {
		a.silent++
	} else {
		a.silent--
	}
	back := a.silent == 0
	a.mu.Unlock()
	if back {
		a.learn()
	}
}

// learn takes the whole list to the agent.
func (a *Agent) learn() {
	servers, changed := a.reg.all()
	for id, s := range servers {
		a.heard(s, changed[id])
	}
}

// Deafen has the calls that wait now wait without end.
func (a *Agent) Deafen() {
	a.mu.Lock()
	for n := range a.open {
		a.deaf[n] = true
	}
	a.mu.Unlock()
	a.allow(toldAfterSilence)
}

// ResetWatches breaks all calls that wait.
func (a *Agent) ResetWatches() error {
	a.mu.Lock()
	old := a.server
	addr := a.addr
	a.mu.Unlock()
	old.Close()
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: http.HandlerFunc(a.serve)}
	a.mu.Lock()
	a.server = s
	a.mu.Unlock()
	go s.Serve(l)
	return nil
}

// heard takes a change to the agent, and on to whoever waits.
func (a *Agent) heard(s platform.Endpoint, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.silent > 0 || version <= a.changed[s.ID] {
		return
	}
	a.servers[s.ID], a.changed[s.ID], a.version = s, version, max(a.version, version)
	close(a.news)
	a.news = make(chan struct{})
	if wait := time.Until(a.late); wait > 0 {
		time.AfterFunc(wait, func() { a.told(s, version) })
		return
	}
	a.record(s, version)
}

// told records that an entry counts as told to the node.
func (a *Agent) told(s platform.Endpoint, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.record(s, version)
}

// record is told under the lock. What is older than what counts already is not recorded.
func (a *Agent) record(s platform.Endpoint, version int) {
	if version <= a.counted[s.ID] {
		return
	}
	a.counted[s.ID] = version
	state := map[string]string{"up": "ready", "draining": "draining", "removed": "gone"}[s.State]
	a.reg.log.Add(record.Record{Kind: record.Told, Node: a.node, Engine: s.ID, State: state})
}

// List is the whole list as the agent has it, in discovery's form.
func (a *Agent) List() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	b, _ := json.Marshal(a.answer(-1)) // strings and numbers always encode
	return b
}

type listing struct {
	Version int                 `json:"version"`
	Full    bool                `json:"full"`
	Servers []platform.Endpoint `json:"servers"`
}

// answer is what changed after a version, or the whole list where that is below 0. The lock is held.
func (a *Agent) answer(from int) listing {
	x := listing{Version: a.version, Full: from < 0, Servers: []platform.Endpoint{}}
	for id, s := range a.servers {
		if from < 0 && s.State != "removed" || from >= 0 && a.changed[id] > from {
			s.Address = a.reach(id)
			x.Servers = append(x.Servers, s)
		}
	}
	return x
}

func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	from := -1
	if f := r.URL.Query().Get("from"); f != "" {
		from, _ = strconv.Atoi(f)
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	a.mu.Lock()
	a.calls++
	n := a.calls
	a.open[n] = true
	defer func() {
		a.mu.Lock()
		delete(a.open, n)
		delete(a.deaf, n)
		a.mu.Unlock()
	}()
	over := false
	for {
		news, version, wait := a.news, a.version, a.silent > 0 || a.deaf[n]
		a.mu.Unlock()
		if !wait && (over || from != version) {
			break
		}
		select {
		case <-news:
		case <-end:
			over = true
			end = nil
		case <-time.After(20 * time.Millisecond): // the end of a silence
		case <-r.Context().Done():
			return
		}
		a.mu.Lock()
	}
	a.mu.Lock()
	x := a.answer(from)
	versions := maps.Clone(a.changed)
	a.mu.Unlock()
	text, _ := json.Marshal(x) // strings and numbers always encode
	if _, err := w.Write(text); err != nil {
		return
	}
	for _, s := range x.Servers {
		a.told(s, versions[s.ID])
	}
}
