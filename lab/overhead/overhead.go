// Package overhead measures what a router adds: the node and a plain httputil.ReverseProxy stand before the same emulated engine, each
// in a process of its own, and get the same load in turn.
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

// Target is a process that is measured.
type Target struct {
	Name    string
	Address string
	PID     int    // 0 = its CPU time and memory are not measured: the engine itself
	Admin   string // address of the node's metrics; "" = it has none
}

// Plan says how much load a target gets. All loads are bounded.
type Plan struct {
	Requests int           // of the closed loop that measures the rate
	Workers  int           // of the closed loop, each with one request at a time
	Paced    int           // requests of the open loop that measures latency
	Rate     float64       // of the open loop, requests a second
	Streams  int           // connections, and then streams, that are open at once to measure memory
	Burst    int           // streams at once that measure events as fast as they come
	Events   int           // of each of those
	Typing   int           // streams at once with an event every 10 ms, as engines make them
	Settle   time.Duration // before memory is read
}

// DefaultPlan is the plan of docs/benchmarks.md.
var DefaultPlan = Plan{
	Requests: 20000,
	Workers:  64,
	Paced:    5000,
	Rate:     1000,
	Streams:  5000,
	Burst:    64,
	Events:   4000,
	Typing:   500,
	Settle:   2 * time.Second,
}

const (
	warmUpRequests  = 500
	typedEvents     = 500 // of each paced stream
	typedIntervalMS = 10
)

// The histogram of latencies holds microseconds up to a minute, with three significant digits.
const (
	minLatency    = 1
	maxLatency    = 60_000_000
	latencyDigits = 3
)

// requestsPerError: figures say nothing where more than one request in so many failed.
const requestsPerError = 1000

// Result holds the figures of a target.
type Result struct {
	Name            string  `json:"name"`
	P50, P99        float64 `json:"-"` // s, at the paced rate
	P50ms           float64 `json:"p50_ms"`
	P99ms           float64 `json:"p99_ms"`
	RequestsPerS    float64 `json:"requests_per_s"`
	RequestsPerCore float64 `json:"requests_per_core_s"`
	EventsPerS      float64 `json:"events_per_s"`
	EventsPerCore   float64 `json:"events_per_core_s"`       // as fast as they come
	TypedPerCore    float64 `json:"typed_events_per_core_s"` // one by one
	BytesPerIdle    float64 `json:"resident_bytes_per_idle_connection"`
	BytesPerStream  float64 `json:"resident_bytes_per_open_stream"`
	DecideP99ms     float64 `json:"decide_p99_ms"`
	Errors          int64   `json:"errors"`
}

// Measure loads one target, and writes its progress to out.
func Measure(ctx context.Context, t Target, p Plan, key string, out io.Writer) (Result, error) {
	result := Result{Name: t.Name}
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: p.Streams + p.Workers}
	l := &load{target: t, key: key, client: &http.Client{Transport: transport}}
	defer l.client.CloseIdleConnections()
	l.closedLoop(ctx, warmUpRequests, p.Workers, 1, nil)
	l.measureLatency(ctx, p, &result)
	fmt.Fprintf(out, "%s: paced load done\n", t.Name)
	l.measureRate(ctx, p, &result)
	fmt.Fprintf(out, "%s: closed loop done\n", t.Name)
	l.measureBurst(ctx, p, &result)
	l.measureTyping(ctx, p, &result)
	fmt.Fprintf(out, "%s: events done\n", t.Name)
	if err := l.measureMemory(ctx, p, &result); err != nil {
		return result, err
	}
	result.Errors = l.errors.Load()
	if result.Errors*requestsPerError > int64(p.Requests+p.Paced) {
		return result, fmt.Errorf("%s: %d requests failed, the figures say nothing", t.Name, result.Errors)
	}
	return result, nil
}

// measureLatency measures latency in the open loop, and the node's time of a decision.
func (l *load) measureLatency(ctx context.Context, p Plan, result *Result) {
	before := decideCounts(l.target.Admin)
	latencies := hdrhistogram.New(minLatency, maxLatency, latencyDigits)
	l.openLoop(ctx, p.Paced, p.Rate, latencies)
	result.P50 = float64(latencies.ValueAtQuantile(50)) / 1e6
	result.P99 = float64(latencies.ValueAtQuantile(99)) / 1e6
	result.P50ms = result.P50 * 1e3
	result.P99ms = result.P99 * 1e3
	result.DecideP99ms = quantile(before, decideCounts(l.target.Admin), 0.99) * 1e3
}

// measureRate measures requests a second in the closed loop.
func (l *load) measureRate(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	start := time.Now()
	l.closedLoop(ctx, p.Requests, p.Workers, 1, nil)
	elapsed := time.Since(start).Seconds()
	used := cpuSeconds(l.target.PID) - cpu
	result.RequestsPerS = float64(p.Requests) / elapsed
	result.RequestsPerCore = perCore(float64(p.Requests), used)
}

// measureBurst measures events a second of streams that come as fast as they can.
func (l *load) measureBurst(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	start := time.Now()
	var events atomic.Int64
	l.closedLoop(ctx, p.Burst, p.Burst, p.Events, &events)
	elapsed := time.Since(start).Seconds()
	used := cpuSeconds(l.target.PID) - cpu
	result.EventsPerS = float64(events.Load()) / elapsed
	result.EventsPerCore = perCore(float64(events.Load()), used)
}

// measureTyping measures the CPU time of events that come one by one.
func (l *load) measureTyping(ctx context.Context, p Plan, result *Result) {
	cpu := cpuSeconds(l.target.PID)
	var events atomic.Int64
	var streams sync.WaitGroup
	for range p.Typing {
		streams.Add(1)
		go func() {
			defer streams.Done()
			l.request(ctx, typedEvents, typedIntervalMS, &events)
		}()
	}
	streams.Wait()
	result.TypedPerCore = perCore(float64(events.Load()), cpuSeconds(l.target.PID)-cpu)
}

// perCore returns how many of n a core does in a second; 0 = the CPU time is not known.
func perCore(n, cpuSeconds float64) float64 {
	if cpuSeconds <= 0 {
		return 0
	}
	return n / cpuSeconds
}
