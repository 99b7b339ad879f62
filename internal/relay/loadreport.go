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
	maxFigure     = 1e9 // of any figure
)

// parseLoad reads a load report; nil = there is none, or it is malformed.
func parseLoad(text string) *scheduler.LoadReport {
	if text == "" || len(text) > maxLoadReport {
		return nil
	}
	rep := &scheduler.LoadReport{}
	for _, part := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(value, 64)
		if err != nil || !(x >= 0 && x < maxFigure) {
			return nil
		}
		settings.SetReportField(rep, name, x)
	}
	if rep.Has == 0 {
		return nil
	}
	return rep
}

// cachedTokens reads how many prompt tokens a prefill engine had cached; 0 = not stated.
func cachedTokens(body []byte) int {
	var b struct {
		Cached float64 `json:"cached_tokens"`
	}
	if json.Unmarshal(body, &b) != nil || !(b.Cached >= 0 && b.Cached <= maxTokens) {
		return 0
	}
	return int(b.Cached)
}
