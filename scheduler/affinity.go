package scheduler

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
)

// This file chooses the engines that are likely to have a request's prefix or session cached. The ordinary path pairs
// a prefill engine by hash of the shared prefix with a decode engine of the same cell (design, "Our pairing").

const (
	// prefixWindow is the time constant, in seconds, over which the share of each prefix in the arrivals is averaged.
	prefixWindow = 30.0
	// prefixPrior is the number of requests with other prefixes that are added to the arrivals.
	prefixPrior = 5
	// maxAffinityWeight is the largest weight of a prefill engine in the hashing of prefixes; one is an even share.
	maxAffinityWeight = 1.2
	// minAffinityWeight is the least weight of a prefill engine in the hashing of prefixes.
	minAffinityWeight = 0.5
	// mixedAffinityWeight is the weight of a mixed engine in the hashing of prefixes, as it decodes too.
	mixedAffinityWeight = 0.5
	// sessionIdleTime is the time in seconds after which an idle session or prefix is forgotten.
	sessionIdleTime = 60.0
)

type session struct {
	promptTokens, usedAt float64
	prefillEngine        *engine
}

// rendezvousHash hashes a key and an engine to a number between 0 and 1; similar ids do not rank alike.
func rendezvousHash(key, id string) float64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	h.Write([]byte(key))
	s := h.Sum64()
	s = (s ^ s>>31) * 0x9e3779b97f4a7c15
	return (float64((s^s>>29)>>11) + 0.5) / (1 << 53)
}

// orderByRendezvous orders engines by weighted rendezvous hashing of a key.
func orderByRendezvous(xs []*engine, key string) {
	for _, e := range xs {
		e.rendezvousScore = -e.affinityWeight / math.Log(rendezvousHash(key, e.ID))
	}
	slices.SortFunc(xs, func(a, b *engine) int { return cmp.Compare(b.rendezvousScore, a.rendezvousScore) })
}

// cachedPrefixTokens guesses how much of a prompt a reader has kept.
func (s *Scheduler) cachedPrefixTokens(q *request, e *engine) float64 {
	if recent, ok := s.sessions[q.Session]; ok && recent.prefillEngine == e && recent.usedAt > e.BootTime {
		return min(recent.promptTokens, q.PromptTokens)
	}
	part := e.prefixHit.get(s.now, s.kinds[e.Kind].prefixHit.get(s.now, 0, 0), prefillWaitForget)
	return part * min(q.PrefixTokens, q.PromptTokens)
}

// prefillCandidates returns the usable readers in weighted rendezvous order of the shared beginning, else the session,
// the same at all routers. A hot beginning has homes by its part of our arrivals; sessions share them.
func (s *Scheduler) prefillCandidates(q *request) []*engine {
	xs := s.retryCandidates(q, s.eligibleEngines(func(e *engine) bool {
		return e.role != Decode && s.repeatAllowed(q, e) && s.slowStartAllows(q, e)
	}))
	key := q.Prefix
	if key == "" {
		key = q.Session
	}
	orderByRendezvous(xs, key)
	if q.Prefix != "" {
		x := s.prefixRates[q.Prefix]
		part := x.get(s.now, 1) / (s.prefixArrivals.get(s.now, 1) + prefixPrior)
		orderByRendezvous(xs[:min(len(xs), int(math.Ceil(part*float64(len(xs)))))], q.Session)
	}
	return xs
}

// learnPrefixHit takes the part of a beginning that was found kept: those not found are expected to be read anew.
func (s *Scheduler) learnPrefixHit(q *request, e *engine, kept float64) {
	if q.PrefixTokens > 0 {
		e.prefixHit.add(s.now, min(1, kept/q.PrefixTokens), prefillWaitGain)
		s.kinds[e.Kind].prefixHit.add(s.now, min(1, kept/q.PrefixTokens), kindGain)
	}
}
