// Package fleet runs a set of emulated engines, maintains the endpoint list of these engines, and records each delivery of the list to a
// node.
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

// Member is one engine with its kind, cell and zone.
type Member struct {
	emulator.Settings
	Kind, Cell, Zone string
}

// States of an engine. The endpoint list does not contain an engine that is gone.
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
	kinds  map[string]string // by engine, for those whose kind SetKind has changed
}

// New returns a fleet whose engines do not run yet. The log may be nil.
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

// Start starts all engines without a slow start.
func (f *Fleet) Start() error {
	var errs []error
	for _, m := range f.members {
		errs = append(errs, f.engines[m.ID].Start(false))
	}
	return errors.Join(errs...)
}

// Stop kills all engines and waits until they have ended.
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

// Engine returns the engine with an id, or nil if there is none.
func (f *Fleet) Engine(id string) *emulator.Engine { return f.engines[id] }

// Members returns the members in the order in which New received them.
func (f *Fleet) Members() []Member { return f.members }

// SetState sets the state of an engine in the list: "" (ready), "draining" or "gone".
func (f *Fleet) SetState(id, state string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.states[id] = state
}

// SetKind sets the kind of an engine in the list.
func (f *Fleet) SetKind(id, kind string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.kinds[id] = kind
}

// listEntry is an engine in a list file, in the format of api/list.schema.json.
type listEntry struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	Kind     string  `json:"kind"`
	Cell     string  `json:"cell,omitempty"`
	Zone     string  `json:"zone,omitempty"`
	State    string  `json:"state,omitempty"`
	BootTime float64 `json:"boot_time,omitempty"` // Unix seconds
}

// Snapshot is the endpoint list at one point in time.
type Snapshot struct {
	Text    []byte            // content of the list file
	States  map[string]string // by engine: ready, draining or gone
	entries []listEntry
}

// List returns the current endpoint list. Only an engine that has restarted has a boot time in it.
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
	text, _ := json.MarshalIndent(map[string]any{"engines": entries}, "", " ") // strings and numbers always encode
	return Snapshot{Text: text, States: states, entries: entries}
}

// entry returns the list entry of an engine. The caller has locked f.mu.
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
	if at, restarted := engine.Restarted(); restarted {
		entry.BootTime = at
	}
	return entry
}

// WriteListFile replaces the list file of a node atomically and records the delivery.
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
		_ = os.Remove(temporary.Name()) // the caller receives the first error, which is the cause
		return err
	}
	f.recordDelivery(s, before, node)
	return nil
}

// UpdateListServer updates the list of a list server, which then responds immediately to the waiting polls of all nodes. It records the
// delivery to each node.
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

// recordDelivery records that a list was delivered to nodes between the time before and now. A ready engine counts as listed from the
// earlier time, because a node may read the list before this call. An engine that is draining or gone counts as such from now on.
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
