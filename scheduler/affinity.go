package scheduler

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// This file chooses the engines that are likely to have a request's prefix or session cached. The main path pairs a prefill
// engine, chosen by a hash of the shared prefix, with a decode engine of the same cell (design, "Our pairing").

const (
	// prefixWindow is the time constant, in seconds, over which the share of each prefix in the arrivals is averaged.
	prefixWindow = 30.0
	// prefixPrior is added to the number of arrivals, as if so many requests with other prefixes had arrived.
	prefixPrior = 5
	// maxAffinityWeight is the largest weight of a prefill engine in the hashing of prefixes; 1 is an equal share.
	maxAffinityWeight = 1.2
	// minAffinityWeight is the smallest weight of a prefill engine in the hashing of prefixes.
	minAffinityWeight = 0.5
	// mixedAffinityWeight is the weight of a mixed engine in the hashing of prefixes. It is small because the engine decodes too.
	mixedAffinityWeight = 0.5
	// sessionIdleTime is the time in seconds after which an idle session or prefix is evicted.
	sessionIdleTime = 60.0
	// maxNames is the largest number of sessions, and of prefixes, that are remembered. Clients choose these names.
	maxNames = 16_384
)

// session records the latest prefill of a client's session.
type session struct {
	promptTokens  float64
	usedAt        float64
	prefillEngine *engine
}

// rendezvousHash hashes a key and an engine's ID to a number between 0 and 1. Similar IDs get uncorrelated numbers.
func rendezvousHash(key, id string) float64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	hash.Write([]byte(key))
	sum := hash.Sum64()
	sum = (sum ^ sum>>31) * 0x9e3779b97f4a7c15
	return (float64((sum^sum>>29)>>11) + 0.5) / (1 << 53)
}

// orderByRendezvous orders engines by weighted rendezvous hashing of a key.
func orderByRendezvous(engines []*engine, key string) {
	for _, candidate := range engines {
		candidate.rendezvousScore = -candidate.affinityWeight / math.Log(rendezvousHash(key, candidate.ID))
	}
	slices.SortFunc(engines, func(a, b *engine) int { return cmp.Compare(b.rendezvousScore, a.rendezvousScore) })
}

// prefillCandidates returns the engines that may prefill a request, its preferred replica first. They are in weighted rendezvous
// order of the prefix, or of the session if the request has no prefix; the order is the same at all nodes. A hot prefix has
// several preferred replicas, in proportion to its share of the arrivals; its sessions are spread over them.
func (s *Scheduler) prefillCandidates(req *request) []*engine {
	searched := 0
	candidates := s.retryCandidates(req, s.eligibleEngines(s.prefillSearch(req), func(e *engine) bool {
		searched++
		return s.repeatAllowed(req, e) && s.slowStartAllows(req, e)
	}))
	if req.Prefix == "" {
		orderByRendezvous(candidates, req.Session)
		return candidates
	}
	orderByRendezvous(candidates, req.Prefix)
	// The candidates stand for their share of all engines that prefill.
	fleetPerSearched := float64(len(s.index.prefill.engines)) / float64(max(1, searched))
	replicas := int(math.Ceil(s.prefixShare(req.Prefix) * float64(len(candidates)) * fleetPerSearched))
	orderByRendezvous(candidates[:min(len(candidates), replicas)], req.Session)
	return candidates
}

// prefixShare returns the share of a prefix in this node's arrivals. Since the latest arrival, each of the two counts decays with a time
// constant of 1 s instead of prefixWindow.
func (s *Scheduler) prefixShare(prefix string) float64 {
	rate := s.prefixRates[prefix]
	return rate.get(s.now, 1) / (s.prefixArrivals.get(s.now, 1) + prefixPrior)
}

func (s *Scheduler) countPrefix(prefix string) {
	s.prefixArrivals.add(s.now, 1, prefixWindow)
	rate := s.prefixRates[prefix]
	rate.add(s.now, 1, prefixWindow)
	s.prefixRates[prefix] = rate
	evictOldest(s.prefixRates, func(rate decayingRate) float64 { return rate.updatedAt })
}

// rememberSession records the latest prefill of a session.
func (s *Scheduler) rememberSession(name string, latest session) {
	s.sessions[name] = latest
	evictOldest(s.sessions, func(latest session) float64 { return latest.usedAt })
}

// evictOldest removes the half of the entries that were used least recently if there are more than maxNames.
func evictOldest[V any](entries map[string]V, usedAt func(V) float64) {
	if len(entries) <= maxNames {
		return
	}
	var times []float64
	for _, entry := range entries {
		times = append(times, usedAt(entry))
	}
	slices.Sort(times)
	oldestKept := times[len(times)/2]
	maps.DeleteFunc(entries, func(_ string, entry V) bool { return usedAt(entry) < oldestKept })
	if len(entries) > maxNames { // all were used at the same time
		clear(entries)
	}
}

// cachedPrefixTokens predicts how many tokens of a prompt an engine has cached. If the engine has prefilled the session's latest
// prompt since its start, that is the whole of this prompt. Otherwise it is the mean share of shared prefixes that was found there.
func (s *Scheduler) cachedPrefixTokens(req *request, target *engine) float64 {
	if s.engineWithSession(req) == target {
		return min(s.sessions[req.Session].promptTokens, req.PromptTokens)
	}
	return s.prefixHitRate(target) * min(req.PrefixTokens, req.PromptTokens)
}

// engineWithSession returns the engine that has prefilled the latest prompt of the request's session since its start, or nil.
func (s *Scheduler) engineWithSession(req *request) *engine {
	latest, ok := s.sessions[req.Session]
	if !ok || latest.usedAt <= latest.prefillEngine.BootTime {
		return nil
	}
	return latest.prefillEngine
}

// prefixHitRate returns the mean share of shared prefixes that is found cached at an engine.
func (s *Scheduler) prefixHitRate(target *engine) float64 {
	return target.prefixHitRate.get(s.now, s.kinds[target.Kind].prefixHitRate.get(s.now, 0, 0), prefillWaitDecayTime)
}

// learnPrefixHitRate records the share of a shared prefix that was found cached. Predictions assume that the rest is prefilled again.
func (s *Scheduler) learnPrefixHitRate(req *request, target *engine, cached float64) {
	if req.PrefixTokens > 0 {
		share := min(1, cached/req.PrefixTokens)
		target.prefixHitRate.add(s.now, share, prefillWaitGain)
		s.kinds[target.Kind].prefixHitRate.add(s.now, share, kindGain)
	}
}

// evictIdleSessions removes the sessions and prefixes that have been idle for sessionIdleTime.
func (s *Scheduler) evictIdleSessions() {
	if s.now < s.nextSweepAt {
		return
	}
	s.nextSweepAt = s.now + sessionIdleTime/4
	maps.DeleteFunc(s.prefixRates, func(_ string, rate decayingRate) bool { return s.now-rate.updatedAt > sessionIdleTime })
	maps.DeleteFunc(s.sessions, func(_ string, latest session) bool { return s.now-latest.usedAt > sessionIdleTime })
}

// updateAffinityWeights sets the weight of each prefill engine to the square root of a quotient, within fixed bounds: the ratio of
// decode to prefill engines in its cell, divided by this ratio in the fleet. With these weights, states seldom have to leave their
// cell. Nodes with the same endpoint list compute the same weights.
func (s *Scheduler) updateAffinityWeights() {
	ready := countReady(s.engineList)
	for _, target := range s.engineList {
		if target.role == Mixed {
			target.affinityWeight = mixedAffinityWeight
			continue
		}
		cell, all := ready.byCell[target.Cell], ready.all
		ratio := cell.decode / max(1, cell.prefill) * all.prefill / max(1, all.decode)
		target.affinityWeight = max(minAffinityWeight, min(maxAffinityWeight, math.Sqrt(ratio)))
	}
}
