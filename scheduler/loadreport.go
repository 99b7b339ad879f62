package scheduler

import "math"

// This file records load reports, and weights an old report against the mean of its engine kind.

const (
	// reportDelay is the assumed age of a load report at its arrival, in seconds.
	reportDelay = 0.2
	// reportFreshTime is the time constant, in seconds, with which the weight of an engine's report decays in favor of the mean of
	// its kind.
	reportFreshTime = 5.0
	// streamsAtFullUtilization is the number of streams that an engine is assumed to have at a utilization of 1, if its reports
	// give no count.
	streamsAtFullUtilization = 100
	// spareUtilization is the utilization below which a load report counts as one of spare capacity.
	spareUtilization = 0.9
)

// recordReport records an engine's load report, and adds it to the means of the engine's kind. These means are useful to a node that
// rarely gets a report from each single engine.
func (s *Scheduler) recordReport(target *engine, report *LoadReport) {
	if target == nil || report == nil {
		return
	}
	target.report = *report
	target.reportedAt = s.now
	target.hasReport = true
	kind := &s.kinds[target.Kind]
	kind.reportedStreams.add(s.now, reportedStreams(report), kindGain)
	kind.reportedMemory.add(s.now, report.MemoryShare, kindGain)
}

// reportFreshness returns the weight of an engine's last report against the mean of its kind: 1 when new, 0 if there is none.
func (s *Scheduler) reportFreshness(target *engine) float64 {
	if !target.hasReport {
		return 0
	}
	return math.Exp(-(s.now - target.reportedAt) / reportFreshTime)
}

// reportedStreams returns the number of streams in a report: from its count or, without one, from its utilization.
func reportedStreams(report *LoadReport) float64 {
	if report.Has&HasActive != 0 {
		return max(0, report.Active-report.Waiting)
	}
	return report.Utilization * streamsAtFullUtilization
}

// reportsSpareCapacity reports whether a load report shows no waiting request and a utilization below spareUtilization.
func reportsSpareCapacity(report *LoadReport) bool {
	return report != nil && report.Has&HasWaiting != 0 && report.Waiting < 1 && report.Utilization < spareUtilization
}
