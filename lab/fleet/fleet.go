// Package fleet keeps a set of stand-in engines, the list that names them, and what each node has been told of it.
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

// Fleet is a set of engines.
type Fleet struct {
	log     *record.Log
	members []Member
	engines map[string]*emulator.Engine

	mu     sync.Mutex
	states map[string]string // by engine: "", draining, gone
	kinds  map[string]string // of engines that have become another kind
}

// New makes a fleet that does not run yet. The log may be nil.
func New(members []Member, l *record.Log) *Fleet {
	f := &Fleet{log: l, members: members, engines: map[string]*emulator.Engine{}, states: map[string]string{}, kinds: map[string]string{}}
	for _, m := range members {
		f.engines[m.ID] = emulator.New(m.Settings, l)
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

// Stop kills all engines.
func (f *Fleet) Stop() {
	var wg sync.WaitGroup
	for _, e := range f.engines {
		wg.Add(1)
		go func() { defer wg.Done(); e.Kill() }()
	}
	wg.Wait()
	emulator.CloseIdleConnections()
}

// Engine returns an engine by its id, or nil.
func (f *Fleet) Engine(id string) *emulator.Engine { return f.engines[id] }

// Members returns the members, in their order.
func (f *Fleet) Members() []Member { return f.members }

// Mark says what the list is to tell of an engine: "" (ready), "draining" or "gone".
func (f *Fleet) Mark(id, state string) {
	f.mu.Lock()
	f.states[id] = state
	f.mu.Unlock()
}

// Become lists an engine as another kind.
func (f *Fleet) Become(id, kind string) {
	f.mu.Lock()
	f.kinds[id] = kind
	f.mu.Unlock()
}

// entry is an engine in a list file, by its published shape.
type entry struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Kind    string  `json:"kind"`
	Cell    string  `json:"cell,omitempty"`
	Zone    string  `json:"zone,omitempty"`
	State   string  `json:"state,omitempty"`
	Boot    float64 `json:"boot_time,omitempty"`
}

// Snapshot is a list as it stood at a moment.
type Snapshot struct {
	Text    []byte
	States  map[string]string // of each engine: ready, draining or gone
	entries []entry
}

// List writes the list as it stands. An engine that was never restarted has no start time.
func (f *Fleet) List() Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Snapshot{States: map[string]string{}}
	entries := []entry{}
	for _, m := range f.members {
		e := f.engines[m.ID]
		state := f.states[m.ID]
		s.States[m.ID] = state
		if state == "" {
			s.States[m.ID] = "ready"
		}
		if state == "gone" {
			continue
		}
		n := entry{ID: m.ID, Address: e.Address(), Kind: cmp.Or(f.kinds[m.ID], m.Kind), Cell: m.Cell, Zone: m.Zone, State: state}
		if at, cold := e.ColdStarted(); cold {
			n.Boot = at
		}
		entries = append(entries, n)
	}
	s.entries = entries
	s.Text, _ = json.MarshalIndent(map[string]any{"engines": entries}, "", " ") // plain strings and numbers encode
	return s
}

// Publish gives a snapshot to a node: its list file is replaced in one step, and what it was told is recorded.
func (f *Fleet) Publish(s Snapshot, node, path string) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), ".list-*")
	if err != nil {
		return err
	}
	before := record.Now()
	_, err = tmp.Write(s.Text)
	if err = errors.Join(err, tmp.Close()); err == nil {
		err = os.Rename(tmp.Name(), path)
	}
	if err != nil {
		os.Remove(tmp.Name())
		return err
	}
	f.told(s, before, node)
	return nil
}

// Serve gives a snapshot to a list server, which tells all nodes at once; what each was told is recorded.
func (f *Fleet) Serve(s Snapshot, server *emulator.ConsulServer, nodes []string) {
	var list []emulator.Instance
	for _, e := range s.entries {
		meta := map[string]string{"kind": e.Kind, "cell": e.Cell, "zone": e.Zone, "state": e.State}
		if e.Boot > 0 {
			meta["boot_time"] = strconv.FormatFloat(e.Boot, 'f', 6, 64)
		}
		list = append(list, emulator.Instance{ID: e.ID, Address: e.Address, Meta: meta})
	}
	before := record.Now()
	server.SetInstances(list)
	f.told(s, before, nodes...)
}

// told records what nodes were told, from a moment on until now: that an engine may be used counts from before, as a node
// may read it before we come here; that it may not, from now.
func (f *Fleet) told(s Snapshot, before float64, nodes ...string) {
	now := record.Now()
	for _, node := range nodes {
		for id, state := range s.States {
			at := now
			if state == "ready" {
				at = before
			}
			f.log.Add(record.Record{T: at, Kind: record.Told, Node: node, Engine: id, State: state})
		}
	}
}
