// Package overhead measures the latency, CPU time and memory that a router adds. The node and a plain httputil.ReverseProxy forward to
// the same emulated engine, each in a process of its own, and receive the same load one after the other.
package overhead

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Target is a process to measure.
type Target struct {
	Name    string
	Address string
	PID     int    // 0 = CPU time and memory are not measured, as for the engine itself
	Admin   string // address that serves the node's metrics; "" = none
}

// Plan is the load for one target. All loads are bounded.
type Plan struct {
	ClosedLoopRequests int           // requests of the closed loop, which measures the request rate
	Workers            int           // concurrent workers of the closed loop, each with one request at a time
	OpenLoopRequests   int           // requests of the open loop, which measures latency
	Rate               float64       // requests per second of the open loop
	Streams            int           // idle connections, and then streams, that are open at the same time to measure memory
	BurstStreams       int           // concurrent streams that measure events without intervals
	BurstEvents        int           // events of each of the BurstStreams
	SteadyStreams      int           // concurrent streams with one event every 10 ms, as engines generate tokens
	Settle             time.Duration // delay before resident memory is read
}

// DefaultPlan is the plan of docs/benchmarks.md.
var DefaultPlan = Plan{
	ClosedLoopRequests: 20000,
	Workers:            64,
	OpenLoopRequests:   5000,
	Rate:               1000,
	Streams:            5000,
	BurstStreams:       64,
	BurstEvents:        4000,
	SteadyStreams:      500,
	Settle:             2 * time.Second,
}

const (
	warmUpRequests   = 500
	steadyEvents     = 500 // events of each of the SteadyStreams
	steadyIntervalMS = 10
)

// The histogram of latencies holds microseconds up to a minute, with three significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// requestsPerError is the minimum number of requests per failed request. With more failures, the results are not meaningful.
const requestsPerError = 1000

// Result holds the measurements of a target. For a target without a PID, the values per core and of memory are 0.
type Result struct {
	Name                   string  `json:"name"`
	P50, P99               float64 `json:"-"` // latency in the open loop, in seconds
	P50ms                  float64 `json:"p50_ms"`
	P99ms                  float64 `json:"p99_ms"`
	RequestsPerS           float64 `json:"requests_per_s"`
	RequestsPerCore        float64 `json:"requests_per_core_s"`
	EventsPerS             float64 `json:"events_per_s"`
	EventsPerCore          float64 `json:"events_per_core_s"`       // of streams without intervals between events
	SteadyEventsPerCore    float64 `json:"typed_events_per_core_s"` // of streams with an interval between events
	BytesPerIdleConnection float64 `json:"resident_bytes_per_idle_connection"`
	BytesPerStream         float64 `json:"resident_bytes_per_open_stream"`
	DecideP99ms            float64 `json:"decide_p99_ms"` // duration of a scheduler step, 99th percentile
	Errors                 int64   `json:"errors"`
}

// Measure sends the load of a plan to one target with an API key, and writes its progress to out. It returns an error if too many
// requests failed or not all streams could be opened.
func Measure(ctx context.Context, t Target, p Plan, key string, out io.Writer) (Result, error) {
	result := Result{Name: t.Name}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: p.Streams + p.Workers}
	generator := &loadGenerator{target: t, key: key, client: &http.Client{Transport: transport}}
	defer generator.client.CloseIdleConnections()
	generator.closedLoop(ctx, warmUpRequests, p.Workers, 1, nil)
	generator.measureLatency(ctx, p, &result)
	fmt.Fprintf(out, "%s: open loop done\n", t.Name)
	generator.measureRate(ctx, p, &result)
	fmt.Fprintf(out, "%s: closed loop done\n", t.Name)
	generator.measureBurst(ctx, p, &result)
	generator.measureSteadyStreams(ctx, p, &result)
	fmt.Fprintf(out, "%s: events done\n", t.Name)
	if err := generator.measureMemory(ctx, p, &result); err != nil {
		return result, err
	}
	result.Errors = generator.errors.Load()
	if result.Errors*requestsPerError > int64(p.ClosedLoopRequests+p.OpenLoopRequests) {
		return result, fmt.Errorf("%s: %d requests failed; the results are not meaningful", t.Name, result.Errors)
	}
	return result, nil
}

// measureLatency measures the latency of requests in the open loop, and the time that the node's scheduler takes per step.
func (l *loadGenerator) measureLatency(ctx context.Context, p Plan, result *Result) {
	before := decideCounts(l.target.Admin)
	latencies := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	l.openLoop(ctx, p.OpenLoopRequests, p.Rate, latencies)
	result.P50 = float64(latencies.ValueAtQuantile(50)) / 1e6
	result.P99 = float64(latencies.ValueAtQuantile(99)) / 1e6
	result.P50ms = result.P50 * 1e3
	result.P99ms = result.P99 * 1e3
	result.DecideP99ms = quantile(before, decideCounts(l.target.Admin), 0.99) * 1e3
}

// measureRate measures requests per second in the closed loop.
func (l *loadGenerator) measureRate(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	start := time.Now()
	l.closedLoop(ctx, p.ClosedLoopRequests, p.Workers, 1, nil)
	elapsed := time.Since(start).Seconds()
	used := cpuSeconds(l.target.PID) - cpu
	result.RequestsPerS = float64(p.ClosedLoopRequests) / elapsed
	result.RequestsPerCore = perCore(float64(p.ClosedLoopRequests), used)
}

// measureBurst measures events per second of streams that the engine writes as fast as it can.
func (l *loadGenerator) measureBurst(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	start := time.Now()
	var events atomic.Int64
	l.closedLoop(ctx, p.BurstStreams, p.BurstStreams, p.BurstEvents, &events)
	elapsed := time.Since(start).Seconds()
	used := cpuSeconds(l.target.PID) - cpu
	result.EventsPerS = float64(events.Load()) / elapsed
	result.EventsPerCore = perCore(float64(events.Load()), used)
}

// measureSteadyStreams measures events per second of CPU time for streams whose events arrive steadyIntervalMS apart.
func (l *loadGenerator) measureSteadyStreams(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	var events atomic.Int64
	var streams sync.WaitGroup
	for range p.SteadyStreams {
		streams.Add(1)
		go func() {
			defer streams.Done()
			l.request(ctx, steadyEvents, steadyIntervalMS, &events)
		}()
	}
	streams.Wait()
	result.SteadyEventsPerCore = perCore(float64(events.Load()), cpuSeconds(l.target.PID)-cpu)
}

// perCore returns n per second of CPU time, or 0 if the CPU time is unknown.
func perCore(n, cpuSeconds float64) float64 {
	if cpuSeconds <= 0 {
		return 0
	}
	return n / cpuSeconds
}
