package letgo

import (
	"testing"

	"pgregory.net/rapid"
)

// Calls end, never come after the time, and come at least twice where the first was lost and time is left.
func TestCallsAreBoundedAndInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := rapid.Float64Range(0, 1e9).Draw(t, "now")
		p := Plan{By: now + rapid.Float64Range(0.001, 10).Draw(t, "left")}
		calls := 1
		for {
			now += rapid.Float64Range(0, 0.5).Draw(t, "took")
			o := Lost
			if rapid.IntRange(0, 9).Draw(t, "answered") == 0 {
				o = Answered
			}
			at, again := p.Next(now, o)
			if !again {
				if o == Lost && calls == 1 && now < p.By {
					t.Fatalf("given up after one lost call with %.3f s left", p.By-now)
				}
				break
			}
			if o == Answered || at < now || at > p.By {
				t.Fatalf("outcome %d at %.3f: again at %.3f, by %.3f", o, now, at, p.By)
			}
			now = at
			if calls++; calls > mostTries {
				t.Fatalf("%d calls", calls)
			}
		}
	})
}

// Who answered last comes before who failed last; the holder comes first among its likes; nobody is left out.
func TestOrderOfThoseAsked(t *testing.T) {
	got := ""
	for _, e := range Order([]Engine{
		{ID: "dead holder", Holder: true, Good: 1, Bad: 5},
		{ID: "gone", Good: 9},
		{ID: "old", Listed: true, Good: 2},
		{ID: "new", Listed: true, Good: 8, Bad: 3},
		{ID: "silent", Listed: true, Bad: 4},
	}) {
		got += e.ID + ", "
	}
	if want := "new, old, gone, silent, dead holder, "; got != want {
		t.Errorf("%s; want %s", got, want)
	}
	if first := Order([]Engine{{ID: "a", Listed: true, Good: 9}, {ID: "h", Listed: true, Holder: true}})[0].ID; first != "h" {
		t.Errorf("the holder comes first, not %s", first)
	}
}

func TestCallsLeaveTimeForOthers(t *testing.T) {
	p := Plan{By: 11}
	if w := p.Within(10); w > 0.3 {
		t.Errorf("one call may take %g of a second", w)
	}
	if w := p.Within(12); w <= 0 {
		t.Errorf("a call has %g s", w)
	}
	if Ready(5, false) != 5 || Ready(5, true) <= 5 {
		t.Error("only what was cut waits")
	}
}

func TestAnotherEngineIsAskedAtOnce(t *testing.T) {
	p := Plan{By: 11, Any: true}
	if at, again := p.Next(10, Lost); !again || at != 10 {
		t.Errorf("again %v at %g", again, at)
	}
	if _, again := p.Next(11, Lost); again {
		t.Error("asked again when its time was up")
	}
	if _, again := p.Next(10, Answered); again {
		t.Error("asked again after an answer")
	}
}
