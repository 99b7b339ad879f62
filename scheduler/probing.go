package scheduler

// This file sends routine health checks, where they are the only source of load reports.

// probeBudget is the most that routine probes may cost, in points of the result for each arrival.
const probeBudget = 5e-3

// sendProbe asks the writers in turn for their load where reports come in no other way, as often as the price
// of a probe allows.
func (s *Scheduler) sendProbe() {
	if s.cfg.ReportStyle != ReportOnProbe || !s.cfg.Limits.Probe || s.now < s.nextProbeAt {
		return
	}
	perSecond := probeBudget * max(0.5, s.arrivals.get(s.now, rateWindow))
	s.nextProbeAt = s.now + max(0.02, s.cfg.Prices.Probe/perSecond)
	for range s.engineList {
		e := s.engineList[s.probeCursor%len(s.engineList)]
		s.probeCursor++
		if e.State == EngineReady && !e.probeInFlight && e.role != Prefill {
			e.probeInFlight = true
			s.emit(Probe{e.ID})
			return
		}
	}
}

func (s *Scheduler) probeEnded(ev ProbeResult) {
	e := s.engines[ev.Engine]
	if e == nil {
		return
	}
	e.probeInFlight = false
	s.recordReport(e, ev.Report)
	if ev.Report == nil && ev.Status != Completed && ev.Status != Rejected {
		s.recordEvidence(e, 1)
	}
}
