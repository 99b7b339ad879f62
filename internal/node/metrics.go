package node

import (
	"bytes"
	"log/slog"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/common/expfmt"
)

// Kinds of final responses: the values of the label kind.
const (
	responseCompleted      = "completed"       // the response of an engine was forwarded completely
	responseFailed         = "failed"          // the request may have had an effect; a retry is not declared safe
	responseRejected       = "rejected"        // the response declares a retry safe
	responseNotAdmitted    = "not_admitted"    // rejected before the request entered the request table
	responseInvalidRequest = "invalid_request" // an engine's rejection of the request as invalid was forwarded
)

// Reasons for state releases: the values of the label reason.
const (
	releaseUnneeded = "unneeded" // no attempt will fetch the state
	releaseAtLimit  = "limit"    // no attempt had used the state when its release was due
	releaseRepeated = "again"    // a release at the limit is repeated, because an attempt in flight may have been waiting for the state
	releaseAfterCut = "cut"      // an attempt that was cut off may have left a state
)

// metrics are the metrics of one node, in a registry of their own.
type metrics struct {
	registry            *prometheus.Registry
	responses           *prometheus.CounterVec
	tableFaults         prometheus.Counter
	overloadRejections  *prometheus.CounterVec
	descriptorShortages prometheus.Counter
	ruleViolations      *prometheus.CounterVec
	connectionsClosed   *prometheus.CounterVec
	stateReleases       *prometheus.CounterVec
	releaseCalls        *prometheus.CounterVec
	timeToFirstToken    prometheus.Histogram
	stepSeconds         prometheus.Histogram
	stepEvaluations     prometheus.Histogram
	stepsInterrupted    prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		responses: newCounterVec("dillroute_responses_total",
			"Final responses, by kind.", "kind"),
		tableFaults: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dillroute_request_table_faults_total",
			Help: "Scheduler actions and reported events that contradicted the request table and were not carried out.",
		}),
		overloadRejections: newCounterVec("dillroute_overload_rejections_total",
			"Requests rejected because the node itself was overloaded, by reason.", "reason"),
		descriptorShortages: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dillroute_descriptor_shortages_total",
			Help: "Sockets that could not be opened because no file descriptor was left.",
		}),
		ruleViolations: newCounterVec("dillroute_rule_violations_total",
			"Rule violations, by rule and reason; expected to stay 0.", "rule", "reason"),
		connectionsClosed: newCounterVec("dillroute_client_connections_closed_total",
			"Client connections closed, by reason.", "reason"),
		stateReleases: newCounterVec("dillroute_state_releases_total",
			"State releases started, by reason.", "reason"),
		releaseCalls: newCounterVec("dillroute_state_release_calls_total",
			"State release calls to engines, by result.", "result"),
		timeToFirstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dillroute_time_to_first_token_seconds",
			Help:    "Time from the arrival of a request to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 12),
		}),
		stepSeconds: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dillroute_scheduler_step_seconds",
			Help:    "Duration of one scheduler step.",
			Buckets: prometheus.ExponentialBuckets(1e-5, 2, 14),
		}),
		stepEvaluations: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "dillroute_scheduler_step_evaluations",
			Help:    "How often a scheduler step checked or scored an engine for a request.",
			Buckets: prometheus.ExponentialBuckets(16, 4, 12),
		}),
		stepsInterrupted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "dillroute_scheduler_steps_interrupted_total",
			Help: "Scheduler steps that reached their limit of evaluations and left work for the next step.",
		}),
	}
	m.registry.MustRegister(m.responses, m.tableFaults, m.overloadRejections, m.descriptorShortages, m.ruleViolations,
		m.connectionsClosed, m.stateReleases, m.releaseCalls, m.timeToFirstToken, m.stepSeconds, m.stepEvaluations, m.stepsInterrupted)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

// countResponse counts a final response of a kind.
func (m *metrics) countResponse(kind string) { m.responses.WithLabelValues(kind).Inc() }

// countStateRelease counts a state release that has started, by its reason.
func (m *metrics) countStateRelease(reason string) { m.stateReleases.WithLabelValues(reason).Inc() }

// countReleaseCall counts a release call that has ended, by its result.
func (m *metrics) countReleaseCall(result string) { m.releaseCalls.WithLabelValues(result).Inc() }

// observeStep records the duration of a scheduler step, and how many evaluations of engines it made.
func (m *metrics) observeStep(step schedulerStep) {
	m.stepSeconds.Observe(step.seconds)
	m.stepEvaluations.Observe(float64(step.load.Evaluations))
	if step.load.Interrupted {
		m.stepsInterrupted.Inc()
	}
}

// exposition returns the metrics in the text format of Prometheus.
func (m *metrics) exposition(log *slog.Logger) []byte {
	var b bytes.Buffer
	families, err := m.registry.Gather()
	if err != nil {
		log.Error("metrics not gathered completely", "error", err.Error())
	}
	for _, f := range families {
		expfmt.MetricFamilyToText(&b, f) // writes to memory and cannot fail
	}
	return b.Bytes()
}
