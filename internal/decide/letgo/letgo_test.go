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
