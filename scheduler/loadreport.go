package scheduler

import "math"

// This file records load reports, and says how far an old one can be relied upon.

const (
	// reportDelay is the time in seconds by which a load report is taken to be late.
	reportDelay = 0.2
	// reportFreshTime is the time constant, in seconds, with which an engine's report loses its weight to the mean of its kind.
	reportFreshTime = 5.0
	// streamsAtFullUtilization is the number of streams that a utilization of one stands for where reports give no count.
	streamsAtFullUtilization = 100
	// spareUtilization is the utilization below which an engine reports spare capacity.
	spareUtilization = 0.9
)

// recordReport files an engine's load report, and pools it: a router that hears of each engine only now and then
// still knows what its kind bears.
func (s *Scheduler) recordReport(e *engine, rep *LoadReport) {
	if e == nil || rep == nil {
		return
	}
	e.report, e.reportAt, e.hasReport = *rep, s.now, true
	s.kinds[e.Kind].reportedStreams.add(s.now, reportedLoad(rep, streamsAtFullUtilization), kindGain)
	s.kinds[e.Kind].reportedMemory.add(s.now, rep.MemoryShare, kindGain)
}

// reportFreshness is the trust left in an engine's last report against its kind's mean.
func (s *Scheduler) reportFreshness(e *engine) float64 {
	if !e.hasReport {
		return 0
	}
	return math.Exp(-(s.now - e.reportAt) / reportFreshTime)
}

// reportedLoad returns the streams that a report tells of; full is how many a share of one stands for.
func reportedLoad(rep *LoadReport, full float64) float64 {
	if rep.Has&HasActive != 0 {
		return max(0, rep.Active-rep.Waiting)
	}
	return rep.Utilization * full
}

// reportsSpareCapacity tells whether an engine reports that nothing waits there and slots are free.
func reportsSpareCapacity(rep *LoadReport) bool {
	return rep != nil && rep.Has&HasWaiting != 0 && rep.Waiting < 1 && rep.Utilization < spareUtilization
}
