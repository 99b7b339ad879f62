package soak

import (
	"maps"
	"slices"
	"sync"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Registry is the endpoint list from which all agents receive changes. Its methods are safe for concurrent use.
type Registry struct {
	log *record.Log

	mu        sync.Mutex // guards the fields below
	version   int
	endpoints map[string]platform.Endpoint
	changed   map[string]int // version at which an entry changed last
	agents    []*Agent
}

// NewRegistry returns a registry without endpoints. Its agents record the deliveries of endpoints to nodes in log.
func NewRegistry(log *record.Log) *Registry {
	return &Registry{log: log, endpoints: map[string]platform.Endpoint{}, changed: map[string]int{}}
}

// Update changes an entry, or adds it if there is none with this ID, and passes it to the agents.
func (r *Registry) Update(id string, change func(*platform.Endpoint)) {
	r.UpdateAll([]string{id}, change)
}

// UpdateAll changes several entries in one version of the list, and passes them to the agents.
func (r *Registry) UpdateAll(ids []string, change func(*platform.Endpoint)) {
	r.mu.Lock()
	r.version++
	version := r.version
	var changed []platform.Endpoint
	for _, id := range ids {
		endpoint := r.endpoints[id]
		endpoint.ID = id
		change(&endpoint)
		r.endpoints[id] = endpoint
		r.changed[id] = version
		changed = append(changed, endpoint)
	}
	agents := slices.Clone(r.agents)
	r.mu.Unlock()
	for _, agent := range agents {
		agent.apply(changed, version)
	}
}

// upIDs returns the sorted IDs of the endpoints that are up.
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

// hasPeers reports whether another endpoint of the same kind is up.
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

// snapshot returns copies of the whole list and of the versions at which its entries changed last.
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
