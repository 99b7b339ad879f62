package shutdown

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// Every stream is ended once, within the time, evenly spread, the youngest first, whatever order they are given in.
func TestStreamsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 200).Draw(t, "n")
		now := rapid.Float64Range(0, 1e9).Draw(t, "now")
		left := rapid.Float64Range(0.5, 60).Draw(t, "left")
		since := map[string]float64{}
		var streams []Stream
		for i := range n {
			s := Stream{fmt.Sprint("s", i), now - float64(rapid.IntRange(0, 100).Draw(t, "age"))}
			since[s.ID], streams = s.StartedAt, append(streams, s)
		}
		moves := CutoffSchedule(now, now+left, rapid.IntRange(1, 300).Draw(t, "nodes"), streams)
		if len(moves) != n {
			t.Fatalf("%d moves of %d streams", len(moves), n)
		}
		for i, m := range moves {
			if m.At < now || m.At > now+left {
				t.Fatalf("move at %g, outside %g to %g", m.At, now, now+left)
			}
			if i == 0 {
				continue
			}
			if since[m.ID] > since[moves[i-1].ID] {
				t.Fatal("an older stream goes first")
			}
			if gap := m.At - moves[i-1].At; gap < 0 || gap > left/float64(n) {
				t.Fatalf("gap of %g among %d streams", gap, n)
			}
			delete(since, moves[i-1].ID)
		}
	})
}

// A node whose time is up ends all at once.
func TestNoTimeLeft(t *testing.T) {
	for _, m := range CutoffSchedule(10, 9, 2, []Stream{{"a", 1}, {"b", 2}}) {
		if m.At != 10 {
			t.Fatalf("%+v", m)
		}
	}
}

// Where there are many nodes, what can end by itself within most of the time does; of a few, some streams move early.
func TestManyNodesLetStreamsEnd(t *testing.T) {
	streams := []Stream{{"a", 1}, {"b", 2}, {"c", 3}}
	if at := CutoffSchedule(10, 13, 300, streams)[0].At; at < 12.4 {
		t.Errorf("of 300 nodes one ends a stream after %.2f of 3 s", at-10)
	}
	if at := CutoffSchedule(10, 13, 2, streams)[0].At; at > 12 {
		t.Errorf("of 2 nodes one ends its first stream only after %.2f of 3 s", at-10)
	}
}
