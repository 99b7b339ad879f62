package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func readyUpdate(id string) Update { return Update{Entry: Entry{ID: id, Address: id, Weight: 1}} }

func drainingUpdate(id string) Update {
	w := readyUpdate(id)
	w.State = Draining
	return w
}

func removedUpdate(id string) Update {
	w := readyUpdate(id)
	w.Removed = true
	return w
}

func TestNotifiedViewSequenceOfUpdates(t *testing.T) {
	view := NewNotifiedView()
	step := func(name, want string, version int64, full bool, words ...Update) {
		t.Helper()
		got := ""
		for _, w := range view.Apply(1, version, full, words) {
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
		t.Fatal("version 0 is a version: the whole list must not be asked for again")
	}
	step("nothing new", "", 0, false)
	step("a drain", "a* ", 1, false, drainingUpdate("a"))
	step("an old answer does not take it back", "", 0, false, readyUpdate("a"))
	if _, ok := view.Version(); ok {
		t.Fatal("after changes from the past the whole list is wanted")
	}
	step("the whole list", "c ", 3, true, drainingUpdate("a"), readyUpdate("b"), readyUpdate("c"))
	step("an older whole list takes away at once, and adds no drained one", "c- ", 2, true, readyUpdate("a"), readyUpdate("b"))
	if v, ok := view.Version(); v != 2 || !ok {
		t.Fatal("a source that began anew is followed")
	}
	step("a newer word does", "a ", 3, false, readyUpdate("a"))
	step("removed and unknown", "", 4, false, removedUpdate("z"))
	step("all gone is believed", "a- b- ", 5, true)
}

// Over all interleavings: what was told last as draining or gone, by an answer no older than others, is never held ready.
func TestNotifiedViewNeverKeepsWithdrawnEndpointReady(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := NewNotifiedView()
		state := map[string]Update{} // as the changes say
		version := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			back := rapid.IntRange(0, 3).Draw(t, "back") == 0
			at := version + 1
			if back {
				at = rapid.Int64Range(0, version).Draw(t, "version")
			}
			full := rapid.Bool().Draw(t, "full")
			var updates []Update
			named := map[string]Update{}
			for i := range rapid.IntRange(0, 4).Draw(t, "n") {
				w := []func(string) Update{readyUpdate, drainingUpdate, removedUpdate}[rapid.IntRange(0, 2).Draw(t, "kind")](fmt.Sprint("e", (i+rapid.IntRange(0, 3).Draw(t, "id"))%5))
				if _, twice := named[w.ID]; !twice {
					updates, named[w.ID] = append(updates, w), w
				}
			}
			for _, w := range view.Apply(float64(at), at, full, updates) {
				state[w.ID] = w
			}
			for id, w := range state {
				reported, inAnswer := named[id]
				switch ready := !w.Removed && w.State == Ready; {
				case inAnswer && stopsNewWork(reported) && ready:
					t.Fatalf("%s was told %+v and is held ready", id, reported)
				case full && !inAnswer && !w.Removed:
					t.Fatalf("%s is not in the whole list and is held", id)
				}
			}
			if !back || full {
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
		t.Fatalf("%d engines are remembered of a day of replacements", len(view.endpoints))
	}
}

// A source that does not hold its answers is not asked without end, and a watch on it still goes on.
func TestAgentPollerContinuesWatchWithinCallBudget(t *testing.T) {
	poller, now, calls := NewAgentPoller(func() float64 { return 0.5 }), 100.0, 0
	for end := now + 10; now < end; calls++ {
		at := poller.AfterCall(now, true)
		if at > now+0.2 {
			t.Fatalf("the watch ends: the next call comes after %g s", at-now)
		}
		now = at
	}
	if calls > 130 {
		t.Fatalf("%d calls in 10 s", calls)
	}
	if at := poller.AfterCall(now, false); at > now+1.2 {
		t.Fatalf("%g s after a failure", at-now)
	}
}
