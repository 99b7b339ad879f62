package scheduler

import (
	"math"
	"math/rand/v2"
)

// This file implements one step of a scheduler: it applies the events, makes one decision pass and sets one timer.
//
// The main path is SABER's admission rule (paper, section IV-C, algorithm 1). A queued request is admitted to a decode engine
// only if two conditions hold. First, the concurrency curve f(L), which is fitted online, predicts that the request and each
// stream at the engine meet their objectives for the time per output token. Second, the request's first token is predicted to
// arrive before it is due by the latency objective.

// recheckInterval is the time in seconds after which waiting requests are checked again if no event comes first.
const recheckInterval = 0.02

// randomStream is the second seed word of the random generator; the first is the seed passed to New.
const randomStream = 0x9e3779b97f4a7c15

// Scheduler makes the decisions of one node. It is not safe for concurrent use: one goroutine owns it and all its fields.
type Scheduler struct {
	cfg         Config
	rng         *rand.Rand
	initialized bool    // Step has been called
	startedAt   float64 // time of the first step
	now         float64
	actions     []Action // actions of the current step, in order

	// Endpoint view.
	engines          map[string]*engine
	engineList       []*engine // in order of ID; decisions iterate over this list, never over the map, to be reproducible
	index            engineIndex
	fleetBounds      fleetBounds
	maxReady         [roles]int // largest number of engines of each role that were ever ready at the same time
	watchActive      bool
	nextWatchCheckAt float64

	// Requests.
	requests     map[string]*request
	openRequests []*request // requests without a final response, in order of arrival

	// Performance models.
	kinds             []kindStats
	classes           []classStats
	links             map[linkKey]*link
	slowStartTurnText turnText
	predictionError   [roles]decayingMean // mean absolute error of the predicted times of attempts, in seconds
	meanPromptTokens  decayingMean
	meanOutputTokens  decayingMean
	completedWork     [roles]decayingRate // work of completed prefills and of started streams, in tokens per second
	lastSuccess       [roles]float64      // time of the latest success of any engine of the role
	arrivals          decayingRate
	firstTokenBound   firstTokenBound // of the request that was checked last

	// Prefix affinity.
	sessions       map[string]session
	prefixRates    map[string]decayingRate
	prefixArrivals decayingRate // all arrivals, over the same window as those of each prefix
	nextSweepAt    float64

	// Quotas, exploration, probes and timers.
	quotas             []tokenBucket // by tenant
	awaitingFirstToken int           // attempts in flight that have not streamed a first token
	lastProgressAt     float64       // when an attempt last streamed its first token, or ended without one
	nextProbeAt        float64
	probeCursor        int
	timerAt            float64
	timerToken         int64

	// Work of the current step (PassLoad).
	evaluations int
	interrupted bool
}

// New returns a scheduler for a configuration, or an error that names the field with an invalid value. The seed determines all
// random draws.
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

// Step applies the events up to now, in order, makes one decision pass, and returns the actions in the order in which the host
// must carry them out. The package comment states its contract.
func (s *Scheduler) Step(now float64, events []Event) []Action {
	if !s.initialized {
		s.initialize(now)
	}
	s.now = max(now, s.now)
	s.actions = nil
	s.evaluations = 0
	if len(s.engineList) <= smallSet {
		s.fleetBounds.refreshAt = s.now
	}
	for _, event := range events {
		s.handle(event)
	}
	s.schedule()
	s.armTimer()
	return s.actions
}

func (s *Scheduler) initialize(now float64) {
	s.initialized = true
	s.startedAt = now
	for i := range s.kinds {
		s.kinds[i].curve.terms[0] = initialSecondsPerOutputToken
	}
}

// handle dispatches an event to its handler.
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

// schedule is the decision pass of a step. It expires requests, cancels stuck attempts, sends requests whose states wait to
// decode engines, and admits queued requests. The low tier is admitted only if no request of the high tier still waits.
func (s *Scheduler) schedule() {
	s.watchEndpoints()
	s.evictIdleSessions()
	order := s.passOrder()
	s.interrupted = false
	var high, low []*request
	for _, req := range order {
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

// armTimer sets one timer, for the earliest time at which a request, the subscription or a probe must be checked again.
func (s *Scheduler) armTimer() {
	at := math.Inf(1)
	for _, req := range s.openRequests {
		at = min(at, s.nextCheck(req))
	}
	if s.cfg.PollsDiscovery {
		at = min(at, s.nextWatchCheckAt)
	}
	if s.nextProbeAt > 0 {
		at = min(at, s.nextProbeAt)
	}
	if s.interrupted {
		at = s.now
	}
	s.setTimer(max(at, s.now+s.cfg.Tick))
}

// nextCheck returns the time at which an open request must be checked again, or +Inf if it need not be.
func (s *Scheduler) nextCheck(req *request) float64 {
	switch req.stage {
	case stageQueued, stagePrefilled:
		return min(s.now+recheckInterval, req.finalResponseDue) // it may expire before the next check
	case stageStreaming:
		return math.Inf(1)
	}
	at := req.deadline - s.responseMargin()
	if overdue := s.overdueAt(req.inFlight); overdue > s.now {
		at = min(at, overdue+s.cfg.Tick)
	}
	return at
}

// setTimer requests a TimerFired at a time, unless a timer for that time or an earlier one is already set.
func (s *Scheduler) setTimer(at float64) {
	if math.IsInf(at, 1) || s.timerAt > s.now && s.timerAt <= at {
		return
	}
	s.timerToken++
	s.timerAt = at
	s.emit(SetTimer{At: at, Token: s.timerToken})
}
