package rules

import (
	"maps"
	"slices"
	"strings"

	"dillroute/lab/record"
)

// slowStartRule checks rule 4: in every window of the stated length, the work that all nodes together send to a warming engine
// stays under the multiple of what the engine can do at that time, with an allowance of two requests. A request weighs as much as
// the mean of its class and stage so far.
type slowStartRule struct {
	config   Config
	found    *findings
	starts   map[string]float64  // by engine: the time of its last start, where it started cold
	informed map[nodeEngine]bool // the node's list has shown the engine as ready since that start
	sent     map[string][]sentWork
	weights  map[string]*mean // by class and stage
	peak     SlowStartUse
}

// SlowStartUse is how near the work sent to a warming engine came to its budget.
type SlowStartUse struct {
	Share  float64 // of the budget; above 1 the rule is broken
	Engine string
	T      float64
}

// sentWork is work that was sent to a warming engine.
type sentWork struct {
	at, weight float64
	informed   bool // by a node that knew of the start
}

// slowStartAllowance is how many requests of mean weight may exceed the budget: a node cannot send a part of one.
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
		config:   config,
		found:    found,
		starts:   map[string]float64{},
		informed: map[nodeEngine]bool{},
		sent:     map[string][]sentWork{},
		weights:  map[string]*mean{},
	}
}

func (s *slowStartRule) observe(r record.Record) {
	switch r.Kind {
	case record.ListDelivered:
		if at, warming := s.starts[r.Engine]; warming && r.State == stateReady && r.T >= at {
			s.informed[nodeEngine{r.Node, r.Engine}] = true
		}
	case record.EngineStarted:
		s.engineStarted(r)
	case record.Arrive:
		s.arrivedAtEngine(r)
	}
}

// engineStarted takes the start of an engine; Tokens above 0 says that it is cold.
func (s *slowStartRule) engineStarted(r record.Record) {
	delete(s.starts, r.Engine)
	delete(s.sent, r.Engine)
	if r.Tokens > 0 {
		s.starts[r.Engine] = r.T
	}
	maps.DeleteFunc(s.informed, func(key nodeEngine, _ bool) bool { return key.engine == r.Engine })
}

// arrivedAtEngine checks the work of the window that ends with this record.
func (s *slowStartRule) arrivedAtEngine(r record.Record) {
	weight := s.weigh(r)
	startedAt, warming := s.starts[r.Engine]
	if !warming || r.T > startedAt+s.config.Engines[r.Engine].SlowStartSeconds {
		return
	}
	window := append(s.sent[r.Engine], sentWork{at: r.T, weight: weight, informed: s.informed[nodeEngine{r.Node, r.Engine}]})
	window = slices.DeleteFunc(window, func(w sentWork) bool { return w.at <= r.T-s.config.SlowStartWindow })
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
	mostlyInformed := informed*3 >= total*2 // two thirds of the work came from nodes that knew of the start
	if total > limit && mostlyInformed {
		s.found.report(4, r.T, "%s, %.1f s after its start, was sent %.0f tokens in %.1f s, %.1f times what it can do",
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

// capacity returns the tokens that an engine can do in one window, at an age since its start.
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

// stageOf returns the stage of a record of an engine, which begins its note.
func stageOf(r record.Record) string {
	if strings.HasPrefix(r.Note, stagePrefill) {
		return stagePrefill
	}
	return stageDecode
}
