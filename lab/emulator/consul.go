package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Instance is one engine as the list server knows it.
type Instance struct {
	ID, Address string // host:port
	Meta        map[string]string
	Critical    bool
}

// ConsulFaults are what is wrong with a list server. The zero value is a sound one.
type ConsulFaults struct {
	Hang           bool // calls are taken and never answered
	Truncate       bool // bodies end in the middle
	Errors         bool // 500
	NoIndex        bool
	VersionsBehind int  // answers are so many versions old
	Empty          bool // the list is empty
	Malformed      bool
}

// ConsulServer plays Consul's health endpoint with blocking queries, on loopback.
type ConsulServer struct {
	mu       sync.Mutex
	index    uint64
	versions [][]Instance // the last ones, newest last
	change   chan struct{}
	faults   ConsulFaults
	server   *http.Server
	address  string
	cancel   context.CancelFunc
}

// NewConsulServer returns one that does not run yet, with an index to begin from.
func NewConsulServer(index uint64) *ConsulServer {
	return &ConsulServer{index: max(1, index), versions: [][]Instance{nil}, change: make(chan struct{})}
}

// Start opens the socket, at the same address each time.
func (s *ConsulServer) Start() error {
	at := s.address
	if at == "" {
		at = "127.0.0.1:0"
	}
	var l net.Listener
	var err error
	for range 50 {
		if l, err = net.Listen("tcp", at); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	s.address = l.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", s.health)
	s.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog: log.New(io.Discard, "", 0)}
	go s.server.Serve(l)
	return nil
}

// Stop ends the server; Start brings it back.
func (s *ConsulServer) Stop() {
	s.cancel()
	s.server.Close()
}

// Address is where it listens, from its first start on.
func (s *ConsulServer) Address() string { return s.address }

// SetInstances replaces the list and answers the calls that wait.
func (s *ConsulServer) SetInstances(list []Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	s.versions = append(s.versions, list)
	s.versions = s.versions[max(0, len(s.versions)-20):]
	close(s.change)
	s.change = make(chan struct{})
}

// ResetIndex makes the index start again, as after a restore from a backup.
func (s *ConsulServer) ResetIndex(index uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index = index
	close(s.change)
	s.change = make(chan struct{})
}

// SetFaults replaces what is wrong, and answers the calls that wait.
func (s *ConsulServer) SetFaults(f ConsulFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.change)
	s.change = make(chan struct{})
}

func (s *ConsulServer) health(w http.ResponseWriter, q *http.Request) {
	asked, _ := strconv.ParseUint(q.URL.Query().Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.URL.Query().Get("wait"))
	if err != nil {
		wait = 5 * time.Minute // the documented default
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		s.mu.Lock()
		index, change, f := s.index, s.change, s.faults
		at := max(0, len(s.versions)-1-f.VersionsBehind)
		list := s.versions[at]
		s.mu.Unlock()
		if f.Hang {
			<-q.Context().Done()
			return
		}
		if asked == 0 || index != asked || f != (ConsulFaults{}) {
			s.answer(w, index-uint64(min(f.VersionsBehind, int(index)-1)), list, f)
			return
		}
		select {
		case <-change:
		case <-end.C:
			s.answer(w, index, list, f)
			return
		case <-q.Context().Done():
			return
		}
	}
}

func (s *ConsulServer) answer(w http.ResponseWriter, index uint64, list []Instance, f ConsulFaults) {
	if f.Errors {
		http.Error(w, "no cluster leader", 500)
		return
	}
	if !f.NoIndex {
		w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	}
	w.Header().Set("Content-Type", "application/json")
	out := []any{}
	for _, x := range list {
		if f.Empty {
			break
		}
		host, port, _ := net.SplitHostPort(x.Address)
		n, _ := strconv.Atoi(port)
		status := "passing"
		if x.Critical {
			status = "critical"
		}
		out = append(out, map[string]any{
			"Node":    map[string]any{"Node": "n-" + x.ID, "Address": host, "Datacenter": "lab"},
			"Service": map[string]any{"ID": x.ID, "Address": host, "Port": n, "Meta": x.Meta, "Weights": map[string]int{"Passing": 1, "Warning": 1}},
			"Checks":  []any{map[string]string{"Status": status}}})
	}
	b, _ := json.Marshal(out) // plain strings and numbers encode
	switch {
	case f.Malformed:
		b = []byte(`[{"Service":{"ID":"x"}}]`)
	case f.Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(len(b)+10))
	}
	fmt.Fprintf(w, "%s", b)
}
