package endpoints

import "testing"

func endpoint(id string, role int) Endpoint {
	return Endpoint{ID: id, Address: "a:" + id, Kind: role, Role: role, Weight: 1}
}

// snapshotIDs returns the ids of a snapshot, those of draining engines with an asterisk.
func snapshotIDs(view *View, now float64) string {
	s := ""
	for _, e := range view.Snapshot(now).Endpoints {
		s += e.ID
		if e.State == Draining {
			s += "*"
		}
		s += " "
	}
	return s
}

func fiveEndpoints() []Endpoint {
	return []Endpoint{endpoint("a", 0), endpoint("b", 0), endpoint("c", 0), endpoint("d", 0), endpoint("x", 1)}
}

func expectSnapshot(t *testing.T, view *View, now float64, want string) {
	t.Helper()
	if got := snapshotIDs(view, now); got != want {
		t.Fatalf("snapshot at %g is %q, want %q", now, got, want)
	}
}

func TestEmptyListNeedsConfirmation(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 1, Endpoints: fiveEndpoints()})
	view.Apply(2, List{Index: 2, Endpoints: nil})
	expectSnapshot(t, view, 2, "a b c d ") // a single engine of a role is removed without confirmation
	view.Apply(2.5, List{Index: 3, Endpoints: fiveEndpoints()})
	expectSnapshot(t, view, 2.5, "a b c d x ")
	view.Apply(3, List{Index: 4, Endpoints: nil})
	view.Apply(3.1, List{Index: 5, Endpoints: nil})
	expectSnapshot(t, view, 3.1, "")
}

func TestLargeRemovalIsConfirmedByTime(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 1, Endpoints: fiveEndpoints()})
	view.Apply(2, List{Index: 2, Endpoints: fiveEndpoints()[4:]})
	at, ok := view.Next()
	if !ok || at != 4 {
		t.Fatal(at, ok)
	}
	if view.Tick(3.9) || !view.Tick(4) {
		t.Fatal("the removal is not confirmed exactly at 4 s")
	}
	expectSnapshot(t, view, 4, "x ")
}

// A list that is sent again, as at the end of a blocking query's wait, does not count as a second list.
func TestRepeatedListConfirmsNothing(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 1, Endpoints: fiveEndpoints()})
	view.Apply(2, List{Index: 2, Endpoints: nil})
	view.Apply(2.1, List{Index: 2, Endpoints: nil})
	expectSnapshot(t, view, 2.1, "a b c d ")
}

func TestSmallRemovalAppliesAtOnce(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 1, Endpoints: fiveEndpoints()})
	view.Apply(2, List{Index: 2, Endpoints: []Endpoint{endpoint("a", 0), endpoint("b", 0), endpoint("x", 1)}})
	expectSnapshot(t, view, 2, "a b x ")
}

func TestListWithOlderIndexIsRejected(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 7, Endpoints: fiveEndpoints()[:2]})
	if view.Apply(2, List{Index: 6, Endpoints: fiveEndpoints()}) || len(view.Notes()) != 1 {
		t.Fatal("an older list is applied")
	}
	view.IndexReset()
	view.Apply(3, List{Index: 2, Endpoints: fiveEndpoints()})
	expectSnapshot(t, view, 3, "a b c d x ")
}

func TestEngineWithNewAddressOrRoleCountsAsRestarted(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Apply(1, List{Index: 1, Endpoints: fiveEndpoints()})
	moved := fiveEndpoints()
	moved[0].Address, moved[1].Kind, moved[1].Role = "elsewhere:1", 1, 1
	view.Apply(5, List{Index: 2, Endpoints: moved})
	for _, e := range view.Snapshot(5).Endpoints {
		if restarted := e.BootTime == 5; restarted != (e.ID == "a" || e.ID == "b") {
			t.Fatalf("got %+v, want a start at 5 exactly for the engines with a new address or role", e)
		}
	}
	moved[0].BootTime = 9 // a reported start time takes precedence
	view.Apply(9.5, List{Index: 3, Endpoints: moved})
	if e := view.Snapshot(9.5).Endpoints[0]; e.BootTime != 9 {
		t.Fatalf("got %+v, want the reported start at 9", e)
	}
}

func TestDuplicateEngineDrains(t *testing.T) {
	view := NewView(DefaultOptions)
	duplicate := endpoint("a", 0)
	duplicate.Address = "b:other"
	view.Apply(1, List{Index: 1, Endpoints: append(fiveEndpoints(), duplicate)})
	expectSnapshot(t, view, 1, "a* b c d x ")
	duplicate.BootTime = 3 // now one of the two is newer
	view.Apply(4, List{Index: 2, Endpoints: append(fiveEndpoints(), duplicate)})
	expectSnapshot(t, view, 4, "a b c d x ")
}

func TestFlappingEngineDrainsUntilStable(t *testing.T) {
	view := NewView(DefaultOptions)
	now, index := 1.0, uint64(1)
	apply := func(endpoints []Endpoint) {
		view.Apply(now, List{Index: index, Endpoints: endpoints})
		index++
		now++
	}
	for range 3 {
		apply(fiveEndpoints())
		apply(fiveEndpoints()[1:])
	}
	apply(fiveEndpoints())
	expectSnapshot(t, view, now, "a* b c d x ")
	at, ok := view.Next()
	if !ok || !view.Tick(at) {
		t.Fatal("the flapping engine drains forever", at, ok)
	}
	expectSnapshot(t, view, at, "a b c d x ")
}

func TestSavedListIsUsedUntilSourceResponds(t *testing.T) {
	view := NewView(DefaultOptions)
	view.Restore(1, fiveEndpoints())
	if snapshot := view.Snapshot(1); !snapshot.Saved || len(snapshot.Endpoints) != 5 {
		t.Fatalf("got %+v, want a saved list of 5 engines", snapshot)
	}
	view.Apply(2, List{Index: 1, Endpoints: fiveEndpoints()[1:]})
	if view.Snapshot(2).Saved {
		t.Fatal("the snapshot is still marked as saved after a response of the source")
	}
	expectSnapshot(t, view, 2, "b c d x ")
}
