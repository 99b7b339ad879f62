package classify

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// An id is new once: for as long as fewer others than the size have come since, and within the window as long as fewer than
// four times as many have; memory is bounded.
func TestRecentIDsAreNewOnce(t *testing.T) {
	type taken struct {
		id string
		at float64
	}
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 20).Draw(t, "size")
		window := rapid.Float64Range(0, 5).Draw(t, "window")
		few, now, all := max(1, size), 0.0, []taken{}
		r := NewRecentIDs(size, window)
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 1).Draw(t, "later")
			id := fmt.Sprint("id", rapid.IntRange(0, 120).Draw(t, "id"))
			known := false
			for i, x := range all {
				since := len(all) - i - 1
				known = known || x.id == id && (since < few || since < floodFactor*few && now <= x.at+window)
			}
			fresh := r.Add(now, id)
			if known && fresh {
				t.Fatalf("%s was taken again within its window, or as one of the last %d", id, few)
			}
			if fresh {
				all = append(all, taken{id, now})
			}
			if len(r.ids) > floodFactor*few || len(r.queue) > 2*floodFactor*few+2 {
				t.Fatalf("%d ids are held in %d places", len(r.ids), len(r.queue))
			}
		}
	})
}

// What is beyond the window and not among the last is forgotten.
func TestRecentIDsForgetOldestBeyondWindow(t *testing.T) {
	r := NewRecentIDs(2, 10)
	for i, id := range []string{"a", "b", "c"} {
		r.Add(float64(i), id)
	}
	if r.Add(5, "a") {
		t.Error("a was forgotten within its window")
	}
	r.Add(11.5, "d")
	if !r.Add(11.5, "a") {
		t.Error("a is remembered beyond its window, three others having come since")
	}
}
