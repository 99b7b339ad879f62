package intake

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// An id is new once, for as long as fewer others than the size have come since; memory is bounded.
func TestRecentProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(0, 20).Draw(t, "size")
		r, taken := NewRecent(size), []string{}
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			id := fmt.Sprint("id", rapid.IntRange(0, 30).Draw(t, "id"))
			within := false
			for _, x := range taken[max(0, len(taken)-max(1, size)):] {
				within = within || x == id
			}
			if r.Take(id) == within {
				t.Fatalf("%s: new %v, among the last %v", id, !within, within)
			}
			if !within {
				taken = append(taken, id)
			}
			if len(r.ids) > max(1, size) {
				t.Fatalf("%d ids are held", len(r.ids))
			}
		}
	})
}
