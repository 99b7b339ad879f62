package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dillroute/lab/record"
)

// Settings of one engine. api/engine.schema.json describes them.
type Settings struct {
	ID                      string  `json:"id"`
	Listen                  string  `json:"listen"`
	Role                    string  `json:"role"` // prefill, decode or mixed
	Slots                   int     `json:"slots"`
	QueueLimit              int     `json:"queue"`
	MemoryTokens            int     `json:"memory_tokens"`
	PrefillTokensPerSecond  float64 `json:"read_per_s"` // prompt tokens a second
	DecodeStepMS            float64 `json:"step_ms"`    // time of a decode step,
	DecodeStepPerSequenceMS float64 `json:"per_seq_ms"` // and more for each running answer
	TransferTokensPerSecond float64 `json:"move_per_s"` // tokens of state a second
	SlowStartShare          float64 `json:"cold_share"` // of its speed, right after a cold start
	SlowStartSeconds        float64 `json:"cold_s"`
	LocalPrefill            bool    `json:"local_read"` // a decode engine reads prompts itself where there is no state
	StateTTLSeconds         float64 `json:"state_ttl_s"`
	LoadReportIntervalMS    float64 `json:"report_ms"` // its load is refreshed this often
	ReleaseUnsupported      bool    `json:"no_release"`
	Seed                    uint64  `json:"seed"`
}

// WithDefaults fills what is not set.
func (s Settings) WithDefaults() Settings {
	set := func(v *float64, d float64) {
		if *v == 0 {
			*v = d
		}
	}
	if s.Slots == 0 {
		s.Slots = 32
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = 32
	}
	if s.MemoryTokens == 0 {
		s.MemoryTokens = 200_000
	}
	if s.Listen == "" {
		s.Listen = "127.0.0.1:0"
	}
	set(&s.PrefillTokensPerSecond, 20000)
	set(&s.DecodeStepMS, 8)
	set(&s.DecodeStepPerSequenceMS, 0.1)
	set(&s.TransferTokensPerSecond, 200_000)
	set(&s.SlowStartShare, 0.3)
	set(&s.StateTTLSeconds, 480)
	set(&s.LoadReportIntervalMS, 100)
	return s
}

// Engine is a stand-in engine on a loopback socket. Kill and Start may be called any number of times, in turn.
type Engine struct {
	Settings
	log    *record.Log
	faults atomic.Pointer[Faults]

	mu       sync.Mutex
	address  string
	server   *http.Server
	run      *life
	boots    int
	bootedAt float64
}

// life is what an engine loses when it dies.
type life struct {
	ctx    context.Context
	end    context.CancelFunc
	booted time.Time
	cold   bool
	work   sync.WaitGroup

	mu      sync.Mutex
	free    sync.Cond
	running int // in slots
	waiting int
	memory  int // tokens
	readAt  time.Time
	kept    map[uint64]int // tokens by chain of messages
	order   []uint64
	keptSum int
	states  map[string]*state
	let     [256]string // ids released last: a read of one that ends later keeps nothing
	letAt   int
	load    loadReport
	loadAt  time.Time
	rng     *rand.Rand
}

type state struct {
	digest  uint64
	tokens  int
	created time.Time
	mark    Mark
}

type loadReport struct{ memory, waiting, running float64 }

// New returns an engine that does not run yet. The log may be nil.
func New(s Settings, l *record.Log) *Engine {
	e := &Engine{Settings: s.WithDefaults(), log: l}
	e.faults.Store(&Faults{})
	return e
}

// Start opens the socket, at the same address each time; cold says that it begins slow.
func (e *Engine) Start(cold bool) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.run != nil {
		return fmt.Errorf("standin: %s runs already", e.ID)
	}
	at := e.Listen
	if e.address != "" {
		at = e.address
	}
	var l net.Listener
	var err error
	for range 50 { // the old socket may still be closing
		if l, err = net.Listen("tcp", at); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.boots++
	r := &life{booted: time.Now(), cold: cold, kept: map[uint64]int{}, states: map[string]*state{},
		rng: rand.New(rand.NewPCG(e.Seed, uint64(e.boots)))}
	r.free.L = &r.mu
	r.ctx, r.end = context.WithCancel(context.Background())
	context.AfterFunc(r.ctx, func() { r.mu.Lock(); r.free.Broadcast(); r.mu.Unlock() })
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, q *http.Request) { e.chat(r, w, q) })
	mux.HandleFunc("POST /v1/kv/release", func(w http.ResponseWriter, q *http.Request) { e.release(r, w, q) })
	mux.HandleFunc("GET /lab/kv/{id}", func(w http.ResponseWriter, q *http.Request) { e.give(r, w, q) })
	mux.HandleFunc("POST /lab/fault", e.setFaults)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { e.metrics(r, w) })
	mux.HandleFunc("GET /v1/models", func(w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, `{"object":"list","data":[{"id":"standin","object":"model","created":0,"owned_by":"lab"}]}`)
	})
	e.server = &http.Server{Handler: mux, BaseContext: func(net.Listener) context.Context { return r.ctx },
		ErrorLog: log.New(io.Discard, "", 0)}
	e.run, e.bootedAt = r, record.Now()
	booted := 0.0
	if cold {
		booted = 1
	}
	e.log.Add(record.Record{Kind: record.Boot, Engine: e.ID, Tokens: booted, T: e.bootedAt})
	go e.server.Serve(&slowListener{l, e})
	return nil
}

// slowListener delays what is accepted while handshakes are slow.
type slowListener struct {
	net.Listener
	e *Engine
}

func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		if d := l.e.faults.Load().HandshakeDelayMS; d > 0 {
			c = &slowConn{Conn: c, until: time.Now().Add(time.Duration(d * float64(time.Millisecond)))}
		}
	}
	return c, err
}

// slowConn gives its first byte late.
type slowConn struct {
	net.Conn
	until time.Time
	once  sync.Once
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.once.Do(func() { time.Sleep(time.Until(c.until)) })
	return c.Conn.Read(p)
}

// Kill ends the engine at once, with all connections and all that it held.
func (e *Engine) Kill() {
	e.mu.Lock()
	r, s := e.run, e.server
	e.run = nil
	e.mu.Unlock()
	if r == nil {
		return
	}
	r.end()
	e.forget(r) // before the connections are waited for: on a busy machine that takes seconds
	s.Close()
	r.work.Wait()
	e.forget(r) // and what a read added meanwhile
	e.log.Add(record.Record{Kind: record.Died, Engine: e.ID})
}

// forget drops all states, as a process that dies does.
func (e *Engine) forget(r *life) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.states {
		e.log.Add(record.Record{Kind: record.StateEnd, Engine: e.ID, State: id, Op: s.mark.Operation, Try: s.mark.Attempt, Note: "died"})
		delete(r.states, id)
		r.memory -= s.tokens
	}
}

// Address is where the engine listens, from its first start on.
func (e *Engine) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// Started returns the Unix time of the last start, and whether the engine runs.
func (e *Engine) Started() (at float64, up bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootedAt, e.run != nil
}

// share is the engine's present part of its speed.
func (e *Engine) share(r *life) float64 {
	s := 1.0
	if r.cold && e.SlowStartSeconds > 0 {
		age := time.Since(r.booted).Seconds() / e.SlowStartSeconds
		s = min(1, e.SlowStartShare+(1-e.SlowStartShare)*age)
	}
	if f := e.faults.Load().SlowFactor; f > 1 {
		s /= f
	}
	return s
}

// sleep waits, or returns false if the engine died or the client left.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// fail answers with an error in the published shape.
func fail(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"message": message, "type": "engine_error",
		"param": nil, "code": code}})
}

// nodeOf reads which node sent a request.
func nodeOf(q *http.Request) string {
	_, name, _ := strings.Cut(q.Header.Get("Via"), " ")
	return name
}

// chat serves a request of either stage.
func (e *Engine) chat(r *life, w http.ResponseWriter, hq *http.Request) {
	r.work.Add(1)
	defer r.work.Done()
	var q request
	body, err := io.ReadAll(hq.Body)
	if err != nil {
		return // cut short: it never ran
	}
	if err := json.Unmarshal(body, &q); err != nil || len(q.Messages) == 0 {
		fail(w, 400, "invalid_request", "not a chat request")
		return
	}
	j := &job{e: e, r: r, w: w, q: &q, ctx: hq.Context(), id: hq.Header.Get("X-Request-Id"), node: nodeOf(hq),
		digest: Digest(q.Messages), tokens: tokensOf(q.Messages)}
	j.prefill = q.Transfer != nil && q.Transfer.DoDecode
	j.note(record.Arrive, "")
	if j.faulty() {
		return
	}
	e.report(r, w)
	switch {
	case j.prefill && e.Role == "decode":
		j.turn(400, "wrong_role", "this engine does not prefill")
	case j.prefill:
		j.read()
	case e.Role == "prefill":
		j.turn(400, "wrong_role", "this engine does not decode")
	default:
		j.write()
	}
}

// report adds the load by ORCA, as it was when last refreshed.
func (e *Engine) report(r *life, w http.ResponseWriter) {
	r.mu.Lock()
	every := e.LoadReportIntervalMS * max(1, e.faults.Load().LoadReportSlowFactor)
	if time.Since(r.loadAt).Seconds()*1000 >= every {
		r.load = loadReport{float64(r.memory) / float64(e.MemoryTokens), float64(r.waiting), float64(r.running)}
		r.loadAt = time.Now()
	}
	l := r.load
	r.mu.Unlock()
	w.Header().Set("Endpoint-Load-Metrics", fmt.Sprintf(`JSON {"named_metrics":{"kv_cache_usage_perc":%.4f,`+
		`"num_requests_waiting":%g,"num_requests_running":%g}}`, l.memory, l.waiting, l.running))
}

func (e *Engine) metrics(r *life, w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(w, "# TYPE vllm:num_requests_running gauge\nvllm:num_requests_running %d\n", r.running)
	fmt.Fprintf(w, "# TYPE vllm:num_requests_waiting gauge\nvllm:num_requests_waiting %d\n", r.waiting)
	fmt.Fprintf(w, "# TYPE vllm:kv_cache_usage_perc gauge\nvllm:kv_cache_usage_perc %g\n",
		float64(r.memory)/float64(e.MemoryTokens))
}

// release lets go of a state.
func (e *Engine) release(r *life, w http.ResponseWriter, q *http.Request) {
	var body struct {
		ID string `json:"request_id"`
	}
	if e.ReleaseUnsupported {
		fail(w, 404, "unknown_path", "no such call")
		return
	}
	if json.NewDecoder(io.LimitReader(q.Body, 1<<16)).Decode(&body) != nil || body.ID == "" {
		fail(w, 400, "invalid_request", "request_id is missing")
		return
	}
	if _, was := e.drop(r, body.ID, "released"); !was {
		r.mu.Lock()
		r.let[r.letAt%len(r.let)] = body.ID
		r.letAt++
		r.mu.Unlock()
	}
	io.WriteString(w, "{}")
}

// drop ends a state and tells whether it was there.
func (e *Engine) drop(r *life, id, why string) (*state, bool) {
	r.mu.Lock()
	s, ok := r.states[id]
	if ok {
		delete(r.states, id)
		r.memory -= s.tokens
		r.free.Broadcast()
	}
	r.mu.Unlock()
	if ok {
		e.log.Add(record.Record{Kind: record.StateEnd, Engine: e.ID, State: id, Op: s.mark.Operation, Try: s.mark.Attempt, Note: why})
	}
	return s, ok
}

// give hands a state to the engine that fetches it; it is let go when all of it has been taken.
func (e *Engine) give(r *life, w http.ResponseWriter, q *http.Request) {
	r.work.Add(1)
	defer r.work.Done()
	id := q.PathValue("id")
	r.mu.Lock()
	s, ok := r.states[id]
	r.mu.Unlock()
	if f := e.faults.Load(); !ok || f.Silent {
		fail(w, 404, "kv_state_not_found", "no such state")
		return
	}
	far, _ := strconv.ParseFloat(q.URL.Query().Get("slower"), 64)
	if !sleep(q.Context(), seconds(float64(s.tokens)/e.TransferTokensPerSecond*max(1, far)*max(1, e.faults.Load().TransferSlowFactor))) {
		return
	}
	e.drop(r, id, "fetched")
	json.NewEncoder(w).Encode(map[string]any{"digest": s.digest, "tokens": s.tokens})
}

// ColdStarted returns the Unix time of the last cold start, and whether there was one.
func (e *Engine) ColdStarted() (at float64, cold bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootedAt, e.boots > 1
}

// SetRole makes a stopped engine one of another role; it takes effect at the next start.
func (e *Engine) SetRole(role string) {
	e.mu.Lock()
	e.Role = role
	e.mu.Unlock()
}
