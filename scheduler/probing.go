package scheduler

// This file sends routine probes, where they are the only source of load reports.

const (
	// probeBudget is the most that routine probes may cost, in points of the result for each arrival.
	probeBudget = 5e-3
	// minProbeInterval is the shortest time in seconds between two probes.
	minProbeInterval = 0.02
	// minProbedArrivals is the least rate of arrivals, in requests a second, by which the budget counts.
	minProbedArrivals = 0.5
)

// sendProbe probes the engines that decode in turn, as often as the price of a probe allows.
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

// probeEnded records a probe's report, or counts its failure against the engine.
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
