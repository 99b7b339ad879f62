package shutdown

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Each stream is ended once, before the deadline. The cutoffs are evenly spread, the youngest stream first, for any order of the input.
func TestCutoffsAreSpreadYoungestFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 200).Draw(t, "n")
		now := rapid.Float64Range(0, 1e9).Draw(t, "now")
		timeLeft := rapid.Float64Range(0.5, 60).Draw(t, "time left")
		startedAt := map[string]float64{}
		var streams []Stream
		for i := range n {
			stream := Stream{ID: fmt.Sprint("s", i), StartedAt: now - float64(rapid.IntRange(0, 100).Draw(t, "age"))}
			startedAt[stream.ID] = stream.StartedAt
			streams = append(streams, stream)
		}
		cutoffs := CutoffSchedule(now, now+timeLeft, rapid.IntRange(1, 300).Draw(t, "nodes"), streams)
		if len(cutoffs) != n {
			t.Fatalf("%d cutoffs of %d streams", len(cutoffs), n)
		}
		for i, cutoff := range cutoffs {
			if cutoff.At < now || cutoff.At > now+timeLeft {
				t.Fatalf("cutoff at %g, outside %g to %g", cutoff.At, now, now+timeLeft)
			}
			if i == 0 {
				continue
			}
			if startedAt[cutoff.ID] > startedAt[cutoffs[i-1].ID] {
				t.Fatal("an older stream is ended before a younger one")
			}
			if gap := cutoff.At - cutoffs[i-1].At; gap < 0 || gap > timeLeft/float64(n) {
				t.Fatalf("gap of %g among %d streams", gap, n)
			}
			delete(startedAt, cutoffs[i-1].ID)
		}
	})
}

// A node without time left ends all streams immediately.
func TestCutoffsWithoutTimeAreImmediate(t *testing.T) {
	for _, cutoff := range CutoffSchedule(10, 9, 2, []Stream{{ID: "a", StartedAt: 1}, {ID: "b", StartedAt: 2}}) {
		if cutoff.At != 10 {
			t.Fatalf("got %+v, want a cutoff at 10", cutoff)
		}
	}
}

// With many nodes, streams have most of the time to end by themselves; with a few nodes, some streams are ended early.
func TestCutoffsAreLaterWithManyNodes(t *testing.T) {
	streams := []Stream{{ID: "a", StartedAt: 1}, {ID: "b", StartedAt: 2}, {ID: "c", StartedAt: 3}}
	if at := CutoffSchedule(10, 13, 300, streams)[0].At; at < 12.4 {
		t.Errorf("one of 300 nodes ends a stream after %.2f of 3 s", at-10)
	}
	if at := CutoffSchedule(10, 13, 2, streams)[0].At; at > 12 {
		t.Errorf("one of 2 nodes ends its first stream only after %.2f of 3 s", at-10)
	}
}
