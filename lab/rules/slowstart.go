package rules

import (
	"maps"
	"slices"
	"strings"

	"dillroute/lab/record"
)

// slowStartRule checks rule 4 for each window of length Config.SlowStartWindow. The budget for the work that all nodes together send to
// an engine in slow start is Config.OverloadMultiple times the engine's capacity at that time, plus an allowance of two requests. The
// rule is violated if the work exceeds the budget and at least two thirds of it came from nodes whose endpoint lists showed the
// engine's start. Each request counts with the mean work of its class and stage so far.
type slowStartRule struct {
	config     Config
	findings   *findings
	coldStarts map[string]float64    // by engine: the time of its last start (Unix seconds), if it was a cold start
	informed   map[nodeEngine]bool   // whether the node's list has shown the engine as ready since its last start
	sent       map[string][]sentWork // by engine: the work in the current window
	weights    map[string]*mean      // by class and stage: the mean work of a request (tokens)
	peak       SlowStartUse          // the greatest use of a budget so far
}

// SlowStartUse is the work that was sent to an engine in slow start within one window, as a fraction of the engine's budget.
type SlowStartUse struct {
	Share  float64 // fraction of the budget that was used; a violation needs more than 1
	Engine string
	T      float64 // end of the window (Unix seconds)
}

// sentWork is work that was sent to an engine in slow start.
type sentWork struct {
	sentAt, weight float64 // Unix seconds; tokens
	informed       bool    // the sending node's endpoint list showed the start
}

// slowStartAllowance is the part of the budget that does not depend on the capacity, in requests of mean work. It is needed because
// requests cannot be split.
const slowStartAllowance = 2

// mean is a running mean.
type mean struct{ sum, count float64 }

func (m *mean) add(x float64) {
	m.sum += x
	m.count++
}

func (m *mean) value() float64 { return m.sum / m.count }

func newSlowStartRule(config Config, found *findings) *slowStartRule {
	return &slowStartRule{
		config:     config,
		findings:   found,
		coldStarts: map[string]float64{},
		informed:   map[nodeEngine]bool{},
		sent:       map[string][]sentWork{},
		weights:    map[string]*mean{},
	}
}

func (s *slowStartRule) observe(r record.Record) {
	switch r.Kind {
	case record.ListDelivered:
		if at, warming := s.coldStarts[r.Engine]; warming && r.State == stateReady && r.T >= at {
			s.informed[nodeEngine{r.Node, r.Engine}] = true
		}
	case record.EngineStarted:
		s.engineStarted(r)
	case record.AttemptArrived:
		s.checkArrival(r)
	}
}

// engineStarted processes the start of an engine; Tokens above 0 marks a cold start.
func (s *slowStartRule) engineStarted(r record.Record) {
	delete(s.coldStarts, r.Engine)
	delete(s.sent, r.Engine)
	if r.Tokens > 0 {
		s.coldStarts[r.Engine] = r.T
	}
	maps.DeleteFunc(s.informed, func(key nodeEngine, _ bool) bool { return key.engine == r.Engine })
}

// checkArrival checks the work in the window that ends with the arrival of an attempt at an engine in slow start.
func (s *slowStartRule) checkArrival(r record.Record) {
	weight := s.weigh(r)
	startedAt, warming := s.coldStarts[r.Engine]
	if !warming || r.T > startedAt+s.config.Engines[r.Engine].SlowStartSeconds {
		return
	}
	window := append(s.sent[r.Engine], sentWork{sentAt: r.T, weight: weight, informed: s.informed[nodeEngine{r.Node, r.Engine}]})
	window = slices.DeleteFunc(window, func(w sentWork) bool { return w.sentAt <= r.T-s.config.SlowStartWindow })
	s.sent[r.Engine] = window

	total, informed := 0.0, 0.0
	for _, w := range window {
		total += w.weight
		if w.informed {
			informed += w.weight
		}
	}
	age := r.T - startedAt
	capacity := s.capacity(r, age)
	limit := s.config.OverloadMultiple*capacity + slowStartAllowance*weight
	if share := total / limit; share > s.peak.Share {
		s.peak = SlowStartUse{Share: share, Engine: r.Engine, T: r.T}
	}
	mostlyInformed := informed*3 >= total*2 // at least two thirds of the work came from nodes whose list showed the start
	if total > limit && mostlyInformed {
		s.findings.report(4, r.T, "%s, %.1f s after its start, was sent %.0f tokens in %.1f s, %.1f times its capacity",
			r.Engine, age, total, s.config.SlowStartWindow, total/capacity)
	}
}

// weigh adds the work of a record to the mean of its class and stage, and returns the mean.
func (s *slowStartRule) weigh(r record.Record) float64 {
	key := r.Class + stageOf(r)
	m := s.weights[key]
	if m == nil {
		m = &mean{}
		s.weights[key] = m
	}
	m.add(r.Work)
	return m.value()
}

// capacity returns the number of tokens that an engine can process in one window, for the stage of the record r. age is the time since
// the engine's start (s).
func (s *slowStartRule) capacity(r record.Record, age float64) float64 {
	engine := s.config.Engines[r.Engine]
	rate := engine.DecodeTokensPerSecond
	if stageOf(r) == stagePrefill {
		rate = engine.PrefillTokensPerSecond
	}
	progress := min(1, max(0, age)/max(1e-9, engine.SlowStartSeconds))
	share := min(1, engine.SlowStartShare+(1-engine.SlowStartShare)*progress)
	return rate * share * s.config.SlowStartWindow
}

// The stages of a request.
const (
	stagePrefill = "prefill"
	stageDecode  = "decode"
)

// stageOf returns the stage of an engine's record. The note of a record of the prefill stage begins with its name.
func stageOf(r record.Record) string {
	if strings.HasPrefix(r.Note, stagePrefill) {
		return stagePrefill
	}
	return stageDecode
}
