package settings

import "dillroute/scheduler"

// thousandTokens is the unit in which the platform's load reports state waiting tokens.
const thousandTokens = 1000

// SetReportField sets a figure of a load report by its name in the settings object or in the platform's documentation. Unknown names are
// ignored.
func SetReportField(report *scheduler.LoadReport, name string, figure float64) {
	switch name {
	case "active", "inflight":
		report.Active = figure
		report.Has |= scheduler.HasActive
	case "waiting", "queue":
		report.Waiting = figure
		report.Has |= scheduler.HasWaiting
	case "cpu", "util":
		report.Utilization = figure
		report.Has |= scheduler.HasUtilization
	case "avg_ms", "latency_ms":
		report.LatencyMS = figure
		report.Has |= scheduler.HasLatency
	case "x0":
		report.MemoryShare = figure
		report.Has |= scheduler.HasMemoryShare
	case "x1":
		report.TokensWaiting = figure * thousandTokens
		report.Has |= scheduler.HasTokensWaiting
	}
}
