package soak

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dillroute/lab/platform"
	"dillroute/lab/record"
)

// Times after which a change counts as delivered to a node in any case (PROTOCOL and STANDING of the platform).
const (
	watchRecoveryTime = 6 * time.Second // counted from the stall of a watch
	reloadTime        = 4 * time.Second // counted from a new configuration
)

const (
	// oldAddressOverlap is how long an agent that has moved to a new address keeps the server at the old one open.
	oldAddressOverlap = 1500 * time.Millisecond
	// silencePollInterval is how often a pending watch checks whether a silence has ended.
	silencePollInterval = 20 * time.Millisecond
)

// Agent is the discovery agent of one node, on the node's own machine. A watch is a call that waits for the next change of the list.
type Agent struct {
	registry      *Registry
	node          string
	engineAddress func(engine string) string // returns the address at which the node reaches an engine

	mu                   sync.Mutex // guards the fields below
	version              int        // version of the agent's list
	endpoints            map[string]platform.Endpoint
	changed              map[string]int // version at which an entry changed last
	delivered            map[string]int // by ID: version of the entry that counts as delivered to the node
	deliveryDelayedUntil time.Time      // a change before this time counts as delivered only at this time, or when a response delivers it
	activeSilences       int            // number of active faults that silence the agent
	watchesStarted       int            // number of watches started so far
	pendingWatches       map[int]bool   // by number of the watch
	stalledWatches       map[int]bool   // by number: the pending watches that are never answered
	update               chan struct{}  // closed and replaced at each change
	server               *http.Server
	address              string
}

// StartAgent starts the agent of a node with the current list. engineAddress returns the address at which the node reaches an engine.
func (r *Registry) StartAgent(node string, engineAddress func(string) string) (*Agent, error) {
	a := &Agent{
		registry:       r,
		node:           node,
		engineAddress:  engineAddress,
		endpoints:      map[string]platform.Endpoint{},
		changed:        map[string]int{},
		delivered:      map[string]int{},
		pendingWatches: map[int]bool{},
		stalledWatches: map[int]bool{},
		update:         make(chan struct{}),
	}
	a.synchronize()
	if err := a.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	r.mu.Lock()
	r.agents = append(r.agents, a)
	r.mu.Unlock()
	return a, nil
}

// listen starts a server that replaces the previous one.
func (a *Agent) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(a.serve)}
	a.mu.Lock()
	a.server = server
	a.address = listener.Addr().String()
	a.mu.Unlock()
	go server.Serve(listener)
	return nil
}

// current returns the newest server and its address.
func (a *Agent) current() (*http.Server, string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.server, a.address
}

// Address returns the address of the newest server.
func (a *Agent) Address() string {
	_, address := a.current()
	return address
}

// Move starts a server at a new address, and closes the old one after oldAddressOverlap. The caller writes the new address to the node's
// configuration.
func (a *Agent) Move() error {
	old, _ := a.current()
	if err := a.listen("127.0.0.1:0"); err != nil {
		return err
	}
	a.allowDeliveryDelay(reloadTime)
	time.AfterFunc(oldAddressOverlap, func() { old.Close() })
	return nil
}

// ResetWatches closes the server with all pending watches, and starts another one at the same address.
func (a *Agent) ResetWatches() error {
	old, address := a.current()
	old.Close()
	return a.listen(address)
}

// StallWatches makes the watches that are pending now wait until their node cancels them.
func (a *Agent) StallWatches() {
	a.mu.Lock()
	for watch := range a.pendingWatches {
		a.stalledWatches[watch] = true
	}
	a.mu.Unlock()
	a.allowDeliveryDelay(watchRecoveryTime)
}

// Silence starts a silence of the agent (true) or ends it (false). A silent agent sends no responses and applies no changes. It applies
// the changes made during the silence at its end, and they count as delivered then. Silences may overlap.
func (a *Agent) Silence(on bool) {
	a.mu.Lock()
	if on {
		a.activeSilences++
	} else {
		a.activeSilences--
	}
	ended := a.activeSilences == 0
	a.mu.Unlock()
	if ended {
		a.synchronize()
	}
}

// allowDeliveryDelay delays the time at which changes count as delivered. A change within the time d from now counts as delivered at the
// end of d, or when a response delivers it before.
func (a *Agent) allowDeliveryDelay(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(d); until.After(a.deliveryDelayedUntil) {
		a.deliveryDelayedUntil = until
	}
}

// synchronize applies the registry's whole list.
func (a *Agent) synchronize() {
	endpoints, changed := a.registry.snapshot()
	for id, endpoint := range endpoints {
		a.apply([]platform.Endpoint{endpoint}, changed[id])
	}
}

// apply applies changes of one version, and answers pending watches with them. Changes to entries of which the agent has this or a newer
// version are ignored.
func (a *Agent) apply(endpoints []platform.Endpoint, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activeSilences > 0 {
		return
	}
	var applied []platform.Endpoint
	for _, endpoint := range endpoints {
		if version > a.changed[endpoint.ID] {
			a.endpoints[endpoint.ID] = endpoint
			a.changed[endpoint.ID] = version
			applied = append(applied, endpoint)
		}
	}
	if len(applied) == 0 {
		return
	}
	a.version = max(a.version, version)
	close(a.update)
	a.update = make(chan struct{})
	if delay := time.Until(a.deliveryDelayedUntil); delay > 0 {
		time.AfterFunc(delay, func() { a.recordDeliveries(applied, version) })
		return
	}
	for _, endpoint := range applied {
		a.recordDeliveryLocked(endpoint, version)
	}
}

// recordDeliveries records that entries count as delivered to the node.
func (a *Agent) recordDeliveries(endpoints []platform.Endpoint, version int) {
	for _, endpoint := range endpoints {
		a.recordDelivery(endpoint, version)
	}
}

// recordDelivery records that an entry counts as delivered to the node.
func (a *Agent) recordDelivery(endpoint platform.Endpoint, version int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordDeliveryLocked(endpoint, version)
}

// recordDeliveryLocked is recordDelivery for callers that hold the lock. It does nothing if this or a newer version of the entry already
// counts as delivered.
func (a *Agent) recordDeliveryLocked(endpoint platform.Endpoint, version int) {
	if version <= a.delivered[endpoint.ID] {
		return
	}
	a.delivered[endpoint.ID] = version
	state := platform.RecordedState(endpoint.State)
	a.registry.log.Add(record.Record{Kind: record.ListDelivered, Node: a.node, Engine: endpoint.ID, State: state})
}

// endpointList is a response of discovery.
type endpointList struct {
	Version   int                 `json:"version"`
	Full      bool                `json:"full"` // the list has all endpoints, not only those that changed
	Endpoints []platform.Endpoint `json:"servers"`
}

// text returns the list as discovery sends it.
func (l endpointList) text() []byte {
	text, _ := json.Marshal(l) // strings and numbers always encode
	return text
}

// wholeList is passed instead of a version to request all endpoints.
const wholeList = -1

// Snapshot returns the agent's whole list as discovery sends it.
func (a *Agent) Snapshot() []byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.list(wholeList).text()
}

// list returns the entries that changed after a version, or the whole list for a negative version. The caller holds the lock.
func (a *Agent) list(after int) endpointList {
	list := endpointList{Version: a.version, Full: after < 0, Endpoints: []platform.Endpoint{}}
	for id, endpoint := range a.endpoints {
		listed := a.changed[id] > after
		if list.Full {
			listed = endpoint.State != "removed"
		}
		if listed {
			endpoint.Address = a.engineAddress(id)
			list.Endpoints = append(list.Endpoints, endpoint)
		}
	}
	return list
}

// serve answers a call, and records the entries in the response as delivered to the node.
func (a *Agent) serve(w http.ResponseWriter, r *http.Request) {
	after := wholeList
	if from := r.URL.Query().Get("from"); from != "" {
		after, _ = strconv.Atoi(from)
	}
	maxWaitMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	if !a.awaitUpdate(r.Context(), after, time.Duration(maxWaitMS)*time.Millisecond) {
		return
	}
	a.mu.Lock()
	list := a.list(after)
	versions := maps.Clone(a.changed)
	a.mu.Unlock()
	if _, err := w.Write(list.text()); err != nil {
		return
	}
	for _, endpoint := range list.Endpoints {
		a.recordDelivery(endpoint, versions[endpoint.ID])
	}
}

// awaitUpdate blocks until the list has another version than the given one or maxWait has passed. If the agent is silent then, it blocks
// until the silence ends; if the watch is stalled, it never returns true. It returns false if the call is canceled.
func (a *Agent) awaitUpdate(ctx context.Context, version int, maxWait time.Duration) bool {
	timeout := time.After(maxWait)
	timedOut := false
	a.mu.Lock()
	a.watchesStarted++
	watch := a.watchesStarted
	a.pendingWatches[watch] = true
	a.mu.Unlock()
	defer func() {
		a.mu.Lock()
		delete(a.pendingWatches, watch)
		delete(a.stalledWatches, watch)
		a.mu.Unlock()
	}()
	for {
		a.mu.Lock()
		update := a.update
		changed := a.version != version
		suppressed := a.activeSilences > 0 || a.stalledWatches[watch]
		a.mu.Unlock()
		if !suppressed && (timedOut || changed) {
			return true
		}
		select {
		case <-update:
		case <-timeout:
			timedOut = true
		case <-time.After(silencePollInterval):
		case <-ctx.Done():
			return false
		}
	}
}
