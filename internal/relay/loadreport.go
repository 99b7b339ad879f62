package relay

import (
	"encoding/json"
	"strconv"
	"strings"

	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// Bounds of a load report.
const (
	maxLoadReport = 512 // bytes of its text
	maxLoadValue  = 1e9 // of any value
)

// parseLoadReport parses a load report. It returns nil if there is none or if it is malformed.
func parseLoadReport(text string) *scheduler.LoadReport {
	if text == "" || len(text) > maxLoadReport {
		return nil
	}
	report := &scheduler.LoadReport{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < maxLoadValue) {
			return nil
		}
		settings.SetReportField(report, name, x)
	}
	if report.Has == 0 {
		return nil
	}
	return report
}

// cachedTokens returns how many prompt tokens a prefill engine had cached; 0 = not stated, or out of range.
func cachedTokens(body []byte) int {
	var b struct {
		Cached float64 `json:"cached_tokens"`
	}
	if json.Unmarshal(body, &b) != nil || !(b.Cached >= 0 && b.Cached <= maxTokens) {
		return 0
	}
	return int(b.Cached)
}
