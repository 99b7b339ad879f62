package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func entry(id string, role int) Entry {
	return Entry{ID: id, Address: "a:" + id, Kind: role, Role: role, Weight: 1}
}

// snapshotIDs are those believed, with a mark for draining ones.
func snapshotIDs(b *View, now float64) string {
	s := ""
	for _, e := range b.Snapshot(now).Entries {
		s += e.ID
		if e.State == Draining {
			s += "*"
		}
		s += " "
	}
	return s
}

func fiveEntries() []Entry {
	return []Entry{entry("a", 0), entry("b", 0), entry("c", 0), entry("d", 0), entry("x", 1)}
}

func expectSnapshot(t *testing.T, b *View, now float64, want string) {
	t.Helper()
	if got := snapshotIDs(b, now); got != want {
		t.Fatalf("at %g believed %q, want %q", now, got, want)
	}
}

func TestEmptyListNeedsConfirmation(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{1, fiveEntries()})
	b.Apply(2, List{2, nil})
	expectSnapshot(t, b, 2, "a b c d ") // the only one of its role may well have gone
	b.Apply(2.5, List{3, fiveEntries()})
	expectSnapshot(t, b, 2.5, "a b c d x ")
	b.Apply(3, List{4, nil})
	b.Apply(3.1, List{5, nil})
	expectSnapshot(t, b, 3.1, "")
}

func TestLargeRemovalIsConfirmedByTime(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{1, fiveEntries()})
	b.Apply(2, List{2, fiveEntries()[4:]})
	at, ok := b.Next()
	if !ok || at != 4 {
		t.Fatal(at, ok)
	}
	if b.Tick(3.9) || !b.Tick(4) {
		t.Fatal("not at its time")
	}
	expectSnapshot(t, b, 4, "x ")
}

// The same answer given twice, as a blocking query does when its wait ends, is no second word.
func TestRepeatedListConfirmsNothing(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{1, fiveEntries()})
	b.Apply(2, List{2, nil})
	b.Apply(2.1, List{2, nil})
	expectSnapshot(t, b, 2.1, "a b c d ")
}

func TestSmallRemovalAppliesAtOnce(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{1, fiveEntries()})
	b.Apply(2, List{2, []Entry{entry("a", 0), entry("b", 0), entry("x", 1)}})
	expectSnapshot(t, b, 2, "a b x ")
}

func TestListWithOlderIndexIsRejected(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{7, fiveEntries()[:2]})
	if b.Apply(2, List{6, fiveEntries()}) || len(b.Notes()) != 1 {
		t.Fatal("an older list is believed")
	}
	b.IndexReset()
	b.Apply(3, List{2, fiveEntries()})
	expectSnapshot(t, b, 3, "a b c d x ")
}

func TestEngineWithNewAddressOrRoleStartsAnew(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Apply(1, List{1, fiveEntries()})
	moved := fiveEntries()
	moved[0].Address, moved[1].Kind, moved[1].Role = "elsewhere:1", 1, 1
	b.Apply(5, List{2, moved})
	for _, e := range b.Snapshot(5).Entries {
		if cold := e.BootTime == 5; cold != (e.ID == "a" || e.ID == "b") {
			t.Fatalf("%+v", e)
		}
	}
	moved[0].BootTime = 9 // its own word of a start is better
	b.Apply(9.5, List{3, moved})
	if e := b.Snapshot(9.5).Entries[0]; e.BootTime != 9 {
		t.Fatalf("%+v", e)
	}
}

func TestDuplicateEngineDrains(t *testing.T) {
	b := NewView(DefaultOptions)
	twin := entry("a", 0)
	twin.Address = "b:other"
	b.Apply(1, List{1, append(fiveEntries(), twin)})
	expectSnapshot(t, b, 1, "a* b c d x ")
	twin.BootTime = 3 // now it is clear which is newer
	b.Apply(4, List{2, append(fiveEntries(), twin)})
	expectSnapshot(t, b, 4, "a b c d x ")
}

func TestFlappingEngineDrainsUntilStable(t *testing.T) {
	b := NewView(DefaultOptions)
	now, index := 1.0, uint64(1)
	hear := func(es []Entry) {
		b.Apply(now, List{index, es})
		index++
		now++
	}
	for range 3 {
		hear(fiveEntries())
		hear(fiveEntries()[1:])
	}
	hear(fiveEntries())
	expectSnapshot(t, b, now, "a* b c d x ")
	at, ok := b.Next()
	if !ok || !b.Tick(at) {
		t.Fatal("no end of it", at, ok)
	}
	expectSnapshot(t, b, at, "a b c d x ")
}

func TestSavedListIsUsedUntilSourceResponds(t *testing.T) {
	b := NewView(DefaultOptions)
	b.Restore(1, fiveEntries())
	if bel := b.Snapshot(1); !bel.Saved || len(bel.Entries) != 5 {
		t.Fatalf("%+v", bel)
	}
	b.Apply(2, List{1, fiveEntries()[1:]})
	if b.Snapshot(2).Saved {
		t.Fatal("still called saved")
	}
	expectSnapshot(t, b, 2, "b c d x ")
}

// Whatever comes, in whatever order: no engine stands twice, a draining one is never ready, an older answer changes
// nothing, and once a source says the same thing for long enough that is what is believed.
func TestViewConvergesToListUnderAnyInterleaving(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, top := NewView(DefaultOptions), 100.0, uint64(0)
		draw := func(label string) []Entry {
			var es []Entry
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				for range rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(t, label+id) {
					es = append(es, Entry{ID: id, Address: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "address"), Kind: rapid.IntRange(0, 1).Draw(t, "kind"),
						Role: 0, State: State(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "state")), BootTime: rapid.SampledFrom([]float64{0, 0, 50, now}).Draw(t, "boot")})
				}
			}
			return es
		}
		var lists []List
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.1, 1, 3, 40}).Draw(t, "pass")
			if at, ok := b.Next(); ok && at <= now {
				b.Tick(now)
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2: // news
				top++
				lists = append(lists, List{top, draw("new")})
				b.Apply(now, lists[len(lists)-1])
			case 3: // something old or repeated
				if len(lists) > 0 {
					old := rapid.SampledFrom(lists).Draw(t, "old")
					before := snapshotIDs(b, now)
					b.Apply(now, old)
					if old.Index < b.index && snapshotIDs(b, now) != before {
						t.Fatalf("an answer older than %d changed the belief", b.index)
					}
				}
			case 4: // the source begins anew
				b.IndexReset()
				top, lists = 0, nil
			case 5:
				b.Tick(now)
			}
			seen := map[string]bool{}
			for _, e := range b.Snapshot(now).Entries {
				if seen[e.ID] {
					t.Fatalf("%s stands twice", e.ID)
				}
				seen[e.ID] = true
			}
		}
		final := draw("final")
		top++
		b.Apply(now, List{top, final})
		for _, e := range final { // at once: nothing that drains is sent new work
			for _, k := range b.Snapshot(now).Entries {
				if k.ID == e.ID && len(entriesOf(final, e.ID)) == 1 && e.State == Draining && k.State != Draining {
					t.Fatalf("%s drains and is believed ready", e.ID)
				}
			}
		}
		for range 20 {
			at, ok := b.Next()
			if !ok || at > now+100 {
				break
			}
			now = max(now, at)
			b.Tick(now)
		}
		want := map[string]bool{}
		for _, e := range final {
			want[e.ID] = true
		}
		got := b.Snapshot(now).Entries
		if len(got) != len(want) {
			t.Fatalf("believed %v, listed %v", got, final)
		}
		for _, k := range got {
			twins := entriesOf(final, k.ID)
			if len(twins) == 0 || len(twins) == 1 && (k.State != twins[0].State || k.Address != twins[0].Address || k.BootTime < twins[0].BootTime) {
				t.Fatalf("believed %+v, listed %+v", k, twins)
			}
		}
	})
}

func entriesOf(es []Entry, id string) (out []Entry) {
	for _, e := range es {
		if e.ID == id {
			out = append(out, e)
		}
	}
	return out
}

// However the source behaves, a node keeps its budget of calls; and 300 that lose it together come back spread out.
func TestPollerKeepsCallBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		poller := NewPoller(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "chance") })
		at := poller.FirstCall(50)
		first, n := at, 1
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			took := rapid.SampledFrom([]float64{0, 0, 0.01, 1, 30}).Draw(t, "took")
			next := poller.AfterCall(at+took, rapid.Bool().Draw(t, "good"))
			if next < at+took {
				t.Fatalf("asks at %.3f, before the call ended at %.3f", next, at+took)
			}
			if next > at+took+poller.MaxBackoff+60 {
				t.Fatalf("asks only after %.1f s", next-at-took)
			}
			at = next
			if n++; float64(n) > poller.Burst+1+poller.CallsPerSecond*(at-first)+1e-6 {
				t.Fatalf("%d calls in %.3f s", n, at-first)
			}
		}
	})
}

func TestBackoffSpreadsCallsOfManyNodes(t *testing.T) {
	x := uint64(1)
	slots := map[int]int{}
	for range 300 {
		poller := NewPoller(func() float64 {
			x = x*6364136223846793005 + 1442695040888963407
			return float64(x>>11) / (1 << 53)
		})
		at := poller.FirstCall(0)
		for range 4 {
			at = poller.AfterCall(at, false)
		}
		slots[int(at*10)]++
	}
	most := 0
	for _, n := range slots {
		most = max(most, n)
	}
	if most > 60 {
		t.Fatalf("%d of 300 ask within a tenth of a second: %s", most, fmt.Sprint(slots))
	}
}
