package scheduler

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"sort"
	"strconv"
)

// This file indexes the ready engines, so that the cost of a decision doesn't grow with the number of engines. All engines of a set with at
// most smallSet engines are evaluated. In a larger set, a search ends as soon as it has found sampleSize eligible engines.

const (
	// smallSet is the largest number of engines that are all evaluated in a decision.
	smallSet = 100
	// sampleSize is the number of eligible engines among which a decision chooses in a larger set.
	sampleSize = 50
)

// engineIndex holds the engines that are listed as ready. It is rebuilt at each update of the endpoint list.
type engineIndex struct {
	prefill      engineSet // engines that prefill
	decode       engineSet // engines that decode
	decodeByCell map[int]*engineSet
	ready        [roles]int
}

func newEngineIndex(engines []*engine) engineIndex {
	index := engineIndex{decodeByCell: map[int]*engineSet{}}
	for _, target := range engines {
		if target.State != EngineReady {
			continue
		}
		index.ready[target.role]++
		if target.role != Decode {
			index.prefill.add(target)
		}
		if target.role == Prefill {
			continue
		}
		index.decode.add(target)
		if index.decodeByCell[target.Cell] == nil {
			index.decodeByCell[target.Cell] = &engineSet{}
		}
		index.decodeByCell[target.Cell].add(target)
	}
	index.prefill.arrange()
	index.decode.arrange()
	for _, set := range index.decodeByCell {
		set.arrange()
	}
	return index
}

// engineSet is a set of engines in the order of their IDs or, if there are more than smallSet, on a ring in the order of their
// positions. The order on the ring is the same at all nodes, and stays nearly the same when engines are added or removed.
type engineSet struct {
	engines []*engine
	ring    bool
}

// add appends an engine. Engines are added in the order of their IDs.
func (set *engineSet) add(target *engine) { set.engines = append(set.engines, target) }

// arrange is called when all engines have been added.
func (set *engineSet) arrange() {
	set.ring = len(set.engines) > smallSet
	if set.ring {
		slices.SortFunc(set.engines, func(a, b *engine) int { return cmp.Compare(a.ringPosition, b.ringPosition) })
	}
}

// ringPosition maps a key or an engine's ID to a position on the ring, between 0 and 1.
func ringPosition(key string) float64 { return rendezvousHash("", key) }

// indexAt returns the index of the first engine on the ring at or after a position.
func (set *engineSet) indexAt(position float64) int {
	return sort.Search(len(set.engines), func(i int) bool { return set.engines[i].ringPosition >= position })
}

// from returns a search that begins with the engine at an index. A search in a small set covers all engines in the order of the set.
func (set *engineSet) from(index int) engineSearch {
	if !set.ring {
		return engineSearch{engines: slices.Values(set.engines), limit: smallSet}
	}
	clockwise := func(yield func(*engine) bool) {
		for i := range set.engines {
			if !yield(set.engines[(index+i)%len(set.engines)]) {
				return
			}
		}
	}
	return engineSearch{engines: clockwise, limit: sampleSize}
}

// fromRandom is from with a random index. It draws no number if the set is small.
func (s *Scheduler) fromRandom(set *engineSet) engineSearch {
	if !set.ring {
		return set.from(0)
	}
	return set.from(s.rng.IntN(len(set.engines)))
}

// engineSearch is a sequence of engines, and the number of eligible ones after which a search in it ends.
type engineSearch struct {
	engines iter.Seq[*engine]
	limit   int
}

// eligibleEngines returns the engines that satisfy fits, are listed as ready (rule 3) and accept work. If none of them accepts work, it
// returns the one with the lowest failure score.
func (s *Scheduler) eligibleEngines(in engineSearch, fits func(e *engine) bool) []*engine {
	found := &searchResult{}
	s.search(in, found, fits)
	return found.candidates()
}

// eligibleDecodeEngines returns the engines that may decode a state at the engine from, like eligibleEngines. Of a large set, up to half
// of them are chosen in that engine's cell first.
func (s *Scheduler) eligibleDecodeEngines(from *engine, fits func(e *engine) bool) []*engine {
	all := &s.index.decode
	if !all.ring {
		return s.eligibleEngines(all.from(0), fits)
	}
	found := &searchResult{}
	if cell := s.index.decodeByCell[from.Cell]; cell != nil {
		near := s.fromRandom(cell)
		near.limit = sampleSize / 2
		s.search(near, found, fits)
	}
	chosen := found.eligible
	s.search(s.fromRandom(all), found, func(e *engine) bool {
		return !slices.Contains(chosen, e) && fits(e)
	})
	return found.candidates()
}

// searchResult collects what searches have found.
type searchResult struct {
	eligible   []*engine
	lastResort *engine // engine with the lowest failure score of those that don't accept work; nil if there is none
}

// search adds engines that satisfy fits to a result, until the result has as many eligible ones as the search is limited to.
func (s *Scheduler) search(in engineSearch, found *searchResult, fits func(e *engine) bool) {
	for candidate := range in.engines {
		if len(found.eligible) >= in.limit {
			return
		}
		s.evaluations++
		if candidate.State != EngineReady || !fits(candidate) {
			continue
		}
		if s.acceptsWork(candidate) {
			found.eligible = append(found.eligible, candidate)
		} else if found.lastResort == nil || candidate.failedLessThan(found.lastResort) {
			found.lastResort = candidate
		}
	}
}

// candidates returns the eligible engines or, if there are none, the last resort.
func (r *searchResult) candidates() []*engine {
	if len(r.eligible) == 0 && r.lastResort != nil {
		return []*engine{r.lastResort}
	}
	return r.eligible
}

// prefillSearch returns the engines that prefill, in the order in which they are searched for a request: from the ring position of its
// prefix or, without one, of its session. A prefix that needs more than sampleSize replicas has several such positions, over which its
// sessions are spread.
func (s *Scheduler) prefillSearch(req *request) engineSearch {
	set := &s.index.prefill
	if !set.ring {
		return set.from(0)
	}
	if req.Prefix == "" {
		return set.from(set.indexAt(ringPosition(req.Session)))
	}
	replicas := s.prefixShare(req.Prefix) * float64(len(set.engines))
	segments := int(math.Ceil(replicas / sampleSize))
	return set.from(set.indexAt(ringPosition(req.Prefix)) + segmentOf(req.Session, segments)*sampleSize)
}

// segmentOf assigns a session to one of a number of segments by rendezvous hashing, so that few sessions move when the number changes.
func segmentOf(session string, segments int) int {
	best, bestScore := 0, 0.0
	for segment := range segments {
		if score := rendezvousHash(session, strconv.Itoa(segment)); score > bestScore {
			best, bestScore = segment, score
		}
	}
	return best
}
