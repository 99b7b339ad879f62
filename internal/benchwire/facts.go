package benchwire

import (
	"strconv"
	"strings"

	"dillroute/internal/settings"
	"dillroute/scheduler"
)

// report reads the load report of a line; keys that are not known are passed over.
func (r *record) report() *scheduler.LoadReport {
	s := r.kv["report"]
	if s == "" || s == "-" {
		return nil
	}
	rep := &scheduler.LoadReport{}
	for _, part := range strings.Split(s, ",") {
		k, v, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil {
			r.fail("report", "%q is not name:number", clip(part))
			return nil
		}
		settings.SetReportField(rep, k, x)
	}
	return rep
}
