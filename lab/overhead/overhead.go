// Package overhead measures what a router adds: the node and a plain httputil.ReverseProxy stand before the same
// stand-in engine, each in a process of its own, and get the same load in turn.
package overhead

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Engine serves the bare shape of a decode engine, as fast as it can: the header X-Events says how many events an
// answer has, and X-Every how long to wait before each.
func Engine(l net.Listener) error {
	head := []byte(`data: {"id":"c","object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"content":"word `)
	tail := []byte(`"},"finish_reason":null}]}` + "\n\n")
	h := func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		if bytes.Contains(body, []byte(`"do_remote_decode":true`)) { // the prefill stage
			w.Header().Set("Content-Type", "application/json")
			io.WriteString(w, `{"choices":[],"usage":{},"kv_transfer_params":{"do_remote_prefill":true,"remote_engine_id":"e"}}`)
			return
		}
		events, every := marked(body)
		w.Header().Set("Content-Type", "text/event-stream")
		c := http.NewResponseController(w)
		var b []byte
		for i := range events {
			if every > 0 && i > 0 {
				select {
				case <-q.Context().Done():
					return
				case <-time.After(every):
				}
			}
			b = append(append(append(b[:0], head...), strconv.Itoa(i)...), tail...)
			if _, err := w.Write(b); err != nil || c.Flush() != nil {
				return
			}
		}
		io.WriteString(w, "data: [DONE]\n\n")
	}
	return (&http.Server{Handler: http.HandlerFunc(h)}).Serve(l)
}

// marked reads the lab's members of a request: x_events and x_every_ms.
func marked(body []byte) (events int, every time.Duration) {
	read := func(name string) int {
		_, rest, _ := bytes.Cut(body, []byte(`"`+name+`":`))
		n := 0
		for len(rest) > 0 && rest[0] >= '0' && rest[0] <= '9' {
			n, rest = n*10+int(rest[0]-'0'), rest[1:]
		}
		return n
	}
	return max(1, read("x_events")), time.Duration(read("x_every_ms")) * time.Millisecond
}

// Proxy serves a plain reverse proxy to a backend.
func Proxy(l net.Listener, backend string) error {
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: backend})
	p.FlushInterval = -1
	p.Transport = &http.Transport{MaxIdleConnsPerHost: 256}
	return (&http.Server{Handler: p}).Serve(l)
}

// Target is a process that is measured.
type Target struct {
	Name    string
	Address string
	PID     int    // 0 = not measured: the engine itself
	Admin   string // of the node
}

// Plan says how much is asked. All loads are bounded.
type Plan struct {
	Requests int           // in the loop that measures rate and latency
	Workers  int           // at once
	Paced    int           // requests in the open loop
	Rate     float64       // its requests a second
	Streams  int           // held open at once for memory
	Burst    int           // streams at once that measure events
	Events   int           // of each of those
	Typing   int           // paced streams at once, an event every 10 ms, as engines make them
	Settle   time.Duration // before memory is read
}

// DefaultPlan is the one of docs/benchmarks.md.
var DefaultPlan = Plan{Requests: 20000, Workers: 64, Paced: 5000, Rate: 1000, Streams: 5000, Burst: 64, Events: 4000, Typing: 500,
	Settle: 2 * time.Second}

// Result is what a target did.
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

// Measure loads one target.
func Measure(ctx context.Context, t Target, p Plan, key string, out io.Writer) (Result, error) {
	r := Result{Name: t.Name}
	g := &load{t: t, key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: p.Streams + p.Workers}}}
	defer g.client.CloseIdleConnections()
	g.closed(ctx, 500, p.Workers, 1, nil) // warm up
	before := decideCounts(t.Admin)
	h := hdrhistogram.New(1, 60_000_000, 3)
	g.open(ctx, p.Paced, p.Rate, h)
	r.P50, r.P99 = float64(h.ValueAtQuantile(50))/1e6, float64(h.ValueAtQuantile(99))/1e6
	r.P50ms, r.P99ms = r.P50*1e3, r.P99*1e3
	r.DecideP99ms = quantile(before, decideCounts(t.Admin), 0.99) * 1e3
	fmt.Fprintf(out, "%s: paced load done\n", t.Name)
	cpu, start := cpuSeconds(t.PID), time.Now()
	g.closed(ctx, p.Requests, p.Workers, 1, nil)
	wall, used := time.Since(start).Seconds(), cpuSeconds(t.PID)-cpu
	r.RequestsPerS = float64(p.Requests) / wall
	r.RequestsPerCore = per(float64(p.Requests), used)
	fmt.Fprintf(out, "%s: closed loop done\n", t.Name)
	cpu, start = cpuSeconds(t.PID), time.Now()
	var events atomic.Int64
	g.closed(ctx, p.Burst, p.Burst, p.Events, &events)
	wall, used = time.Since(start).Seconds(), cpuSeconds(t.PID)-cpu
	r.EventsPerS, r.EventsPerCore = float64(events.Load())/wall, per(float64(events.Load()), used)
	cpu = cpuSeconds(t.PID)
	var typed atomic.Int64
	var wg sync.WaitGroup
	for range p.Typing {
		wg.Add(1)
		go func() { defer wg.Done(); g.ask(ctx, 500, 10, &typed) }()
	}
	wg.Wait()
	r.TypedPerCore = per(float64(typed.Load()), cpuSeconds(t.PID)-cpu)
	fmt.Fprintf(out, "%s: events done\n", t.Name)
	if err := g.memory(ctx, p, &r); err != nil {
		return r, err
	}
	if r.Errors = g.errors.Load(); r.Errors*1000 > int64(p.Requests+p.Paced) {
		return r, fmt.Errorf("%s: %d requests failed, the figures say nothing", t.Name, r.Errors)
	}
	return r, nil
}

func per(n, cpu float64) float64 {
	if cpu <= 0 {
		return 0
	}
	return n / cpu
}

type load struct {
	t      Target
	key    string
	client *http.Client
	errors atomic.Int64
}

func body(events, everyMS int) string {
	return fmt.Sprintf(`{"model":"m","stream":true,"max_tokens":100000,"messages":[{"role":"user","content":"Who can cover a sick call?"}],`+
		`"x_events":%d,"x_every_ms":%d}`, events, everyMS)
}

// ask makes one request and reads its answer to the end.
func (g *load) ask(ctx context.Context, events, everyMS int, count *atomic.Int64) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+g.t.Address+"/v1/chat/completions", strings.NewReader(body(events, everyMS)))
	if err != nil {
		g.errors.Add(1)
		return
	}
	q.Header.Set("Authorization", "Bearer "+g.key)
	q.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(q)
	if err != nil {
		g.errors.Add(1)
		return
	}
	defer resp.Body.Close()
	br, n, done := bufio.NewReaderSize(resp.Body, 8<<10), 0, false
	for {
		line, err := br.ReadSlice('\n')
		if bytes.HasPrefix(line, []byte("data: ")) {
			n++
			done = bytes.HasPrefix(line, []byte("data: [DONE]"))
		}
		if err != nil {
			break
		}
	}
	if !done || resp.StatusCode != 200 {
		g.errors.Add(1)
	}
	if count != nil {
		count.Add(int64(n))
	}
}

// closed asks n times with so many workers.
func (g *load) closed(ctx context.Context, n, workers, events int, count *atomic.Int64) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range workers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for next.Add(1) <= int64(n) && ctx.Err() == nil {
				g.ask(ctx, events, 0, count)
			}
		}()
	}
	wg.Wait()
}

// open asks at a steady rate, whatever the answers do; latency counts from when a request was due.
func (g *load) open(ctx context.Context, n int, rate float64, h *hdrhistogram.Histogram) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	start := time.Now()
	for i := range n {
		due := start.Add(time.Duration(float64(i) / rate * 1e9))
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.ask(ctx, 1, 0, nil)
			mu.Lock()
			h.RecordValue(max(1, time.Since(due).Microseconds()))
			mu.Unlock()
		}()
	}
	wg.Wait()
}

// memory holds idle connections, and then open streams.
func (g *load) memory(ctx context.Context, p Plan, r *Result) error {
	base := resident(g.t.PID)
	var conns []net.Conn
	for range p.Streams {
		c, err := net.Dial("tcp", g.t.Address)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		// An idle connection has carried a request; one that never did would be shut soon.
		if _, err := io.WriteString(c, "GET /v1/models HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+g.key+"\r\n\r\n"); err != nil {
			return err
		}
		resp, err := http.ReadResponse(bufio.NewReaderSize(c, 512), nil)
		if err != nil {
			return err
		}
		io.Copy(io.Discard, resp.Body)
	}
	time.Sleep(p.Settle)
	r.BytesPerIdle = float64(resident(g.t.PID)-base) / float64(p.Streams)
	for _, c := range conns {
		c.Close()
	}
	time.Sleep(p.Settle)
	base = resident(g.t.PID)
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var started atomic.Int64
	for range p.Streams {
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.hold(ctx, &started)
		}()
		if n := int(started.Load()); n%50 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	for end := time.Now().Add(60 * time.Second); int(started.Load()) < p.Streams && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(p.Settle)
	r.BytesPerStream = float64(resident(g.t.PID)-base) / float64(p.Streams)
	n := int(started.Load())
	cancel()
	wg.Wait()
	if n < p.Streams {
		return fmt.Errorf("%s: %d of %d streams began", g.t.Name, n, p.Streams)
	}
	return nil
}

// hold opens a slow stream and keeps it.
func (g *load) hold(ctx context.Context, started *atomic.Int64) {
	q, err := http.NewRequestWithContext(ctx, "POST", "http://"+g.t.Address+"/v1/chat/completions", strings.NewReader(body(1000, 1000)))
	if err != nil {
		return
	}
	q.Header.Set("Authorization", "Bearer "+g.key)
	q.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(q)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	b := make([]byte, 256)
	if _, err := resp.Body.Read(b); err != nil {
		return
	}
	started.Add(1)
	for {
		if _, err := resp.Body.Read(b); err != nil {
			return
		}
	}
}

// cpuSeconds reads the CPU time of a process.
func cpuSeconds(pid int) float64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "stat"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100 // clock ticks of Linux
}

// resident reads the resident bytes of a process.
func resident(pid int) int64 {
	text, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	f := strings.Fields(rest)
	if len(f) == 0 {
		return 0
	}
	kb, _ := strconv.ParseInt(f[0], 10, 64)
	return kb << 10
}

// decideCounts reads the node's histogram of deciding: cumulative counts by upper bound.
func decideCounts(admin string) map[float64]float64 {
	if admin == "" {
		return nil
	}
	resp, err := http.Get("http://" + admin + "/metrics")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	counts := map[float64]float64{}
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		rest, ok := strings.CutPrefix(sc.Text(), `dillroute_scheduler_step_seconds_bucket{le="`)
		if !ok {
			continue
		}
		le, n, _ := strings.Cut(rest, `"} `)
		bound, err := strconv.ParseFloat(le, 64)
		if err != nil {
			continue
		}
		counts[bound], _ = strconv.ParseFloat(n, 64)
	}
	return counts
}

// quantile returns the upper bound of the bucket in which a quantile of what came between lies.
func quantile(before, after map[float64]float64, q float64) float64 {
	best, total := 0.0, 0.0
	for le, n := range after {
		total = max(total, n-before[le])
	}
	for le, n := range after {
		if n-before[le] >= q*total && (best == 0 || le < best) {
			best = le
		}
	}
	return best
}
