package scheduler

import "math"

// This file records load reports, and weighs an old report against the mean of its kind.

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

// recordReport records an engine's load report, and pools it with those of its kind: a router that gets a report of
// each engine only now and then still has a mean of the kind.
func (s *Scheduler) recordReport(target *engine, report *LoadReport) {
	if target == nil || report == nil {
		return
	}
	target.report = *report
	target.reportAt = s.now
	target.hasReport = true
	kind := &s.kinds[target.Kind]
	kind.reportedStreams.add(s.now, reportedStreams(report), kindGain)
	kind.reportedMemory.add(s.now, report.MemoryShare, kindGain)
}

// reportFreshness is the weight of an engine's last report against the mean of its kind: 1 when new, 0 when there is none.
func (s *Scheduler) reportFreshness(target *engine) float64 {
	if !target.hasReport {
		return 0
	}
	return math.Exp(-(s.now - target.reportAt) / reportFreshTime)
}

// reportedStreams returns the streams of a report, by its count or else by its utilization.
func reportedStreams(report *LoadReport) float64 {
	if report.Has&HasActive != 0 {
		return max(0, report.Active-report.Waiting)
	}
	return report.Utilization * streamsAtFullUtilization
}

// reportsSpareCapacity tells whether an engine reports that nothing waits there and slots are free.
func reportsSpareCapacity(report *LoadReport) bool {
	return report != nil && report.Has&HasWaiting != 0 && report.Waiting < 1 && report.Utilization < spareUtilization
}
