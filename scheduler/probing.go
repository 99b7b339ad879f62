package scheduler

// This file sends routine probes if they are the only source of load reports.

const (
	// probeBudget is the highest cost of routine probes, in points of the result per request that arrives.
	probeBudget = 5e-3
	// minProbeInterval is the shortest time in seconds between two probes.
	minProbeInterval = 0.02
	// minProbedArrivals is the lower bound of the arrival rate, in requests per second, from which the budget is computed.
	minProbedArrivals = 0.5
)

// sendProbe probes the decode and mixed engines in turn, as often as probeBudget allows at the price of a probe.
func (s *Scheduler) sendProbe() {
	if s.cfg.ReportStyle != ReportOnProbe || !s.cfg.Limits.Probe || s.now < s.nextProbeAt {
		return
	}
	pointsPerSecond := probeBudget * max(minProbedArrivals, s.arrivals.get(s.now, rateWindow))
	s.nextProbeAt = s.now + max(minProbeInterval, s.cfg.Prices.Probe/pointsPerSecond)
	for range s.engineList {
		target := s.engineList[s.probeCursor%len(s.engineList)]
		s.probeCursor++
		if target.State == EngineReady && !target.probeInFlight && target.role != Prefill {
			target.probeInFlight = true
			s.emit(Probe{Engine: target.ID})
			return
		}
	}
}

// probeEnded records a probe's load report, or counts its failure against the engine.
func (s *Scheduler) probeEnded(result ProbeResult) {
	target := s.engines[result.Engine]
	if target == nil {
		return
	}
	target.probeInFlight = false
	s.recordReport(target, result.Report)
	if result.Report == nil && result.Status != Completed && result.Status != Rejected {
		s.recordFailure(target)
	}
}
