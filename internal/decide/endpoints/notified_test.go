package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func up(id string) Word { return Word{Entry: Entry{ID: id, Address: id, Weight: 1}} }

func draining(id string) Word {
	w := up(id)
	w.State = Draining
	return w
}

func gone(id string) Word {
	w := up(id)
	w.Gone = true
	return w
}

func TestToldStory(t *testing.T) {
	told := NewTold()
	step := func(name, want string, version int64, full bool, words ...Word) {
		t.Helper()
		got := ""
		for _, w := range told.Hear(1, version, full, words) {
			got += w.ID
			if w.Gone {
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
	step("the first list, of version 0", "a b ", 0, true, up("a"), up("b"))
	if v, ok := told.Version(); v != 0 || !ok {
		t.Fatal("version 0 is a version: the whole list must not be asked for again")
	}
	step("nothing new", "", 0, false)
	step("a drain", "a* ", 1, false, draining("a"))
	step("an old answer does not take it back", "", 0, false, up("a"))
	if _, ok := told.Version(); ok {
		t.Fatal("after changes from the past the whole list is wanted")
	}
	step("the whole list", "c ", 3, true, draining("a"), up("b"), up("c"))
	step("an older whole list takes away at once, and adds no drained one", "c- ", 2, true, up("a"), up("b"))
	if v, ok := told.Version(); v != 2 || !ok {
		t.Fatal("a source that began anew is followed")
	}
	step("a newer word does", "a ", 3, false, up("a"))
	step("removed and unknown", "", 4, false, gone("z"))
	step("all gone is believed", "a- b- ", 5, true)
}

// Over all interleavings: what was told last as draining or gone, by an answer no older than others, is never held ready.
func TestToldNeverKeepsWhatWasTakenAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		told := NewTold()
		state := map[string]Word{} // as the changes say
		version := int64(0)
		for range rapid.IntRange(1, 30).Draw(t, "answers") {
			back := rapid.IntRange(0, 3).Draw(t, "back") == 0
			at := version + 1
			if back {
				at = rapid.Int64Range(0, version).Draw(t, "version")
			}
			full := rapid.Bool().Draw(t, "full")
			var words []Word
			named := map[string]Word{}
			for i := range rapid.IntRange(0, 4).Draw(t, "n") {
				w := []func(string) Word{up, draining, gone}[rapid.IntRange(0, 2).Draw(t, "kind")](fmt.Sprint("e", (i+rapid.IntRange(0, 3).Draw(t, "id"))%5))
				if _, twice := named[w.ID]; !twice {
					words, named[w.ID] = append(words, w), w
				}
			}
			for _, w := range told.Hear(float64(at), at, full, words) {
				state[w.ID] = w
			}
			for id, w := range state {
				said, inAnswer := named[id]
				switch ready := !w.Gone && w.State == Ready; {
				case inAnswer && takesAway(said) && ready:
					t.Fatalf("%s was told %+v and is held ready", id, said)
				case full && !inAnswer && !w.Gone:
					t.Fatalf("%s is not in the whole list and is held", id)
				}
			}
			if !back || full {
				version = at
			}
		}
	})
}

func TestToldForgetsTheRemoved(t *testing.T) {
	told := NewTold()
	for i := range 10_000 {
		id := fmt.Sprint("e", i)
		told.Hear(float64(i), int64(2*i), false, []Word{up(id)})
		told.Hear(float64(i), int64(2*i+1), false, []Word{gone(id)})
	}
	if len(told.known) > 200 {
		t.Fatalf("%d engines are remembered of a day of replacements", len(told.known))
	}
}

// A source that does not hold its answers is not asked without end, and a watch on it still goes on.
func TestWatcherGoesOnWithinItsBudget(t *testing.T) {
	a, now, calls := NewWatcher(func() float64 { return 0.5 }), 100.0, 0
	for end := now + 10; now < end; calls++ {
		at := a.After(now, true)
		if at > now+0.2 {
			t.Fatalf("the watch ends: the next call comes after %g s", at-now)
		}
		now = at
	}
	if calls > 130 {
		t.Fatalf("%d calls in 10 s", calls)
	}
	if at := a.After(now, false); at > now+1.2 {
		t.Fatalf("%g s after a failure", at-now)
	}
}
