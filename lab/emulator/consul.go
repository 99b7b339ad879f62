package emulator

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one engine as the Consul server lists it.
type Instance struct {
	ID       string
	Address  string // host:port
	Meta     map[string]string
	Critical bool // its health check fails
}

// ConsulFaults are the faults of a Consul server. The zero value is a healthy server.
type ConsulFaults struct {
	Hang           bool // calls are accepted and never answered
	Truncate       bool // bodies are shorter than their Content-Length
	Errors         bool // status 500
	NoIndex        bool // responses have no X-Consul-Index
	VersionsBehind int  // responses are this many versions old
	Empty          bool // the list is empty
	Malformed      bool // the list lacks fields that Consul always sends
}

// ConsulServer emulates Consul's health endpoint with blocking queries on a loopback socket.
type ConsulServer struct {
	server  *http.Server
	address string
	cancel  context.CancelFunc

	mu       sync.Mutex // guards the fields below
	index    uint64
	versions [][]Instance  // the latest versions of the list, newest last
	changed  chan struct{} // closed at each change
	faults   ConsulFaults
}

const (
	// versionsLimit is how many versions of the list a server keeps for VersionsBehind.
	versionsLimit = 20
	// defaultWait is how long a blocking query without the parameter wait may block (Consul's documentation, blocking queries).
	defaultWait = 5 * time.Minute
)

// NewConsulServer returns a stopped server whose first index is the given one, or 1 if that is 0.
func NewConsulServer(index uint64) *ConsulServer {
	return &ConsulServer{index: max(1, index), versions: [][]Instance{nil}, changed: make(chan struct{})}
}

// Start starts the server. Each start after the first listens at the same address.
func (s *ConsulServer) Start() error {
	address := s.address
	if address == "" {
		address = defaultListen
	}
	listener, err := listenWithRetry(address)
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", s.handleHealth)
	s.server = &http.Server{
		Handler:     mux,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    log.New(io.Discard, "", 0),
	}
	go s.server.Serve(listener)
	return nil
}

// Stop stops the server and closes its connections. Start may start it again.
func (s *ConsulServer) Stop() {
	s.cancel()
	s.server.Close()
}

// Address returns the address at which the server listens; it is empty before the first start.
func (s *ConsulServer) Address() string { return s.address }

// SetInstances replaces the list and answers the blocking queries.
func (s *ConsulServer) SetInstances(list []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.versions = append(s.versions, list)
	s.versions = s.versions[max(0, len(s.versions)-versionsLimit):]
	s.wakeQueries()
}

// ResetIndex sets the index back, as a restore from a backup does, and answers the blocking queries.
func (s *ConsulServer) ResetIndex(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = index
	s.wakeQueries()
}

// SetFaults replaces the server's faults and answers the blocking queries.
func (s *ConsulServer) SetFaults(f ConsulFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeQueries()
}

// wakeQueries makes all blocking queries check the server's state again. The caller holds the lock.
func (s *ConsulServer) wakeQueries() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handleHealth serves a blocking query. Under a fault it responds immediately, or never if the fault is Hang.
func (s *ConsulServer) handleHealth(w http.ResponseWriter, r *http.Request) {
	knownIndex, _ := strconv.ParseUint(r.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		wait = defaultWait
	}
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		index, changed, faults := s.index, s.changed, s.faults
		list := s.versions[max(0, len(s.versions)-1-faults.VersionsBehind)]
		s.mu.Unlock()
		if faults.Hang {
			<-r.Context().Done()
			return
		}
		if knownIndex == 0 || index != knownIndex || faults != (ConsulFaults{}) {
			respondList(w, index-uint64(min(faults.VersionsBehind, int(index)-1)), list, faults)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			respondList(w, index, list, faults)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// respondList responds with a list, altered by the faults.
func respondList(w http.ResponseWriter, index uint64, list []Instance, faults ConsulFaults) {
	if faults.Errors {
		http.Error(w, "no cluster leader", http.StatusInternalServerError)
		return
	}
	if !faults.NoIndex {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	entries := []any{}
	if !faults.Empty {
		for _, instance := range list {
			entries = append(entries, instance.entry())
		}
	}
	text, _ := json.Marshal(entries) // strings and numbers always encode
	switch {
	case faults.Malformed:
		text = []byte(`[{"Service":{"ID":"x"}}]`)
	case faults.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(text)+10))
	}
	w.Write(text)
}

// entry returns the instance in the format of Consul's health endpoint.
func (i Instance) entry() map[string]any {
	host, portText, _ := net.SplitHostPort(i.Address)
	port, _ := strconv.Atoi(portText)
	status := "passing"
	if i.Critical {
		status = "critical"
	}
	return map[string]any{
		"Node": map[string]any{"Node": "n-" + i.ID, "Address": host, "Datacenter": "lab"},
		"Service": map[string]any{
			"ID":      i.ID,
			"Address": host,
			"Port":    port,
			"Meta":    i.Meta,
			"Weights": map[string]int{"Passing": 1, "Warning": 1},
		},
		"Checks": []any{map[string]string{"Status": status}},
	}
}
