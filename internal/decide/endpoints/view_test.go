package endpoints

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

func entry(id string, role int) Entry {
	return Entry{ID: id, Address: "a:" + id, Kind: role, Role: role, Weight: 1}
}

// ids are those believed, with a mark for draining ones.
func ids(b *Believer, now float64) string {
	s := ""
	for _, e := range b.Believed(now).Entries {
		s += e.ID
		if e.State == Draining {
			s += "*"
		}
		s += " "
	}
	return s
}

func four() []Entry {
	return []Entry{entry("a", 0), entry("b", 0), entry("c", 0), entry("d", 0), entry("x", 1)}
}

func expect(t *testing.T, b *Believer, now float64, want string) {
	t.Helper()
	if got := ids(b, now); got != want {
		t.Fatalf("at %g believed %q, want %q", now, got, want)
	}
}

func TestListThatShrinksToNothingIsConfirmed(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{1, four()})
	b.Hear(2, Answer{2, nil})
	expect(t, b, 2, "a b c d ") // the only one of its role may well have gone
	b.Hear(2.5, Answer{3, four()})
	expect(t, b, 2.5, "a b c d x ")
	b.Hear(3, Answer{4, nil})
	b.Hear(3.1, Answer{5, nil})
	expect(t, b, 3.1, "")
}

func TestShrinkingIsBelievedByTimeAlone(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{1, four()})
	b.Hear(2, Answer{2, four()[4:]})
	at, ok := b.Next()
	if !ok || at != 4 {
		t.Fatal(at, ok)
	}
	if b.Tick(3.9) || !b.Tick(4) {
		t.Fatal("not at its time")
	}
	expect(t, b, 4, "x ")
}

// The same answer given twice, as a blocking query does when its wait ends, is no second word.
func TestRepeatedAnswerConfirmsNothing(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{1, four()})
	b.Hear(2, Answer{2, nil})
	b.Hear(2.1, Answer{2, nil})
	expect(t, b, 2.1, "a b c d ")
}

func TestFewThatGoAreBelievedAtOnce(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{1, four()})
	b.Hear(2, Answer{2, []Entry{entry("a", 0), entry("b", 0), entry("x", 1)}})
	expect(t, b, 2, "a b x ")
}

func TestOldAnswersAreDropped(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{7, four()[:2]})
	if b.Hear(2, Answer{6, four()}) || len(b.Notes()) != 1 {
		t.Fatal("an older list is believed")
	}
	b.Fell()
	b.Hear(3, Answer{2, four()})
	expect(t, b, 3, "a b c d x ")
}

func TestEngineWithANewAddressOrRoleIsColdAgain(t *testing.T) {
	b := New(Defaults)
	b.Hear(1, Answer{1, four()})
	moved := four()
	moved[0].Address, moved[1].Kind, moved[1].Role = "elsewhere:1", 1, 1
	b.Hear(5, Answer{2, moved})
	for _, e := range b.Believed(5).Entries {
		if cold := e.Boot == 5; cold != (e.ID == "a" || e.ID == "b") {
			t.Fatalf("%+v", e)
		}
	}
	moved[0].Boot = 9 // its own word of a start is better
	b.Hear(9.5, Answer{3, moved})
	if e := b.Believed(9.5).Entries[0]; e.Boot != 9 {
		t.Fatalf("%+v", e)
	}
}

func TestEngineThatStandsTwiceDrains(t *testing.T) {
	b := New(Defaults)
	twin := entry("a", 0)
	twin.Address = "b:other"
	b.Hear(1, Answer{1, append(four(), twin)})
	expect(t, b, 1, "a* b c d x ")
	twin.Boot = 3 // now it is clear which is newer
	b.Hear(4, Answer{2, append(four(), twin)})
	expect(t, b, 4, "a b c d x ")
}

func TestFlappingEngineHasToStay(t *testing.T) {
	b := New(Defaults)
	now, index := 1.0, uint64(1)
	hear := func(es []Entry) {
		b.Hear(now, Answer{index, es})
		index++
		now++
	}
	for range 3 {
		hear(four())
		hear(four()[1:])
	}
	hear(four())
	expect(t, b, now, "a* b c d x ")
	at, ok := b.Next()
	if !ok || !b.Tick(at) {
		t.Fatal("no end of it", at, ok)
	}
	expect(t, b, at, "a b c d x ")
}

func TestSavedListIsBelievedUntilASourceAnswers(t *testing.T) {
	b := New(Defaults)
	b.Restore(1, four())
	if bel := b.Believed(1); !bel.Saved || len(bel.Entries) != 5 {
		t.Fatalf("%+v", bel)
	}
	b.Hear(2, Answer{1, four()[1:]})
	if b.Believed(2).Saved {
		t.Fatal("still called saved")
	}
	expect(t, b, 2, "b c d x ")
}

// Whatever comes, in whatever order: no engine stands twice, a draining one is never ready, an older answer changes
// nothing, and once a source says the same thing for long enough that is what is believed.
func TestEveryInterleavingEndsInTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now, top := New(Defaults), 100.0, uint64(0)
		draw := func(label string) []Entry {
			var es []Entry
			for _, id := range []string{"a", "b", "c", "d", "e"} {
				for range rapid.SampledFrom([]int{0, 1, 1, 1, 1, 2}).Draw(t, label+id) {
					es = append(es, Entry{ID: id, Address: rapid.SampledFrom([]string{"p", "q"}).Draw(t, "address"), Kind: rapid.IntRange(0, 1).Draw(t, "kind"),
						Role: 0, State: State(rapid.SampledFrom([]int{0, 0, 0, 1}).Draw(t, "state")), Boot: rapid.SampledFrom([]float64{0, 0, 50, now}).Draw(t, "boot")})
				}
			}
			return es
		}
		var lists []Answer
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			now += rapid.SampledFrom([]float64{0, 0.1, 1, 3, 40}).Draw(t, "pass")
			if at, ok := b.Next(); ok && at <= now {
				b.Tick(now)
			}
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2: // news
				top++
				lists = append(lists, Answer{top, draw("new")})
				b.Hear(now, lists[len(lists)-1])
			case 3: // something old or repeated
				if len(lists) > 0 {
					old := rapid.SampledFrom(lists).Draw(t, "old")
					before := ids(b, now)
					b.Hear(now, old)
					if old.Index < b.index && ids(b, now) != before {
						t.Fatalf("an answer older than %d changed the belief", b.index)
					}
				}
			case 4: // the source begins anew
				b.Fell()
				top, lists = 0, nil
			case 5:
				b.Tick(now)
			}
			seen := map[string]bool{}
			for _, e := range b.Believed(now).Entries {
				if seen[e.ID] {
					t.Fatalf("%s stands twice", e.ID)
				}
				seen[e.ID] = true
			}
		}
		final := draw("final")
		top++
		b.Hear(now, Answer{top, final})
		for _, e := range final { // at once: nothing that drains is sent new work
			for _, k := range b.Believed(now).Entries {
				if k.ID == e.ID && len(only(final, e.ID)) == 1 && e.State == Draining && k.State != Draining {
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
		got := b.Believed(now).Entries
		if len(got) != len(want) {
			t.Fatalf("believed %v, listed %v", got, final)
		}
		for _, k := range got {
			twins := only(final, k.ID)
			if len(twins) == 0 || len(twins) == 1 && (k.State != twins[0].State || k.Address != twins[0].Address || k.Boot < twins[0].Boot) {
				t.Fatalf("believed %+v, listed %+v", k, twins)
			}
		}
	})
}

func only(es []Entry, id string) (out []Entry) {
	for _, e := range es {
		if e.ID == id {
			out = append(out, e)
		}
	}
	return out
}

// However the source behaves, a node keeps its budget of calls; and 300 that lose it together come back spread out.
func TestAskingKeepsItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAsker(func() float64 { return rapid.Float64Range(0, 0.999).Draw(t, "chance") })
		at := a.Start(50)
		first, n := at, 1
		for range rapid.IntRange(1, 60).Draw(t, "calls") {
			took := rapid.SampledFrom([]float64{0, 0, 0.01, 1, 30}).Draw(t, "took")
			next := a.After(at+took, rapid.Bool().Draw(t, "good"))
			if next < at+took {
				t.Fatalf("asks at %.3f, before the call ended at %.3f", next, at+took)
			}
			if next > at+took+a.Most+60 {
				t.Fatalf("asks only after %.1f s", next-at-took)
			}
			at = next
			if n++; float64(n) > a.Burst+1+a.PerS*(at-first)+1e-6 {
				t.Fatalf("%d calls in %.3f s", n, at-first)
			}
		}
	})
}

func TestNodesThatLoseTheSourceTogetherAskApart(t *testing.T) {
	x := uint64(1)
	slots := map[int]int{}
	for range 300 {
		a := NewAsker(func() float64 {
			x = x*6364136223846793005 + 1442695040888963407
			return float64(x>>11) / (1 << 53)
		})
		at := a.Start(0)
		for range 4 {
			at = a.After(at, false)
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
