// Package fleet runs a set of emulated engines, keeps the endpoint list that names them, and records what each node has been
// given of it.
package fleet

import (
	"cmp"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"sync"

	"dillroute/lab/emulator"
	"dillroute/lab/record"
)

// Member is one engine and its place.
type Member struct {
	emulator.Settings
	Kind, Cell, Zone string
}

// States of an engine in the endpoint list.
const (
	stateReady = "ready"
	stateGone  = "gone"
)

// Fleet is a set of engines. It is safe for concurrent use.
type Fleet struct {
	log     *record.Log
	members []Member
	engines map[string]*emulator.Engine

	mu     sync.Mutex
	states map[string]string // by engine: "" (ready), draining or gone
	kinds  map[string]string // of engines whose kind has changed
}

// New returns a fleet that does not run yet. The log may be nil.
func New(members []Member, log *record.Log) *Fleet {
	f := &Fleet{
		log:     log,
		members: members,
		engines: map[string]*emulator.Engine{},
		states:  map[string]string{},
		kinds:   map[string]string{},
	}
	for _, m := range members {
		f.engines[m.ID] = emulator.New(m.Settings, log)
	}
	return f
}

// Start starts all engines, warm.
func (f *Fleet) Start() error {
	var errs []error
	for _, m := range f.members {
		errs = append(errs, f.engines[m.ID].Start(false))
	}
	return errors.Join(errs...)
}

// Stop kills all engines and waits for their end.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, e := range f.engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.Kill()
		}()
	}
	wg.Wait()
	emulator.CloseIdleConnections()
}

// Engine returns an engine by its id, or nil.
func (f *Fleet) Engine(id string) *emulator.Engine { return f.engines[id] }

// Members returns the members, in their order.
func (f *Fleet) Members() []Member { return f.members }

// SetState sets what the list says of an engine: "" (ready), "draining" or "gone".
func (f *Fleet) SetState(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = state
}

// SetKind sets the kind under which the list names an engine.
func (f *Fleet) SetKind(id, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[id] = kind
}

// listEntry is an engine in a list file; its shape is that of api/list.schema.json.
type listEntry struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Kind     string  `json:"kind"`
	Cell     string  `json:"cell,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	State    string  `json:"state,omitempty"`
	BootTime float64 `json:"boot_time,omitempty"` // Unix seconds
}

// Snapshot is the endpoint list at a moment.
type Snapshot struct {
	Text    []byte            // of the list file
	States  map[string]string // of each engine: ready, draining or gone
	entries []listEntry
}

// List returns the endpoint list as it stands. An engine that has not started cold has no boot time.
func (f *Fleet) List() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	states := map[string]string{}
	entries := []listEntry{}
	for _, m := range f.members {
		state := f.states[m.ID]
		states[m.ID] = cmp.Or(state, stateReady)
		if state != stateGone {
			entries = append(entries, f.entry(m, state))
		}
	}
	text, _ := json.MarshalIndent(map[string]any{"engines": entries}, "", " ") // strings and numbers encode
	return Snapshot{Text: text, States: states, entries: entries}
}

// entry returns the entry of an engine; the caller has the lock.
func (f *Fleet) entry(m Member, state string) listEntry {
	engine := f.engines[m.ID]
	entry := listEntry{
		ID:      m.ID,
		Address: engine.Address(),
		Kind:    cmp.Or(f.kinds[m.ID], m.Kind),
		Cell:    m.Cell,
		Zone:    m.Zone,
		State:   state,
	}
	if at, restarted := engine.ColdStarted(); restarted {
		entry.BootTime = at
	}
	return entry
}

// WriteListFile replaces the list file of a node in one step, and records the delivery.
func (f *Fleet) WriteListFile(s Snapshot, node, path string) error {
	temporary, err := os.CreateTemp(filepath.Dir(path), ".list-*")
	if err != nil {
		return err
	}
	before := record.Now()
	_, err = temporary.Write(s.Text)
	if err = errors.Join(err, temporary.Close()); err == nil {
		err = os.Rename(temporary.Name(), path)
	}
	if err != nil {
		_ = os.Remove(temporary.Name()) // the first error says what went wrong
		return err
	}
	f.recordDelivery(s, before, node)
	return nil
}

// UpdateListServer gives the list to a list server, which answers all nodes at once, and records the delivery to each node.
func (f *Fleet) UpdateListServer(s Snapshot, server *emulator.ConsulServer, nodes []string) {
	var instances []emulator.Instance
	for _, e := range s.entries {
		meta := map[string]string{"kind": e.Kind, "cell": e.Cell, "zone": e.Zone, "state": e.State}
		if e.BootTime > 0 {
			meta["boot_time"] = strconv.FormatFloat(e.BootTime, 'f', 6, 64)
		}
		instances = append(instances, emulator.Instance{ID: e.ID, Address: e.Address, Meta: meta})
	}
	before := record.Now()
	server.SetInstances(instances)
	f.recordDelivery(s, before, nodes...)
}

// recordDelivery records that nodes were given a list between a time and now. That an engine is ready counts from the earlier time,
// as a node may read the list before this is called; that it is not counts from now.
func (f *Fleet) recordDelivery(s Snapshot, before float64, nodes ...string) {
	now := record.Now()
	for _, node := range nodes {
		for id, state := range s.States {
			at := now
			if state == stateReady {
				at = before
			}
			f.log.Add(record.Record{T: at, Kind: record.ListDelivered, Node: node, Engine: id, State: state})
		}
	}
}
