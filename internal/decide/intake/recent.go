package intake

// Recent remembers ids that clients chose, so that one is not taken twice: a second request under the id of a first would
// be taken for it by whoever knows requests by their ids. It holds a bounded number; the oldest go first. It is not safe for
// concurrent use.
type Recent struct {
	ids  map[string]bool
	ring []string
	next int
}

// NewRecent returns a memory of so many ids, at least one.
func NewRecent(size int) *Recent {
	size = max(1, size)
	return &Recent{ids: make(map[string]bool, size), ring: make([]string, size)}
}

// Take notes an id and tells whether it is new.
func (r *Recent) Take(id string) bool {
	if r.ids[id] {
		return false
	}
	if old := r.ring[r.next]; old != "" {
		delete(r.ids, old)
	}
	r.ids[id], r.ring[r.next] = true, id
	r.next = (r.next + 1) % len(r.ring)
	return true
}
