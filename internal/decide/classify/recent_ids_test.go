package classify

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// idHistory lists the ids that TestRecentIDsAreNewOnce has added, in order.
type idHistory []recentID

// remembered reports whether an id must be remembered: fewer than minSize others have been added since, or it was added within the
// window and fewer than floodFactor*minSize others have been added since.
func (h idHistory) remembered(id string, now, window float64, minSize int) bool {
	for i, added := range h {
		since := len(h) - i - 1
		if added.id == id && (since < minSize || since < floodFactor*minSize && now <= added.addedAt+window) {
			return true
		}
	}
	return false
}

// An id is not new again while fewer than the minimum number of others have been added since. Within the window, that number is
// four times as large. The memory is bounded.
func TestRecentIDsAreNewOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 20).Draw(t, "size")
		window := rapid.Float64Range(0, 5).Draw(t, "window")
		minSize := max(1, size)
		recent := NewRecentIDs(size, window)
		var history idHistory
		now := 0.0
		for range rapid.IntRange(0, 200).Draw(t, "n") {
			now += rapid.Float64Range(0, 1).Draw(t, "later")
			id := fmt.Sprint("id", rapid.IntRange(0, 120).Draw(t, "id"))
			remembered := history.remembered(id, now, window, minSize)
			added := recent.Add(now, id)
			if remembered && added {
				t.Fatalf("%s was added again within its window, or as one of the last %d", id, minSize)
			}
			if added {
				history = append(history, recentID{id: id, addedAt: now})
			}
			if len(recent.ids) > floodFactor*minSize || len(recent.queue) > 2*floodFactor*minSize+2 {
				t.Fatalf("%d ids are remembered in a queue of length %d: the memory is not bounded", len(recent.ids), len(recent.queue))
			}
		}
	})
}

// An id that was added before the window is forgotten unless it is among the minimum number of latest ids.
func TestRecentIDsForgetOldestBeyondWindow(t *testing.T) {
	recent := NewRecentIDs(2, 10)
	for i, id := range []string{"a", "b", "c"} {
		recent.Add(float64(i), id)
	}
	if recent.Add(5, "a") {
		t.Error("a was forgotten within its window")
	}
	recent.Add(11.5, "d")
	if !recent.Add(11.5, "a") {
		t.Error("a is remembered beyond its window, after three others")
	}
}
