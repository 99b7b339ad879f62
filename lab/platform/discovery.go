package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/record"
)

// Endpoint is one entry of the list.
type Endpoint struct {
	ID      string  `json:"id"`
	Address string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int     `json:"cell"`
	State   string  `json:"state"`
	Weight  float64 `json:"weight"`
	Started int64   `json:"started_ms"`
}

// Discovery is the agent of one node.
type Discovery struct {
	platform *Platform

	mu       sync.Mutex
	version  int
	servers  map[string]Endpoint
	changed  map[string]int // version at which an entry changed last
	news     chan struct{}  // closed at a change
	bad      string         // what it answers in place of lists
	silent   bool
	server   *http.Server
	listener net.Listener
}

// StartDiscovery starts an agent that lists the engines given.
func (p *Platform) StartDiscovery(engines ...*Engine) *Discovery {
	d := &Discovery{platform: p, servers: map[string]Endpoint{}, changed: map[string]int{}, news: make(chan struct{})}
	for _, e := range engines {
		d.servers[e.ID] = Endpoint{ID: e.ID, Address: e.Address(), Zone: "z", Kind: e.Role, State: "up", Weight: 1}
	}
	d.Listen()
	return d
}

// Listen listens at a new address; what listened before goes on.
func (d *Discovery) Listen() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err) // loopback without ports: no test can run
	}
	d.mu.Lock()
	d.listener, d.server = l, &http.Server{Handler: http.HandlerFunc(d.serve)}
	s := d.server
	d.mu.Unlock()
	d.platform.wg.Add(1)
	go func() { defer d.platform.wg.Done(); s.Serve(l) }()
}

// Address is the newest address; Close ends a server of it with all its connections.
func (d *Discovery) Address() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listener.Addr().String()
}

// HTTPServer returns what listens at the newest address.
func (d *Discovery) HTTPServer() *http.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.server
}

// Close ends the newest server.
func (d *Discovery) Close() { d.HTTPServer().Close() }

// Update changes an entry, or adds it.
func (d *Discovery) Update(id string, change func(*Endpoint)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	s.ID = id
	change(&s)
	d.version++
	d.servers[id], d.changed[id] = s, d.version
	close(d.news)
	d.news = make(chan struct{})
}

// SetState sets an entry's state.
func (d *Discovery) SetState(id, state string) { d.Update(id, func(s *Endpoint) { s.State = state }) }

// SetFault sets what is answered in place of lists; "" = lists. Silent says nothing at all.
func (d *Discovery) SetFault(text string, silent bool) {
	d.mu.Lock()
	d.bad, d.silent = text, silent
	close(d.news)
	d.news = make(chan struct{})
	d.mu.Unlock()
}

// Snapshot is the whole list in discovery's form.
func (d *Discovery) Snapshot() []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, _ := json.Marshal(d.answer(-1)) // strings and numbers always encode
	return b
}

// answer is what changed after a version, or the whole list.
func (d *Discovery) answer(from int) map[string]any {
	xs := []Endpoint{}
	for id, s := range d.servers {
		if from < 0 && s.State != "removed" || from >= 0 && d.changed[id] > from {
			xs = append(xs, s)
		}
	}
	return map[string]any{"version": d.version, "full": from < 0, "servers": xs}
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	from := -1
	if f := r.URL.Query().Get("from"); f != "" {
		from, _ = strconv.Atoi(f)
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	end := time.After(time.Duration(hold) * time.Millisecond)
	d.mu.Lock()
	for from >= d.version && d.bad == "" && !d.silent {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
			d.mu.Lock()
			continue
		case <-end:
		case <-r.Context().Done():
			return
		}
		d.mu.Lock()
		break
	}
	bad, silent, a := d.bad, d.silent, d.answer(from)
	d.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
		return
	case bad != "":
		w.Write([]byte(bad))
		return
	}
	text, _ := json.Marshal(a) // strings and numbers always encode
	w.Write(text)
	for _, s := range a["servers"].([]Endpoint) {
		state := map[string]string{"up": "ready", "draining": "draining", "removed": "gone"}[s.State]
		d.platform.Log.Add(record.Record{Kind: record.Told, Node: d.platform.Node, Engine: s.ID, State: state})
	}
}
