package classify

// RecentIDs remembers ids that clients chose, so that one is not taken twice: a second request under the id of a first would
// be taken for it by whoever knows requests by their ids. An id is remembered for a stated time at least, and longer while few
// are; under a flood of ids the oldest go first. It does not read the clock and is not safe for concurrent use.
type RecentIDs struct {
	few, most int
	window    float64
	ids       map[string]bool
	queue     []seenID // in order of arrival, from first on
	first     int
}

// seenID is an id and when it was taken (s).
type seenID struct {
	id string
	at float64
}

// floodFactor is how many times as many ids are remembered under a flood as else.
const floodFactor = 4

// NewRecentIDs returns a memory of so many ids, at least one, and of those taken within the window (s), if that is more, up to four
// times as many.
func NewRecentIDs(few int, window float64) *RecentIDs {
	few = max(1, few)
	return &RecentIDs{few: few, most: floodFactor * few, window: window, ids: map[string]bool{}}
}

// Add notes an id and tells whether it is new.
func (r *RecentIDs) Add(now float64, id string) bool {
	if r.ids[id] {
		return false
	}
	r.ids[id] = true
	r.queue = append(r.queue, seenID{id, now})
	for r.tooMany(now) {
		delete(r.ids, r.queue[r.first].id)
		r.queue[r.first] = seenID{}
		r.first++
	}
	if r.first > len(r.queue)/2 {
		r.queue = append(r.queue[:0:0], r.queue[r.first:]...)
		r.first = 0
	}
	return true
}

// tooMany tells whether the oldest id is to be forgotten.
func (r *RecentIDs) tooMany(now float64) bool {
	n := len(r.queue) - r.first
	return n > r.most || n > r.few && now > r.queue[r.first].at+r.window
}
