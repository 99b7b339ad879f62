package engine

import (
	"encoding/json"
	"net/textproto"
	"strconv"
	"strings"

	"dillroute/scheduler"
)

// loadHeader carries the load of an engine with its responses (ORCA, Open Request Cost Aggregation).
const loadHeader = "Endpoint-Load-Metrics"

// maxLoadHeader bounds the value of a load header, in bytes.
const maxLoadHeader = 4096

// parseLoadReport parses a load header in ORCA's JSON or TEXT format. It returns nil if there is none or if it is malformed.
func parseLoadReport(h textproto.MIMEHeader) *scheduler.LoadReport {
	v := h.Get(loadHeader)
	if v == "" || len(v) > maxLoadHeader {
		return nil
	}
	format, rest, _ := strings.Cut(v, " ")
	switch strings.ToUpper(format) {
	case "JSON":
		return parseJSONLoad(rest)
	case "TEXT":
		return parseTextLoad(rest)
	}
	return nil
}

// parseJSONLoad parses ORCA's JSON format.
func parseJSONLoad(text string) *scheduler.LoadReport {
	var orca struct {
		Application *float64           `json:"application_utilization"`
		CPU         *float64           `json:"cpu_utilization"`
		Named       map[string]float64 `json:"named_metrics"`
	}
	if json.Unmarshal([]byte(text), &orca) != nil {
		return nil
	}
	r := namedMetrics(func(name string) (float64, bool) { x, ok := orca.Named[name]; return x, ok })
	for _, util := range []*float64{orca.CPU, orca.Application} {
		if util != nil {
			r.Utilization, r.Has = *util, r.Has|scheduler.HasUtilization
		}
	}
	return validReport(r)
}

// parseTextLoad parses ORCA's TEXT format: name=value pairs, separated by commas.
func parseTextLoad(text string) *scheduler.LoadReport {
	values := map[string]float64{}
	for _, part := range strings.Split(text, ",") {
		k, x, _ := strings.Cut(strings.TrimSpace(part), "=")
		if f, err := strconv.ParseFloat(strings.TrimSpace(x), 64); err == nil {
			values[strings.TrimPrefix(strings.TrimSpace(k), "named_metrics.")] = f
		}
	}
	r := namedMetrics(func(name string) (float64, bool) { x, ok := values[name]; return x, ok })
	for _, name := range []string{"cpu_utilization", "application_utilization"} {
		if x, ok := values[name]; ok {
			r.Utilization, r.Has = x, r.Has|scheduler.HasUtilization
		}
	}
	return validReport(r)
}

// namedMetrics returns a load report from the metrics that vLLM publishes. Active includes waiting requests, as in scheduler.LoadReport.
func namedMetrics(get func(string) (float64, bool)) *scheduler.LoadReport {
	r := &scheduler.LoadReport{}
	if x, ok := get("kv_cache_usage_perc"); ok {
		r.MemoryShare, r.Has = x, r.Has|scheduler.HasMemoryShare
	}
	waiting, hasWaiting := get("num_requests_waiting")
	if hasWaiting {
		r.Waiting, r.Has = waiting, r.Has|scheduler.HasWaiting
	}
	if running, ok := get("num_requests_running"); ok {
		r.Active, r.Has = running+waiting, r.Has|scheduler.HasActive
	}
	return r
}

// validReport returns r, or nil if r has no value or one that is out of range.
func validReport(r *scheduler.LoadReport) *scheduler.LoadReport {
	for _, x := range []float64{r.Active, r.Waiting, r.Utilization, r.MemoryShare} {
		if !(x >= 0 && x < 1e9) {
			return nil
		}
	}
	if r.Has == 0 {
		return nil
	}
	return r
}
