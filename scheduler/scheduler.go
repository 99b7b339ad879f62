package scheduler

import (
	"math"
	"math/rand/v2"
)

// This file is one step of a scheduler: apply the events, decide once, set one timer.
//
// The ordinary path is SABER's admission rule (paper, section IV-C, algorithm 1): a queued request is admitted to a decode
// engine only if the online curve f(L) of speed against concurrency says that it and each stream there keep their
// objective for the time per output token, and if its first token can come in time.

// recheckInterval is the time in seconds between looks at waiting requests when nothing else happens.
const recheckInterval = 0.02

// randomStream selects the sequence of random draws beside the seed.
const randomStream = 0x9e3779b97f4a7c15

// Scheduler decides for one router. It is not safe for concurrent use: one goroutine owns it and all its fields.
type Scheduler struct {
	cfg     Config
	rng     *rand.Rand
	begun   bool    // Step has been called
	started float64 // time of the first step
	now     float64
	actions []Action // of this step, in order

	// Endpoint view.
	engines      map[string]*engine
	engineList   []*engine // in order of ID; decisions range over this list and never over the map
	mostReady    [roles]int
	watchActive  bool
	watchCheckAt float64

	// Requests.
	requests     map[string]*request
	openRequests []*request // without a final response, in order of arrival

	// Performance models.
	kinds            []kindStats
	classes          []classStats
	links            map[linkKey]*link
	predictionError  [roles]gauge // seconds by which attempts' times differed from their predictions
	meanPromptTokens gauge
	meanOutputTokens gauge
	completedWork    [roles]decayingRate // work of prefills ended and streams begun
	lastSuccess      [roles]float64      // when an engine of the role last succeeded
	arrivals         decayingRate
	bestFirstToken   firstTokenBound // of the latest request that was looked at

	// Prefix affinity.
	sessions       map[string]session
	prefixRates    map[string]decayingRate
	prefixArrivals decayingRate // all arrivals, over the same window as each prefix's
	sweepAt        float64

	// Quotas, exploration, probes and timers.
	quotas             []tokenBucket // by tenant
	awaitingFirstToken int           // attempts of which neither the first token nor the outcome has come
	lastProgressAt     float64       // when the latest of these came
	nextProbeAt        float64
	probeCursor        int
	timerAt            float64
	timerToken         int64
}

// New returns a scheduler, or an error that names the field of an impossible Config. The seed decides all random draws.
func New(cfg Config, seed uint64) (*Scheduler, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	return &Scheduler{
		cfg:         cfg,
		rng:         rand.New(rand.NewPCG(seed, randomStream)),
		engines:     map[string]*engine{},
		requests:    map[string]*request{},
		kinds:       make([]kindStats, len(cfg.Kinds)),
		classes:     make([]classStats, len(cfg.Classes)),
		links:       map[linkKey]*link{},
		sessions:    map[string]session{},
		prefixRates: map[string]decayingRate{},
		quotas:      make([]tokenBucket, len(cfg.Tenants)),
	}, nil
}

// Step applies the events up to now, in order, decides once, and returns the actions in the order in which the host
// carries them out. The package comment states its contract.
func (s *Scheduler) Step(now float64, events []Event) []Action {
	if !s.begun {
		s.begin(now)
	}
	s.now = max(now, s.now)
	s.actions = nil
	for _, event := range events {
		s.handle(event)
	}
	s.schedule()
	s.armTimer()
	return s.actions
}

func (s *Scheduler) begin(now float64) {
	s.begun = true
	s.started = now
	for i := range s.kinds {
		s.kinds[i].curve.terms[0] = initialSecondsPerOutputToken
	}
}

// handle passes an event to the file of its concern.
func (s *Scheduler) handle(event Event) {
	switch event := event.(type) {
	case EndpointUpdate:
		s.updateEndpoints(event)
	case Request:
		s.requestArrived(event)
	case FirstToken:
		s.firstTokenArrived(event)
	case Outcome:
		s.exemptUnsentAttempt(event)
		s.attemptEnded(event)
	case ClientDisconnected:
		s.clientDisconnected(event)
	case StateReleased:
		s.stateReleased(event)
	case ProbeResult:
		s.probeEnded(event)
	case TimerFired:
		if event.Token == s.timerToken {
			s.timerAt = 0
		}
	}
}

func (s *Scheduler) emit(action Action) { s.actions = append(s.actions, action) }

// schedule is the one decision pass of a step: it expires requests, cancels stuck attempts, places prefilled states, and
// admits queued requests, those of the high tier first.
func (s *Scheduler) schedule() {
	s.watchEndpoints()
	s.forgetIdleSessions()
	var high, low []*request
	for _, req := range append([]*request(nil), s.openRequests...) {
		if req.stage == stageStreaming || s.expire(req) {
			continue
		}
		s.cancelStuckAttempt(req)
		s.cancelAttemptWithoutState(req)
		if req.stage == stagePrefilled {
			s.placePrefilled(req)
		}
		if req.stage != stageQueued {
			continue
		}
		if req.lowTier {
			low = append(low, req)
		} else {
			high = append(high, req)
		}
	}
	sortByDeadline(high)
	if len(s.admitHighTier(high)) == 0 {
		sortByDeadline(low)
		s.admitLowTier(low)
	}
	s.sendProbe()
}

// armTimer sets one timer, for the earliest time at which something is to be looked at.
func (s *Scheduler) armTimer() {
	at := math.Inf(1)
	for _, req := range s.openRequests {
		at = min(at, s.nextLook(req))
	}
	if s.cfg.PollsDiscovery {
		at = min(at, s.watchCheckAt)
	}
	if s.nextProbeAt > 0 {
		at = min(at, s.nextProbeAt)
	}
	s.setTimer(max(at, s.now+s.cfg.Tick))
}

// nextLook is when an open request must be looked at again; infinite when it need not be.
func (s *Scheduler) nextLook(req *request) float64 {
	switch req.stage {
	case stageQueued, stagePrefilled:
		return min(s.now+recheckInterval, req.finalResponseDue) // its time may be up before the next look
	case stageStreaming:
		return math.Inf(1)
	}
	at := req.deadline - s.responseMargin()
	if overdue := s.overdueAt(req.inFlight); overdue > s.now {
		at = min(at, overdue+s.cfg.Tick)
	}
	return at
}

// setTimer asks for a TimerFired, unless one is due earlier.
func (s *Scheduler) setTimer(at float64) {
	if math.IsInf(at, 1) || s.timerAt > s.now && s.timerAt <= at {
		return
	}
	s.timerToken++
	s.timerAt = at
	s.emit(SetTimer{At: at, Token: s.timerToken})
}
