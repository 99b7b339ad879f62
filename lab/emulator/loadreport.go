package emulator

import (
	"fmt"
	"net/http"
	"time"
)

// loadReport is the load that an engine reports with its responses.
type loadReport struct {
	memoryShare float64 // share of the KV memory that is in use
	waiting     float64 // requests in the queue
	running     float64 // requests in slots
}

// addLoadReport adds the load report to the response's header in ORCA's JSON format. The load is as of its last refresh.
func (e *Engine) addLoadReport(p *process, w http.ResponseWriter) {
	p.mu.Lock()
	interval := e.LoadReportIntervalMS * max(1, e.faults.Load().LoadReportSlowFactor)
	if time.Since(p.reportedAt).Seconds()*1000 >= interval {
		p.reportedLoad = loadReport{
			memoryShare: float64(p.memoryTokens) / float64(e.MemoryTokens),
			waiting:     float64(p.waiting),
			running:     float64(p.running),
		}
		p.reportedAt = time.Now()
	}
	load := p.reportedLoad
	p.mu.Unlock()
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf(`JSON {"named_metrics":{"kv_cache_usage_perc":%.4f,`+
		`"num_requests_waiting":%g,"num_requests_running":%g}}`, load.memoryShare, load.waiting, load.running))
}

// handleMetrics responds with the current load under vLLM's metric names.
func (e *Engine) handleMetrics(p *process, w http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", p.running)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", p.waiting)
	fmt.Fprintf(w, "# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc %g\n",
		float64(p.memoryTokens)/float64(e.MemoryTokens))
}
