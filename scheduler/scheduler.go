// The decision module. Its interface (Config, Event and Action types) is api.go.
//
// The ordinary path is SABER's admission rule (paper, Section IV, Algorithm 1): a held request
// is admitted to a writer only if the online curve f of speed against concurrency says that it
// and every stream there keep their token pace, and if its first token can come in time.

package scheduler

import (
	"math"
	"math/rand/v2"
)

// recheckInterval is the time in seconds between looks at waiting requests when nothing else happens.
const recheckInterval = 0.02

// Step takes what has happened up to now, in order, and returns what is to be done.
func (s *Scheduler) Step(now float64, events []Event) []Action {
	if !s.begun {
		s.begun, s.started = true, now
		for i := range s.kinds {
			s.kinds[i].curve.terms[0] = initialSecondsPerOutputToken
		}
	}
	s.now, s.actions = max(now, s.now), nil
	for _, ev := range events {
		s.handle(ev)
	}
	s.schedule()
	s.armTimer()
	return s.actions
}

// schedule is the one decision pass of a step.
func (s *Scheduler) schedule() {
	s.housekeeping()
	var tiers [2][]*request
	for _, q := range append([]*request(nil), s.openRequests...) {
		if q.stage == stageStreaming || s.expire(q) {
			continue
		}
		s.cancelStuckAttempt(q)
		if q.stage == stagePrefilled {
			s.placePrefilled(q)
		}
		if q.stage == stageQueued {
			tier := 0
			if q.lowTier {
				tier = 1
			}
			tiers[tier] = append(tiers[tier], q)
		}
	}
	sortByDeadline(tiers[0])
	if len(s.admitHighTier(tiers[0])) == 0 {
		sortByDeadline(tiers[1])
		for i, fails := 0, 0; i < len(tiers[1]) && fails < drawWindowSize; i++ { // bounded: thousands may wait
			if !s.admit(tiers[1][i], true) {
				fails++
			}
		}
	}
	s.sendProbe()
}

// armTimer sets one timer, for the earliest moment at which something is to be looked at.
func (s *Scheduler) armTimer() {
	at := math.Inf(1)
	for _, q := range s.openRequests {
		if q.stage == stageQueued || q.stage == stagePrefilled {
			at = min(at, s.now+recheckInterval, q.finalResponseDue) // its time may be up before the next look
		} else if q.stage != stageStreaming {
			at = min(at, q.deadline-s.responseMargin())
			if look := s.overdueAt(q, q.at()); look > s.now {
				at = min(at, look+s.cfg.Tick)
			}
		}
	}
	if s.cfg.PollsDiscovery {
		at = min(at, s.watchCheckAt)
	}
	if s.nextProbeAt > 0 {
		at = min(at, s.nextProbeAt)
	}
	s.setTimer(max(at, s.now+s.cfg.Tick))
}

// Scheduler decides for one node. It is not safe for concurrent use.
type Scheduler struct {
	cfg                      Config
	rng                      *rand.Rand
	now, started             float64
	actions                  []Action
	engines                  map[string]*engine
	engineList               []*engine // in order of id
	requests                 map[string]*request
	openRequests             []*request // in order of arrival
	kinds                    []kindStats
	classes                  []classStats
	sessions                 map[string]session
	links                    map[linkKey]*link
	quotas                   []tokenBucket
	completedWork            [3]decayingRate // weight of reads ended and streams begun for us, by role
	mostReady                [3]int          // engines of each role that were ready at once
	predictionError          [3]gauge        // by role: s by which attempts' times missed our predictions
	lastSuccess              [3]float64      // by role: when an engine last answered
	arrivals, prefixArrivals decayingRate
	meanPromptTokens         gauge // tokens of the requests that came
	meanOutputTokens         gauge // and of their answers, as guessed
	prefixRates              map[string]decayingRate
	timerAt                  float64
	timerToken               int64
	nextProbeAt              float64
	probeCursor              int
	watchCheckAt, sweepAt    float64
	watchActive, begun       bool
	awaitingFirstToken       int     // attempts of which neither the first token nor the end has come
	lastProgressAt           float64 // when one of those came last
	leastTimeToFirstToken    float64 // the least time to a first token that was predicted last
	leastFirstTokenLatency   float64 // of the listed writers, in this pass
}

// New returns a router, or an error that names the field of an impossible Config.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	r := &Scheduler{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		prefixRates: map[string]decayingRate{}, engines: map[string]*engine{}, requests: map[string]*request{},
		sessions: map[string]session{},
		links:    map[linkKey]*link{}, kinds: make([]kindStats, len(cfg.Kinds)),
		classes: make([]classStats, len(cfg.Classes)), quotas: make([]tokenBucket, len(cfg.Tenants))}
	return r, nil
}

// handle hands an event to what files it.
func (s *Scheduler) handle(ev Event) {
	switch ev := ev.(type) {
	case EndpointUpdate:
		s.updateEndpoints(ev)
	case Request:
		s.requestArrived(ev)
	case FirstToken:
		s.firstTokenArrived(ev)
	case Outcome:
		s.exemptUnsentAttempt(ev)
		s.attemptEnded(ev)
	case ClientDisconnected:
		if q := s.requests[ev.ID]; q != nil && !q.done {
			s.finish(q, nil)
		}
	case ProbeResult:
		s.probeEnded(ev)
	case TimerFired:
		if ev.Token == s.timerToken {
			s.timerAt = 0
		}
	}
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// setTimer asks for a wake at a time, unless an earlier one is due.
func (s *Scheduler) setTimer(at float64) {
	if !math.IsInf(at, 1) && (s.timerAt <= s.now || s.timerAt > at) {
		s.timerToken++
		s.timerAt = at
		s.emit(SetTimer{at, s.timerToken})
	}
}
