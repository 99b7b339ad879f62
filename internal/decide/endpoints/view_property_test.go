package endpoints

import (
	"testing"

	"pgregory.net/rapid"
)

// viewMachine applies random events to a view and checks its invariants after each of them.
type viewMachine struct {
	view      *View
	now       float64
	lastIndex uint64
	lists     []List // sent since the source started
}

// drawList generates a list of up to five engines, some of them listed twice.
func (m *viewMachine) drawList(t *rapid.T, label string) []Endpoint {
	var endpoints []Endpoint
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		for range rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(t, label+id) {
			endpoints = append(endpoints, Endpoint{
				ID:       id,
				Address:  rapid.SampledFrom([]string{"p", "q"}).Draw(t, "address"),
				Kind:     rapid.IntRange(0, 1).Draw(t, "kind"),
				State:    State(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "state")),
				BootTime: rapid.SampledFrom([]float64{0, 0, 50, m.now}).Draw(t, "boot"),
			})
		}
	}
	return endpoints
}

// step applies one random event.
func (m *viewMachine) step(t *rapid.T) {
	m.now += rapid.SampledFrom([]float64{0, 0.1, 1, 3, 40}).Draw(t, "pass")
	if at, ok := m.view.Next(); ok && at <= m.now {
		m.view.Tick(m.now)
	}
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0, 1, 2: // a new list
		m.lastIndex++
		m.lists = append(m.lists, List{Index: m.lastIndex, Endpoints: m.drawList(t, "new")})
		m.view.Apply(m.now, m.lists[len(m.lists)-1])
	case 3: // an older or repeated list
		if len(m.lists) > 0 {
			m.applyOldList(t)
		}
	case 4: // the source restarts
		m.view.IndexReset()
		m.lastIndex = 0
		m.lists = nil
	case 5:
		m.view.Tick(m.now)
	}
	m.checkUnique(t)
}

func (m *viewMachine) applyOldList(t *rapid.T) {
	old := rapid.SampledFrom(m.lists).Draw(t, "old")
	before := snapshotIDs(m.view, m.now)
	m.view.Apply(m.now, old)
	if old.Index < m.view.index && snapshotIDs(m.view, m.now) != before {
		t.Fatalf("a list older than %d changed the snapshot", m.view.index)
	}
}

func (m *viewMachine) checkUnique(t *rapid.T) {
	seen := map[string]bool{}
	for _, endpoint := range m.view.Snapshot(m.now).Endpoints {
		if seen[endpoint.ID] {
			t.Fatalf("%s is in the snapshot twice", endpoint.ID)
		}
		seen[endpoint.ID] = true
	}
}

// checkDraining checks, right after a list was applied, that no engine that drains in the list is ready in the snapshot.
func (m *viewMachine) checkDraining(t *rapid.T, list []Endpoint) {
	for _, listed := range list {
		for _, endpoint := range m.view.Snapshot(m.now).Endpoints {
			unambiguous := len(endpointsOf(list, listed.ID)) == 1
			if endpoint.ID == listed.ID && unambiguous && listed.State == Draining && endpoint.State != Draining {
				t.Fatalf("%s drains and is ready in the snapshot", listed.ID)
			}
		}
	}
}

// passTime advances the time until it causes no further change.
func (m *viewMachine) passTime() {
	for range 20 {
		at, ok := m.view.Next()
		if !ok || at > m.now+100 {
			return
		}
		m.now = max(m.now, at)
		m.view.Tick(m.now)
	}
}

// checkEquals checks that the snapshot has the same engines as a list.
func (m *viewMachine) checkEquals(t *rapid.T, list []Endpoint) {
	want := map[string]bool{}
	for _, endpoint := range list {
		want[endpoint.ID] = true
	}
	got := m.view.Snapshot(m.now).Endpoints
	if len(got) != len(want) {
		t.Fatalf("snapshot %v, listed %v", got, list)
	}
	for _, endpoint := range got {
		listed := endpointsOf(list, endpoint.ID)
		if len(listed) == 0 {
			t.Fatalf("snapshot %+v, not listed", endpoint)
		}
		if len(listed) > 1 {
			continue
		}
		if want := listed[0]; endpoint.State != want.State || endpoint.Address != want.Address || endpoint.BootTime < want.BootTime {
			t.Fatalf("snapshot %+v, listed %+v", endpoint, want)
		}
	}
}

// In any order of events no engine is in the snapshot twice, a draining engine is never ready, and an older list changes nothing.
// Once the source has sent the same list for long enough, the snapshot equals it.
func TestViewConvergesToListUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &viewMachine{view: NewView(DefaultOptions), now: 100}
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			m.step(t)
		}
		final := m.drawList(t, "final")
		m.lastIndex++
		m.view.Apply(m.now, List{Index: m.lastIndex, Endpoints: final})
		m.checkDraining(t, final)
		m.passTime()
		m.checkEquals(t, final)
	})
}

func endpointsOf(endpoints []Endpoint, id string) (matching []Endpoint) {
	for _, e := range endpoints {
		if e.ID == id {
			matching = append(matching, e)
		}
	}
	return matching
}
