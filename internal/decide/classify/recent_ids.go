package classify

// RecentIDs remembers ids that clients chose, so that none is accepted twice: two requests with the same id could not be
// distinguished where requests are identified by id. An id is remembered for at least a time window, and longer while there are few ids.
// Under a flood of ids the oldest are forgotten even within the window. RecentIDs does not read the clock and is not safe for
// concurrent use.
type RecentIDs struct {
	minSize, maxSize int
	window           float64 // s
	ids              map[string]bool
	queue            []recentID // in order of arrival; the entries before oldest are unused
	oldest           int        // index in queue of the oldest id that is remembered
}

// recentID is an id and when it was added (s).
type recentID struct {
	id      string
	addedAt float64
}

// floodFactor is the maximum number of ids that are remembered, as a multiple of the minimum.
const floodFactor = 4

// NewRecentIDs returns a RecentIDs that remembers the latest minSize ids, even if they are older than the window (s). It also
// remembers further ids that were added within the window, up to four times minSize in all. A minSize below 1 counts as 1.
func NewRecentIDs(minSize int, window float64) *RecentIDs {
	minSize = max(1, minSize)
	return &RecentIDs{minSize: minSize, maxSize: floodFactor * minSize, window: window, ids: map[string]bool{}}
}

// Add adds an id and reports whether it is new.
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

// oldestExpired reports whether the oldest id must be forgotten.
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
