package soak

import (
	"maps"
	"slices"
	"sync"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Registry is the endpoint list that all agents follow.
type Registry struct {
	log *record.Log

	mu        sync.Mutex // guards the fields below
	version   int
	endpoints map[string]platform.Endpoint
	changed   map[string]int // version at which an entry changed last
	agents    []*Agent
}

// NewRegistry returns an empty list.
func NewRegistry(log *record.Log) *Registry {
	return &Registry{log: log, endpoints: map[string]platform.Endpoint{}, changed: map[string]int{}}
}

// Update changes an entry, or adds it, and passes it to the agents.
func (r *Registry) Update(id string, change func(*platform.Endpoint)) {
	r.mu.Lock()
	endpoint := r.endpoints[id]
	endpoint.ID = id
	change(&endpoint)
	r.version++
	version := r.version
	r.endpoints[id] = endpoint
	r.changed[id] = version
	agents := slices.Clone(r.agents)
	r.mu.Unlock()
	for _, agent := range agents {
		agent.apply(endpoint, version)
	}
}

// upIDs returns the ids of the endpoints that are up, in order.
func (r *Registry) upIDs() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []string
	for id, endpoint := range r.endpoints {
		if endpoint.State == "up" {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// hasPeers reports whether other endpoints of an endpoint's kind are up.
func (r *Registry) hasPeers(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	kind := r.endpoints[id].Kind
	for other, endpoint := range r.endpoints {
		if other != id && endpoint.State == "up" && endpoint.Kind == kind {
			return true
		}
	}
	return false
}

// snapshot returns the whole list, and the versions at which its entries changed last.
func (r *Registry) snapshot() (endpoints map[string]platform.Endpoint, changed map[string]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.endpoints), maps.Clone(r.changed)
}

// close closes the agents' servers.
func (r *Registry) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, agent := range r.agents {
		agent.mu.Lock()
		agent.server.Close()
		agent.mu.Unlock()
	}
}
