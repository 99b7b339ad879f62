package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func readyUpdate(id string) Update { return Update{Endpoint: Endpoint{ID: id, Address: id, Weight: 1}} }

func drainingUpdate(id string) Update {
	update := readyUpdate(id)
	update.State = Draining
	return update
}

func removedUpdate(id string) Update {
	update := readyUpdate(id)
	update.Removed = true
	return update
}

func TestNotifiedViewSequenceOfUpdates(t *testing.T) {
	view := NewNotifiedView()
	step := func(name, want string, version int64, full bool, updates ...Update) {
		t.Helper()
		got := ""
		for _, w := range view.Apply(1, version, full, updates) {
			got += w.ID
			if w.Removed {
				got += "-"
			} else if w.State == Draining {
				got += "*"
			}
			got += " "
		}
		if got != want {
			t.Errorf("%s: changes %q, want %q", name, got, want)
		}
	}
	step("the first list, of version 0", "a b ", 0, true, readyUpdate("a"), readyUpdate("b"))
	if v, ok := view.Version(); v != 0 || !ok {
		t.Fatal("after a complete list of version 0: the complete list is requested again")
	}
	step("no changes", "", 0, false)
	step("a drain", "a* ", 1, false, drainingUpdate("a"))
	step("an older response does not undo it", "", 0, false, readyUpdate("a"))
	if _, ok := view.Version(); ok {
		t.Fatal("after changes of an older version: the complete list is not requested")
	}
	step("the complete list", "c ", 3, true, drainingUpdate("a"), readyUpdate("b"), readyUpdate("c"))
	step("an older complete list removes at once, and makes no draining engine ready", "c- ", 2, true, readyUpdate("a"), readyUpdate("b"))
	if v, ok := view.Version(); v != 2 || !ok {
		t.Fatal("after a complete list of an older version from a restarted source: its version is not adopted")
	}
	step("a newer response makes a draining engine ready", "a ", 3, false, readyUpdate("a"))
	step("removal of an unknown engine", "", 4, false, removedUpdate("z"))
	step("removal of all engines is applied", "a- b- ", 5, true)
}

// drawUpdates generates up to four updates of different engines.
func drawUpdates(t *rapid.T) (updates []Update, named map[string]Update) {
	kinds := []func(string) Update{readyUpdate, drainingUpdate, removedUpdate}
	named = map[string]Update{}
	for i := range rapid.IntRange(0, 4).Draw(t, "n") {
		makeUpdate := kinds[rapid.IntRange(0, 2).Draw(t, "kind")]
		update := makeUpdate(fmt.Sprint("e", (i+rapid.IntRange(0, 3).Draw(t, "id"))%5))
		if _, duplicate := named[update.ID]; !duplicate {
			updates = append(updates, update)
			named[update.ID] = update
		}
	}
	return updates, named
}

// checkWithdrawn checks that no engine is ready in the view that the latest response reported as draining or removed, and that
// a complete list removed the engines it does not name.
func checkWithdrawn(t *rapid.T, state, named map[string]Update, full bool) {
	for id, update := range state {
		reported, inResponse := named[id]
		ready := !update.Removed && update.State == Ready
		switch {
		case inResponse && reported.stopsNewWork() && ready:
			t.Fatalf("%s was reported as %+v and is ready in the view", id, reported)
		case full && !inResponse && !update.Removed:
			t.Fatalf("%s is not in the complete list and is in the view", id)
		}
	}
}

// In any sequence of responses, old ones included, an engine that the latest response reported as draining or removed is not ready.
func TestNotifiedViewNeverKeepsWithdrawnEndpointReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := NewNotifiedView()
		state := map[string]Update{} // as the returned changes leave it
		version := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			older := rapid.IntRange(0, 3).Draw(t, "back") == 0
			at := version + 1
			if older {
				at = rapid.Int64Range(0, version).Draw(t, "version")
			}
			full := rapid.Bool().Draw(t, "full")
			updates, named := drawUpdates(t)
			for _, change := range view.Apply(float64(at), at, full, updates) {
				state[change.ID] = change
			}
			checkWithdrawn(t, state, named, full)
			if !older || full {
				version = at
			}
		}
	})
}

func TestNotifiedViewForgetsRemovedEndpoints(t *testing.T) {
	view := NewNotifiedView()
	for i := range 10_000 {
		id := fmt.Sprint("e", i)
		view.Apply(float64(i), int64(2*i), false, []Update{readyUpdate(id)})
		view.Apply(float64(i), int64(2*i+1), false, []Update{removedUpdate(id)})
	}
	if len(view.endpoints) > 200 {
		t.Fatalf("%d engines are remembered after 10,000 replacements, want at most 200", len(view.endpoints))
	}
}
