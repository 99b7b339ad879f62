package classify

// RecentIDs remembers ids that clients chose, so that none is accepted twice: a second request under the id of another would be
// taken for it by everything that knows requests by their ids. An id is remembered for a window of time at least, and longer
// while there are few; under a flood of ids the oldest are forgotten first. RecentIDs does not read the clock and is not safe
// for concurrent use.
type RecentIDs struct {
	minSize, maxSize int
	window           float64 // s
	ids              map[string]bool
	queue            []recentID // in order of arrival, from oldest on
	oldest           int
}

// recentID is an id and when it was added (s).
type recentID struct {
	id      string
	addedAt float64
}

// floodFactor is the ratio of the ids that are remembered under a flood to those without one.
const floodFactor = 4

// NewRecentIDs returns a memory of minSize ids, at least one, and of those added within the window (s), if they are more, up to
// four times as many.
func NewRecentIDs(minSize int, window float64) *RecentIDs {
	minSize = max(1, minSize)
	return &RecentIDs{minSize: minSize, maxSize: floodFactor * minSize, window: window, ids: map[string]bool{}}
}

// Add adds an id and tells whether it is new.
func (r *RecentIDs) Add(now float64, id string) bool {
	if r.ids[id] {
		return false
	}
	r.ids[id] = true
	r.queue = append(r.queue, recentID{id: id, addedAt: now})
	for r.oldestExpired(now) {
		r.forgetOldest()
	}
	if r.oldest > len(r.queue)/2 {
		r.queue = append(r.queue[:0:0], r.queue[r.oldest:]...)
		r.oldest = 0
	}
	return true
}

// oldestExpired tells whether the oldest id is to be forgotten.
func (r *RecentIDs) oldestExpired(now float64) bool {
	size := len(r.queue) - r.oldest
	if size > r.maxSize {
		return true
	}
	return size > r.minSize && now > r.queue[r.oldest].addedAt+r.window
}

func (r *RecentIDs) forgetOldest() {
	delete(r.ids, r.queue[r.oldest].id)
	r.queue[r.oldest] = recentID{}
	r.oldest++
}
