package scenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"

	"dillroute/lab/client"
	"dillroute/lab/emulator"
	"dillroute/lab/fleet"
	"dillroute/lab/record"
	"dillroute/lab/rules"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Node is a running node, whatever started it.
type Node interface {
	Addr() net.Addr
	Ready() bool                 // it may be sent requests
	Stop()                       // a kill: what it holds gets no answer
	Shutdown(wait time.Duration) // in good order
}

// Launch starts a node from the text of its configuration.
type Launch func(name string, config []byte) (Node, error)

// Options of a run.
type Options struct {
	Launch Launch
	Out    io.Writer // what begins and ends; nil = none
	// Progress is called once a second.
	Progress func(Progress)
	Skew     float64 // s that the checker allows for scheduling; 0 = 0.25
	Files    int     // descriptors of the process that nodes, engines and clients share; 0 = each node has a table of its own
}

// day is a day under way.
type day struct {
	s      *Script
	o      Options
	dir    string
	log    *record.Log
	fleet  *fleet.Fleet
	client *client.Client
	lists  *emulator.ConsulServer // nil = a file for each node
	start  time.Time
	work   sync.WaitGroup // clients, troubles and list deliveries

	pub  sync.Mutex // of what the list server tells
	told int        // serial of the newest list that it has

	mu       sync.Mutex
	nodes    []*slot
	serial   int     // of list snapshots
	lateBy   float64 // added to the list's lateness
	lateHalf float64 // and for every second node
	load     float64 // factor
	heavy    map[string][2]float64
	hot      float64
	hotSeed  uint64
	giveUp   float64
	rng      *rand.Rand
	asks     int
	starts   int
	ready    *hdrhistogram.Histogram // µs from a node's start until it was ready
	ctx      context.Context
}

// slot is the place of a node, which may be down.
type slot struct {
	name, zone string
	rank       int
	node       Node
	address    string
	downAt     time.Time
	restarting bool
	told       int // serial of the newest list it was given
	pub        sync.Mutex
}

// keyOf is a tenant's key.
func keyOf(t Tenant) string { return "bad-day-key-" + t.Name }

// Run plays a script and reports. The context ends it early.
func Run(ctx context.Context, s *Script, o Options) (*Report, error) {
	dir, err := os.MkdirTemp("", "dillroute-scenario-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	if o.Skew == 0 {
		o.Skew = 0.25
	}
	if o.Out == nil {
		o.Out = io.Discard
	}
	d := &day{s: s, o: o, dir: dir, load: 1, ready: hdrhistogram.New(1, 60_000_000, 3), heavy: map[string][2]float64{},
		rng: rand.New(rand.NewPCG(s.Seed, 1))}
	judge, counts := rules.NewJudge(d.ruleConfig()), newTally(s, record.Now())
	d.log = &record.Log{Sink: func(r record.Record) { judge.Add(r); counts.add(r, judge.Cold().Share) }}
	d.client = client.New("", d.log)
	defer d.client.Close()
	d.fleet = fleet.New(d.members(), d.log)
	if err := d.fleet.Start(); err != nil {
		return nil, err
	}
	defer d.fleet.Stop()
	if s.List.Server {
		d.lists = emulator.NewConsulServer(1)
		if err := d.lists.Start(); err != nil {
			return nil, err
		}
		defer d.lists.Stop()
	}
	if err := d.startNodes(); err != nil {
		d.stopNodes()
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, seconds(s.Length+overtime))
	defer cancel()
	d.ctx = ctx
	d.start = time.Now()
	d.log.Hold(func() { counts.start = record.Now() })
	for _, t := range s.Troubles {
		d.work.Add(1)
		go func() { defer d.work.Done(); d.play(t) }()
	}
	if o.Progress != nil {
		stop := d.progress(judge, counts)
		defer stop()
	}
	meter := startMeter()
	d.arrivals()
	unfinished := d.finish(ctx)
	machine := meter.stop()
	d.settle()
	d.stopNodes()
	n := d.log.Len()
	var rep *Report
	d.log.Hold(func() { rep = d.report(judge, counts) })
	rep.Records, rep.Machine, rep.Unfinished = n, machine, unfinished
	return rep, nil
}

// How long after its length a day may go on until its clients are told to stop (s), and how long after that until it is
// judged without what still runs.
const (
	overtime = 30.0
	lastWait = 20.0
)

// finish waits until all clients and troubles have ended; past its time, or told to stop, it waits a bounded while and
// says what it did not wait for.
func (d *day) finish(ctx context.Context) (unfinished string) {
	ended := make(chan struct{})
	go func() { d.work.Wait(); close(ended) }()
	select {
	case <-ended:
		return ""
	case <-ctx.Done():
	}
	select {
	case <-ended:
		return ""
	case <-time.After(seconds(lastWait)):
		return fmt.Sprintf("clients or troubles still ran %.0f s after the day was to end; goroutines: %d", lastWait, runtime.NumGoroutine())
	}
}

// progress tells now and then how the day goes.
func (d *day) progress(judge *rules.Judge, counts *tally) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		tick := time.NewTicker(time.Second)
		defer tick.Stop()
		for {
			select {
			case <-done:
				return
			case <-tick.C:
			}
			var p Progress
			d.log.Hold(func() {
				p = Progress{T: time.Since(d.start).Seconds(), Length: d.s.Length, Broken: judge.Broken(), SlowStartUse: judge.Cold().Share}
				for k, r := range counts.rows {
					if k[0] == "all" {
						p.Ended += r.Asked
						p.InTime += r.InTime
					}
				}
			})
			p.Records = d.log.Len()
			d.mu.Lock()
			for _, s := range d.nodes {
				if s.node != nil {
					p.Up++
				}
			}
			p.Starts = d.starts
			d.mu.Unlock()
			d.o.Progress(p)
		}
	}()
	return func() { close(done); <-ended }
}

// Progress is how a day goes.
type Progress struct {
	T, Length     float64
	Ended, InTime int // operations
	Records       int
	Up, Starts    int // nodes
	Broken        int
	SlowStartUse  float64 // greatest part of a cold budget that was used
}

// report sums a day up.
func (d *day) report(judge *rules.Judge, counts *tally) *Report {
	rep := &Report{Name: d.s.Name, Seed: d.s.Seed, Length: d.s.Length, Violations: judge.Close(),
		Fairness: map[string]float64{}, Starts: d.starts}
	rep.Rows, rep.Broken, rep.ByRule, rep.SlowStartUse = counts.close(), judge.Broken(), judge.ByRule(), judge.Cold()
	rep.Began = counts.start
	rep.ReadyP99 = float64(d.ready.ValueAtQuantile(99)) / 1e6
	byKind := map[string][]float64{}
	for _, m := range d.fleet.Members() {
		byKind[m.Kind] = append(byKind[m.Kind], counts.sent[m.ID])
	}
	for kind, xs := range byKind {
		rep.Fairness[kind] = jain(xs)
	}
	var parts []float64
	for _, x := range counts.tenants {
		parts = append(parts, x.inTime/max(1, x.asked))
	}
	rep.Fairness["tenants"] = jain(parts)
	rep.Series, rep.Lost = counts.series, counts.lost
	return rep
}

// jain is Jain's index of fairness: 1 = all alike, 1/n = one has all.
func jain(xs []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, x := range xs {
		sum += x
		squares += x * x
	}
	if squares == 0 {
		return 1
	}
	return sum * sum / (float64(len(xs)) * squares)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// sleep waits until a time of the day, or its end; false = the day was ended.
func (d *day) sleep(until float64) bool {
	until = min(until, d.s.Length+0.001)
	t := time.NewTimer(time.Until(d.start.Add(seconds(until))))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-d.ctx.Done():
		return false
	}
}

// settle gives states that wait at engines the time that rule 5 allows before the books are closed.
func (d *day) settle() {
	time.Sleep(seconds(d.s.Rules.LetGoBy + d.o.Skew + 0.2))
	d.log.Add(record.Record{Kind: record.Close})
}

func (d *day) members() []fleet.Member {
	var ms []fleet.Member
	d.s.each(func(id string, k Kind, g Group) {
		ms = append(ms, fleet.Member{Kind: k.Name, Cell: g.Cell, Zone: g.Zone, Settings: emulator.Settings{ID: id, Role: k.Role,
			Slots: k.Slots, QueueLimit: k.Queue, MemoryTokens: k.MemoryTokens, PrefillTokensPerSecond: k.ReadPerS * g.Speed,
			DecodeStepMS: k.StepMS / g.Speed, DecodeStepPerSequenceMS: k.PerSeqMS / g.Speed, TransferTokensPerSecond: k.MovePerS, SlowStartShare: k.ColdShare,
			SlowStartSeconds: k.ColdS, LoadReportIntervalMS: k.ReportMS, LocalPrefill: d.s.Limits.LocalRead, StateTTLSeconds: 30,
			Seed: d.s.Seed*1000 + uint64(len(ms))}})
	})
	return ms
}

func (d *day) ruleConfig() rules.Config {
	c := rules.Config{Classes: map[string]rules.Class{}, Engines: map[string]rules.Engine{},
		AnswerSlack: d.s.Rules.AnswerSlack, DrainGrace: d.s.Rules.DrainGrace, ListLag: 0.2,
		OverloadMultiple: d.s.Rules.FallMultiple, SlowStartWindow: d.s.Rules.TipAfter, StateReleaseLimit: d.s.Rules.LetGoBy, Skew: d.o.Skew}
	for _, k := range d.s.Classes {
		c.Classes[k.Name] = rules.Class{Effect: k.Effect, Group: k.Group, KeyTTL: k.KeyWindow}
	}
	d.s.each(func(id string, k Kind, g Group) {
		slots := float64(k.Slots)
		c.Engines[id] = rules.Engine{Cell: g.Cell, Zone: g.Zone, ReadPerS: k.ReadPerS * g.Speed,
			WriteS:    slots / ((k.StepMS + k.PerSeqMS*slots) / 1000 / g.Speed),
			ColdShare: k.ColdShare, ColdS: k.ColdS}
	})
	return c
}

// nodeConfig writes a node's configuration, by its published shape.
func (d *day) nodeConfig(s *slot, listen string) []byte {
	var kinds, classes, models, tenants []any
	for _, k := range d.s.Kinds {
		kinds = append(kinds, map[string]any{"name": k.Name, "role": k.Role, "memory_tokens": k.MemoryTokens})
	}
	for _, c := range d.s.Classes {
		classes = append(classes, map[string]any{"name": c.Name, "effect": c.Effect, "group": c.Group,
			"key_window_s": c.KeyWindow, "aim_s": c.Aim, "aim_per_1k_prompt_s": c.AimPerK, "patience_s": c.Patience,
			"patience_per_1k_prompt_s": c.PatiencePerK, "token_aim_s": c.TokenAim, "max_tokens": c.MaxTokens})
		models = append(models, map[string]any{"name": c.Name, "class": c.Name})
	}
	for _, t := range d.s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "keys": []string{keyOf(t)}, "quota_per_s": t.Quota})
	}
	r := d.s.Rules
	files := 0
	if d.o.Files > 0 {
		files = max(filesLeast, d.o.Files*2/filesOfRequest/d.s.Nodes)
	}
	m := map[string]any{"listen": listen, "node": map[string]any{"name": s.name, "rank": s.rank, "nodes": d.s.Nodes, "zone": s.zone},
		"kinds": kinds, "classes": classes, "models": models, "local_read": d.s.Limits.LocalRead,
		"tenants": tenants,
		"engines": map[string]any{"file": d.listFile(s), "poll_s": 0.1},
		"limits":  map[string]any{"max_attempts": d.s.Limits.MaxAttempts, "stall_s": 5, "shutdown_s": 2, "files": files},
		"rules": map[string]any{"answer_slack_s": r.AnswerSlack, "drain_grace_s": r.DrainGrace, "cold_share": r.ColdShare,
			"cold_s": r.ColdS, "fall_multiple": r.FallMultiple, "tip_after_s": r.TipAfter, "let_go_by_s": r.LetGoBy}}
	if d.lists != nil {
		m["engines"] = map[string]any{"consul": d.lists.Address(), "wait_s": 5}
	}
	if len(d.s.Zones) > 0 {
		m["zones"] = d.s.Zones
	} else {
		delete(m["node"].(map[string]any), "zone")
	}
	b, _ := json.Marshal(m) // strings and numbers encode
	return b
}

// A request in flight holds five descriptors of a process in which all run: its client's, two of its node, its engine's,
// and at times one for the move of its state. A node is told of its part, and never of fewer than some.
const (
	filesOfRequest = 5
	filesLeast     = 60
)

func (d *day) listFile(s *slot) string { return filepath.Join(d.dir, s.name+".json") }

func (d *day) startNodes() error {
	if d.lists != nil {
		d.fleet.Serve(d.fleet.List(), d.lists, d.names())
	}
	for i := range d.s.Nodes {
		s := &slot{name: fmt.Sprintf("node-%d", i), rank: i}
		if len(d.s.Zones) > 0 {
			s.zone = d.s.Zones[i%len(d.s.Zones)]
		}
		d.nodes = append(d.nodes, s)
		if d.lists == nil {
			if err := d.fleet.Publish(d.fleet.List(), s.name, d.listFile(s)); err != nil {
				return err
			}
		}
		if err := d.launch(s); err != nil {
			return err
		}
	}
	return nil
}

// names lists all nodes.
func (d *day) names() []string {
	var names []string
	for i := range d.s.Nodes {
		names = append(names, fmt.Sprintf("node-%d", i))
	}
	return names
}

// launch starts a node at the address that it had, with nothing but its last list.
func (d *day) launch(s *slot) error {
	listen := s.address
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	var n Node
	var err error
	var begun time.Time
	for range 100 { // the old socket may still be closing
		begun = time.Now()
		if n, err = d.o.Launch(s.name, d.nodeConfig(s, listen)); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	for end := begun.Add(10 * time.Second); !n.Ready() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	d.mu.Lock()
	d.ready.RecordValue(max(1, time.Since(begun).Microseconds()))
	d.starts++
	s.node, s.address = n, n.Addr().String()
	d.mu.Unlock()
	d.log.Add(record.Record{Kind: record.NodeUp, Node: s.name})
	return nil
}

// kill ends a node at once.
func (d *day) kill(s *slot) {
	d.mu.Lock()
	n := s.node
	s.node, s.downAt = nil, time.Now()
	d.mu.Unlock()
	if n == nil {
		return
	}
	d.log.Add(record.Record{Kind: record.NodeKill, Node: s.name})
	n.Stop()
	d.log.Add(record.Record{Kind: record.NodeKill, Node: s.name, Note: "until now"})
}

func (d *day) stopNodes() {
	var wg sync.WaitGroup
	for _, s := range d.nodes {
		if s.node != nil {
			wg.Add(1)
			go func() { defer wg.Done(); s.node.Shutdown(2 * time.Second) }()
		}
	}
	wg.Wait()
}

// changed tells every node of the list as it stands now, as late as the list is.
func (d *day) changed() {
	snap := d.fleet.List()
	d.mu.Lock()
	d.serial++
	serial, late := d.serial, d.s.List.Notice+d.lateBy
	d.mu.Unlock()
	if d.lists != nil {
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			if d.sleep(time.Since(d.start).Seconds() + late) {
				d.pub.Lock()
				defer d.pub.Unlock()
				if d.told < serial {
					d.told = serial
					d.fleet.Serve(snap, d.lists, d.names())
				}
			}
		}()
		return
	}
	for _, s := range d.nodes {
		d.mu.Lock()
		wait := late * (0.75 + 0.5*d.rng.Float64())
		if s.rank%2 == 1 {
			wait += d.lateHalf
		}
		d.mu.Unlock()
		d.work.Add(1)
		go func() {
			defer d.work.Done()
			select {
			case <-time.After(seconds(wait)):
			case <-d.ctx.Done():
				return
			}
			s.pub.Lock()
			defer s.pub.Unlock()
			if s.told < serial {
				s.told = serial
				if err := d.fleet.Publish(snap, s.name, d.listFile(s)); err != nil {
					fmt.Fprintln(d.o.Out, "list not given to", s.name, err)
				}
			}
		}()
	}
}

// front picks a node as a plain front layer does: at random, dead ones too until it has noticed.
func (d *day) front(rng *rand.Rand) *slot {
	d.mu.Lock()
	defer d.mu.Unlock()
	var fit []*slot
	for _, s := range d.nodes {
		if s.node != nil || time.Since(s.downAt) < seconds(d.s.Clients.Notice) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		fit = d.nodes
	}
	return fit[rng.IntN(len(fit))]
}

// shape is the load's factor at a share of the day.
func (l *Load) shape(x float64) float64 {
	if len(l.Shape) == 0 {
		return 1
	}
	last := l.Shape[0]
	for _, p := range l.Shape {
		if p[0] >= x {
			if p[0] == last[0] {
				return p[1]
			}
			return last[1] + (p[1]-last[1])*(x-last[0])/(p[0]-last[0])
		}
		last = p
	}
	return last[1]
}

// arrivals starts sessions by a Poisson process whose rate follows the day.
func (d *day) arrivals() {
	rng := rand.New(rand.NewPCG(d.s.Seed, 2))
	t, n := 0.0, 0
	for {
		d.mu.Lock()
		rate := d.s.Load.PerS * d.load * d.s.Load.shape(t/d.s.Length)
		full := d.asks >= d.s.Load.MaxAsks
		d.mu.Unlock()
		if full || !(rate > 0) {
			rate = 0
		}
		step := 0.1
		if rate > 0 {
			step = min(0.5, rng.ExpFloat64()/rate)
		}
		t += step
		if t >= d.s.Length || !d.sleep(t) {
			return
		}
		if rate == 0 || step == 0.5 {
			continue
		}
		n++
		seed := uint64(n)
		d.work.Add(1)
		go func() { defer d.work.Done(); d.session(seed) }()
	}
}

// tenant draws a tenant by the shares.
func (d *day) tenant(rng *rand.Rand) *Tenant {
	sum := 0.0
	for _, t := range d.s.Tenants {
		sum += t.Share
	}
	x := rng.Float64() * sum
	for i := range d.s.Tenants {
		if x -= d.s.Tenants[i].Share; x < 0 {
			return &d.s.Tenants[i]
		}
	}
	return &d.s.Tenants[len(d.s.Tenants)-1]
}

// class draws a class by the shares.
func (d *day) class(rng *rand.Rand) *Class {
	sum := 0.0
	for _, c := range d.s.Classes {
		sum += c.Share
	}
	x := rng.Float64() * sum
	for i := range d.s.Classes {
		if x -= d.s.Classes[i].Share; x < 0 {
			return &d.s.Classes[i]
		}
	}
	return &d.s.Classes[len(d.s.Classes)-1]
}

func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// session asks its turns one after another; each holds all that went before.
func (d *day) session(seed uint64) {
	rng := rand.New(rand.NewPCG(d.s.Seed^0xabcdef, seed))
	c, who := d.class(rng), d.tenant(rng)
	ms := []emulator.Message{{Role: "system", Content: d.beginning(rng, c, seed)}}
	for turn := 0; ; turn++ {
		d.mu.Lock()
		heavy, ok := d.heavy[c.Name]
		d.asks++
		d.mu.Unlock()
		size := lognormal(rng, c.NewTokens, c.NewSigma)
		if ok && rng.Float64() < heavy[1] {
			size *= heavy[0]
		}
		size = min(size, 20000)
		ms = append(ms, emulator.Message{Role: "user", Content: emulator.PromptText(seed*31+uint64(turn), int(size)+4)})
		answer := int(max(2, min(float64(c.MaxTokens), lognormal(rng, c.AnswerTokens, c.AnswerSigma))))
		op := fmt.Sprintf("s%d.%d", seed, turn)
		text, served := d.operation(rng, c, who, op, fmt.Sprintf("session-%d", seed), ms, answer)
		if !served || rng.Float64() >= 1-1/max(1, c.Turns) {
			return
		}
		ms = append(ms[:len(ms):len(ms)], emulator.Message{Role: "assistant", Content: text})
		if !d.sleep(time.Since(d.start).Seconds()+c.Think*rng.ExpFloat64()) || time.Since(d.start) > seconds(d.s.Length) {
			return
		}
	}
}

// beginning is the system text: a shared one, one of the newly hot ones, or the session's own.
func (d *day) beginning(rng *rand.Rand, c *Class, seed uint64) string {
	d.mu.Lock()
	hot, hotSeed := d.hot, d.hotSeed
	d.mu.Unlock()
	if hot > 0 && rng.Float64() < hot {
		return emulator.PromptText(hotSeed, max(1500, c.PrefixTokens))
	}
	if c.Prefixes > 0 && rng.Float64() < c.PrefixShare {
		x := rng.Float64() // a few beginnings are common
		return emulator.PromptText(uint64(1000+int(x*x*float64(c.Prefixes))), c.PrefixTokens)
	}
	return emulator.PromptText(seed*7919, 16)
}

// operation asks once and comes again as clients do. It returns the text of a served answer.
func (d *day) operation(rng *rand.Rand, c *Class, who *Tenant, op, session string, ms []emulator.Message, answer int) (string, bool) {
	prompt := 0
	for _, m := range ms {
		prompt += len(m.Content)/4 + 4
	}
	patience := (c.Patience + c.PatiencePerK*float64(prompt)/1000) * d.s.Clients.TryShare
	d.mu.Lock()
	if d.giveUp > 0 && rng.Float64() < d.giveUp {
		patience *= 0.3
	}
	d.mu.Unlock()
	a := client.Ask{Model: c.Name, Messages: ms, MaxTokens: c.MaxTokens, Session: session, Patience: seconds(patience),
		Whole: rng.Float64() < c.Whole, Key: keyOf(*who), Tenant: who.Name, Mark: emulator.Mark{Operation: op, Class: c.Name, ResponseTokens: answer}}
	if rng.Float64() < d.s.Clients.Hangups {
		a.HangupAt = 1 + rng.IntN(max(1, answer))
		a.Whole = false
	}
	for try := 0; ; try++ {
		a.Mark.Attempt = try
		s := d.front(rng)
		d.mu.Lock()
		address := s.address
		d.mu.Unlock()
		res := d.client.Do(d.ctx, s.name, address, a)
		if res.Outcome == record.Served {
			return res.Text, res.OK
		}
		if try >= d.s.Clients.Retries || !again(c, res) || a.HangupAt > 0 {
			return "", false
		}
		select {
		case <-time.After(max(res.After, seconds(d.s.Clients.Backoff*(0.5+rng.Float64())))):
		case <-d.ctx.Done():
			return "", false
		}
	}
}

// again tells whether a client may come again: always after a refusal or where no node was met; else only where
// a repeat does no harm.
func again(c *Class, res client.Result) bool {
	if errors.Is(res.Err, context.Canceled) && res.Outcome != record.Overdue {
		return false
	}
	return res.Outcome == record.Refused || res.Outcome == record.Unmet || c.Effect == "repeatable"
}
