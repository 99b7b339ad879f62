package scheduler

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"dillroute/internal/goldenfile"
)

// Sizes of a recording: its number of steps, the number of steps at its beginning that are written in full, and the interval, in steps,
// at which a running hash of all steps is written after these.
const (
	goldenSteps        = 1500
	goldenFullSteps    = 140
	goldenHashInterval = 50
)

// goldenCrowded is the name of the setting with long streams, which fill the decode engines.
const goldenCrowded = "crowded"

// goldenSetting is a configuration and a workload, which are recorded with two seeds.
type goldenSetting struct {
	name          string
	requestChance float64 // probability of a request in each step
	maxPrompt     float64 // maximum tokens of a prompt beyond the first 100
	updateEvery   int     // mean number of steps between endpoint updates
	configure     func(c *Config)
	kinds         []int
}

var ordinaryFleet = []int{0, 0, 0, 1, 1, 1, 1, 2}

func goldenSettings() []goldenSetting {
	return []goldenSetting{
		{name: "plain", requestChance: 0.5, maxPrompt: 4000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {}},
		{name: "inline", requestChance: 0.6, maxPrompt: 4000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {
			c.ReportStyle, c.DecodeEnginesPrefill = ReportInline, true
		}},
		{name: "on-probe", requestChance: 0.5, maxPrompt: 4000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {
			c.ReportStyle, c.Limits.Probe, c.Prices.Probe = ReportOnProbe, true, 1e-4
		}},
		{name: "ahead", requestChance: 0.5, maxPrompt: 30000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {
			c.ReservationOffered, c.Prices = true, Prices{Waste: 0.1, CrossZone: 0.2, LateFailure: 0.5, Transfer: 1e-3}
		}},
		{name: "on-request", requestChance: 0.5, maxPrompt: 4000, updateEvery: 20, kinds: ordinaryFleet, configure: func(c *Config) {
			c.PollsDiscovery = true
		}},
		{name: "unsent-free", requestChance: 0.5, maxPrompt: 4000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {
			c.Limits.ExemptUnsentAttempts, c.Limits.StateTimeRunsUntilResponse = true, true
		}},
		{name: "no-cancel", requestChance: 0.9, maxPrompt: 8000, updateEvery: 20, kinds: []int{0, 1}, configure: func(c *Config) {
			c.Limits.Cancel, c.Limits.RetryAfter, c.Limits.MaxRetryAfter = false, true, 5
		}},
		{name: "quotas", requestChance: 0.8, maxPrompt: 4000, updateEvery: 40, kinds: ordinaryFleet, configure: func(c *Config) {
			c.NodeCount, c.NodeIndex, c.Tenants = 3, 1, []Tenant{{Quota: 0}, {Quota: 5}, {Quota: 30}}
			c.Limits.RetryAfter, c.Limits.MaxRetryAfter = true, 2
		}},
		{name: "mixed", requestChance: 0.6, maxPrompt: 4000, updateEvery: 40, kinds: []int{2, 2, 2, 1}, configure: func(c *Config) {
			c.ReportStyle, c.DecodeEnginesPrefill = ReportInline, true
		}},
		{name: "cold", requestChance: 0.7, maxPrompt: 4000, updateEvery: 6, kinds: ordinaryFleet, configure: func(c *Config) {
			c.NodeCount, c.Rules.SlowStartWindow = 2, 1.5
		}},
		{name: goldenCrowded, requestChance: 0.6, maxPrompt: 1500, updateEvery: 200, kinds: []int{0, 0, 0, 1, 1, 1},
			configure: func(c *Config) {}},
		{name: "all", requestChance: 0.7, maxPrompt: 12000, updateEvery: 20, kinds: ordinaryFleet, configure: func(c *Config) {
			c.ReportStyle, c.Limits.Probe = ReportInline, true
			c.Prices = Prices{Probe: 1e-4, Waste: 0.1, CrossZone: 0.2, LateFailure: 0.5, Transfer: 1e-4}
			c.PollsDiscovery, c.ReservationOffered, c.DecodeEnginesPrefill, c.NodeCount, c.NodeIndex = true, true, true, 2, 1
			c.Limits.HedgedRequests, c.Limits.ExemptUnsentAttempts, c.Limits.StateTimeRunsUntilResponse = true, true, true
			c.Limits.RetryAfter, c.Limits.MaxRetryAfter, c.Tenants = true, 3, []Tenant{{Quota: 0}, {Quota: 10}}
		}},
	}
}

func goldenConfig(s goldenSetting) Config {
	c := testConfig()
	c.ZoneCount = 2
	c.Classes = append(c.Classes,
		Class{Effect: IdempotentByKey, DedupScope: DedupFleet, DedupWindow: 1, FirstTokenObjective: 0.5, ObjectivePerHintSecond: 0.1,
			ClientTimeout: 3, OutputTokenObjective: 0.05, PriorityWeight: 3, LateValue: 0.1},
		Class{Effect: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 3, FirstTokenObjective: 2, ObjectivePer1KTokens: 0.1,
			ClientTimeout: 8, OutputTokenObjective: 0.1, PriorityWeight: 1, LateValue: 0.5})
	s.configure(&c)
	return c
}

// goldenAttempt is an attempt that has not ended.
type goldenAttempt struct {
	id, engine string
	number     int
	role       Role
	sentAt     float64
	streaming  bool
}

// goldenHost generates random events for a scheduler and carries out its actions. It iterates over slices only, never over maps, so
// that the same seed gives the same events.
type goldenHost struct {
	setting       goldenSetting
	cfg           Config
	scheduler     *Scheduler
	random        *rand.Rand
	now           float64
	engines       []Engine
	roles         map[string]Role
	openRequests  []string // requests without a final response
	attemptsSent  map[string]int
	inFlight      []goldenAttempt
	timers        []SetTimer
	pendingEvents []Event // results of the scheduler's actions, not passed to it yet
}

func newGoldenHost(t *testing.T, s goldenSetting, seed int64) *goldenHost {
	h := &goldenHost{setting: s, cfg: goldenConfig(s), random: rand.New(rand.NewSource(seed)), now: 1, roles: map[string]Role{},
		attemptsSent: map[string]int{}}
	r, err := New(h.cfg, uint64(seed))
	if err != nil {
		t.Fatal(err)
	}
	h.scheduler = r
	for i, kind := range s.kinds {
		e := testEngine(fmt.Sprint("e", i), kind, i%2)
		e.Zone = i / 2 % 2
		h.engines, h.roles[e.ID] = append(h.engines, e), h.cfg.Kinds[kind].Role
	}
	return h
}

func (h *goldenHost) chance(p float64) bool { return h.random.Float64() < p }

// request returns a random request in which any field may be set.
func (h *goldenHost) request(i int) Event {
	q := testRequest(fmt.Sprint("q", i), h.random.Intn(len(h.cfg.Classes)))
	q.Tenant = h.random.Intn(len(h.cfg.Tenants))
	q.Session, q.Prefix = fmt.Sprint("s", h.random.Intn(30)), fmt.Sprint("p", h.random.Intn(5))
	switch h.random.Intn(8) {
	case 0:
		q.Prefix = ""
	case 1:
		q.Session = ""
	case 2:
		q.DurationHint = h.random.Float64() * 10
	case 3:
		q.Retry = true
	case 4:
		q.Returned = true
	}
	q.ClientTimeLeft, q.PromptTokens = 0.02+h.random.Float64()*4, 100+h.random.Float64()*h.setting.maxPrompt
	q.PrefixTokens, q.MaxOutputTokens = q.PromptTokens*h.random.Float64(), float64(20+h.random.Intn(400))
	h.openRequests = append(h.openRequests, q.ID)
	return q
}

// report returns a random load report with some of its figures, or nil.
func (h *goldenHost) report() *LoadReport {
	if h.cfg.ReportStyle == ReportOff && !h.chance(0.05) || h.chance(0.2) {
		return nil
	}
	return &LoadReport{Active: float64(h.random.Intn(20)), Waiting: float64(h.random.Intn(3)), Utilization: h.random.Float64(),
		LatencyMS: h.random.Float64() * 200, MemoryShare: h.random.Float64(), TokensWaiting: float64(h.random.Intn(5000)),
		Has: LoadReportField(h.random.Intn(int(HasTokensWaiting) * 2))}
}

var goldenStatuses = []Status{ServerError, Rejected, TimedOut, ConnectFailed, ConnectionLost, Canceled, NotSent, Prefilled, Completed}

// endAttempt ends the attempt in flight with index i, or starts its stream.
func (h *goldenHost) endAttempt(i int) Event {
	a := h.inFlight[i]
	spent := h.now - a.sentAt
	if a.role != Prefill && !a.streaming && h.chance(0.75) {
		h.inFlight[i].streaming = true
		return FirstToken{ID: a.id, Attempt: a.number, Engine: a.engine, Spent: spent}
	}
	h.inFlight = append(h.inFlight[:i:i], h.inFlight[i+1:]...)
	o := Outcome{ID: a.id, Attempt: a.number, Engine: a.engine, Spent: spent, Report: h.report()}
	switch {
	case a.streaming && h.chance(0.9):
		o.Status = Completed
	case a.role == Prefill && h.chance(0.8):
		o.Status = Prefilled
	default:
		o.Status = goldenStatuses[h.random.Intn(len(goldenStatuses))]
		if o.Status == Prefilled && a.role != Prefill { // a host reports Prefilled only for prefill engines
			o.Status = ServerError
		}
	}
	if o.Status == Prefilled || o.Status == Completed {
		o.Info = h.random.Intn(2000)
	} else if o.Status == Rejected {
		o.Info = h.random.Intn(2)
	}
	o.RequestEnded = a.streaming || o.Status == Completed || !h.isOpen(a.id)
	if o.RequestEnded {
		h.close(a.id)
	}
	return o
}

func (h *goldenHost) isOpen(id string) bool {
	for _, x := range h.openRequests {
		if x == id {
			return true
		}
	}
	return false
}

func (h *goldenHost) close(id string) {
	for i, x := range h.openRequests {
		if x == id {
			h.openRequests = append(h.openRequests[:i:i], h.openRequests[i+1:]...)
			return
		}
	}
}

// endpointUpdate changes an engine at random and returns an update with that engine or the whole list, or a failed update.
func (h *goldenHost) endpointUpdate() Event {
	i := h.random.Intn(len(h.engines))
	e := &h.engines[i]
	e.State = EngineState(h.random.Intn(3))
	if h.chance(0.6) {
		e.State = EngineReady
	}
	if e.State == EngineReady && h.chance(0.5) {
		e.BootTime = h.now - h.random.Float64()
	}
	e.Weight = 1 + float64(h.random.Intn(2))
	switch h.random.Intn(8) {
	case 0:
		return EndpointUpdate{Form: UpdateComplete, Engines: append([]Engine(nil), h.engines...)}
	case 1:
		return EndpointUpdate{Form: UpdateStale, Engines: append([]Engine(nil), h.engines[:len(h.engines)-h.random.Intn(2)]...)}
	case 2:
		return EndpointUpdate{Form: UpdateFailed}
	}
	return EndpointUpdate{Form: UpdateIncremental, Engines: []Engine{*e}}
}

// events returns the events of step i and advances the time.
func (h *goldenHost) events(i int) (evs []Event) {
	if i == 0 {
		return []Event{EndpointUpdate{Form: UpdateComplete, Engines: append([]Engine(nil), h.engines...)}}
	}
	at, due := h.now+h.random.Float64()*0.04, -1
	for j, tm := range h.timers {
		if tm.At <= at {
			at, due = tm.At, j
		}
	}
	h.now = max(h.now, at)
	if due >= 0 {
		evs = append(evs, TimerFired{h.timers[due].Token})
		h.timers = append(h.timers[:due:due], h.timers[due+1:]...)
	}
	for len(h.pendingEvents) > 0 && h.chance(0.7) {
		evs, h.pendingEvents = append(evs, h.pendingEvents[0]), h.pendingEvents[1:]
	}
	rate := h.setting.requestChance
	if i/300%3 == 2 { // a period of low load
		rate /= 5
	}
	if h.chance(rate) {
		evs = append(evs, h.request(i))
	}
	if h.random.Intn(h.setting.updateEvery) == 0 {
		evs = append(evs, h.endpointUpdate())
	}
	if len(h.openRequests) > 0 && h.chance(0.02) {
		id := h.openRequests[h.random.Intn(len(h.openRequests))]
		h.close(id)
		evs = append(evs, ClientDisconnected{id})
	}
	if h.chance(0.01) {
		evs = append(evs, PeerMessage{From: h.random.Intn(3), Data: []byte{byte(h.random.Intn(256)), 7}})
	}
	if h.chance(0.01) {
		evs = append(evs, ProbeResult{Engine: h.engines[h.random.Intn(len(h.engines))].ID, Status: TimedOut, Spent: 0.1})
	}
	for j := len(h.inFlight) - 1; j >= 0; j-- {
		p := 0.12
		if h.inFlight[j].streaming && h.setting.name == goldenCrowded { // long streams, which fill the decode engines
			p = 0.01
		}
		if h.chance(p) {
			evs = append(evs, h.endAttempt(j))
		}
	}
	return evs
}

// carryOut carries out the actions of a step. Their results are passed to the scheduler in later steps.
func (h *goldenHost) carryOut(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			h.inFlight = append(h.inFlight, goldenAttempt{id: a.ID, engine: a.Engine, number: h.attemptsSent[a.ID],
				role: h.roles[a.Engine], sentAt: h.now})
			h.attemptsSent[a.ID]++
		case Cancel:
			for j, x := range h.inFlight {
				if x.id == a.ID && x.number == a.Attempt {
					h.inFlight = append(h.inFlight[:j:j], h.inFlight[j+1:]...)
					h.pendingEvents = append(h.pendingEvents, Outcome{ID: x.id, Attempt: x.number, Engine: x.engine, Status: Canceled,
						Spent: h.now - x.sentAt, RequestEnded: !h.isOpen(x.id)})
					break
				}
			}
		case Reserve:
			h.pendingEvents = append(h.pendingEvents,
				ReserveResult{ID: a.ID, Attempt: h.attemptsSent[a.ID] - 1, Engine: a.Engine, OK: h.chance(0.7)})
		case Reject:
			h.close(a.ID)
		case Fail:
			h.close(a.ID)
		case SetTimer:
			h.timers = append(h.timers, a)
		case Probe:
			p := ProbeResult{Engine: a.Engine, Status: Completed, Spent: h.random.Float64() * 0.05, Report: h.report()}
			if h.chance(0.1) {
				p.Status, p.Report = goldenStatuses[h.random.Intn(len(goldenStatuses))], nil
			}
			h.pendingEvents = append(h.pendingEvents, p)
		case WatchEndpoints, FetchEndpoints:
			h.pendingEvents = append(h.pendingEvents, EndpointUpdate{Form: UpdateComplete, Engines: append([]Engine(nil), h.engines...)})
		}
	}
}

// The words and texts below are stored in the golden files. They stay the same when the code is renamed.

func num(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func statusWord(s Status) string {
	return map[Status]string{Completed: "served", ServerError: "server-error", Rejected: "turned-away", TimedOut: "no-answer",
		ConnectFailed: "no-connection", ConnectionLost: "connection-lost", Canceled: "called-off", NotSent: "not-sent",
		Prefilled: "parsed"}[s]
}

func formWord(f UpdateForm) string {
	return map[UpdateForm]string{UpdateIncremental: "changes", UpdateComplete: "full", UpdateStale: "warm", UpdateFailed: "lost"}[f]
}

func stateWord(s EngineState) string {
	return map[EngineState]string{EngineReady: "ready", EngineDraining: "draining", EngineRemoved: "removed"}[s]
}

func reasonWord(w FailureReason) string {
	return map[FailureReason]string{"": "none", DeadlineNear: "time-is-up", ObjectiveUnreachable: "too-late",
		AttemptsExhausted: "no-attempt-left", RepeatUnsafe: "may-run-twice"}[w]
}

func reportText(r *LoadReport) string {
	if r == nil {
		return "none"
	}
	has := ""
	for _, f := range []struct {
		bit  LoadReportField
		text string
	}{{HasActive, "a"}, {HasWaiting, "w"}, {HasUtilization, "u"}, {HasLatency, "l"}, {HasMemoryShare, "m"}, {HasTokensWaiting, "t"}} {
		if r.Has&f.bit != 0 {
			has += f.text
		}
	}
	return "(" + strings.Join([]string{num(r.Active), num(r.Waiting), num(r.Utilization), num(r.LatencyMS), num(r.MemoryShare),
		num(r.TokensWaiting), "has:" + has}, ",") + ")"
}

func eventText(ev Event) string {
	switch v := ev.(type) {
	case Request:
		return fmt.Sprintf("request id=%s class=%d tenant=%d session=%q prefix=%q left=%s hint=%s prompt=%s shared=%s out=%s "+
			"retry=%t returned=%t", v.ID, v.Class, v.Tenant, v.Session, v.Prefix, num(v.ClientTimeLeft),
			num(v.DurationHint), num(v.PromptTokens), num(v.PrefixTokens), num(v.MaxOutputTokens), v.Retry, v.Returned)
	case Outcome:
		return fmt.Sprintf("outcome id=%s n=%d engine=%s status=%s info=%d spent=%s closed=%t report=%s", v.ID, v.Attempt, v.Engine,
			statusWord(v.Status), v.Info, num(v.Spent), v.RequestEnded, reportText(v.Report))
	case FirstToken:
		return fmt.Sprintf("first id=%s n=%d engine=%s spent=%s", v.ID, v.Attempt, v.Engine, num(v.Spent))
	case ClientDisconnected:
		return "gone id=" + v.ID
	case ReserveResult:
		return fmt.Sprintf("held id=%s n=%d engine=%s ok=%t", v.ID, v.Attempt, v.Engine, v.OK)
	case EndpointUpdate:
		s := "members form=" + formWord(v.Form)
		for _, e := range v.Engines {
			s += fmt.Sprintf(" (%s,cell:%d,zone:%d,kind:%d,%s,weight:%s,boot:%s)", e.ID, e.Cell, e.Zone, e.Kind, stateWord(e.State),
				num(e.Weight), num(e.BootTime))
		}
		return s
	case ProbeResult:
		return fmt.Sprintf("probed engine=%s status=%s spent=%s report=%s", v.Engine, statusWord(v.Status), num(v.Spent),
			reportText(v.Report))
	case TimerFired:
		return fmt.Sprintf("wake token=%d", v.Token)
	case PeerMessage:
		return fmt.Sprintf("peer from=%d data=%s", v.From, hex.EncodeToString(v.Data))
	}
	return "unknown event"
}

// actionText formats an action. words is its text for operators and clients, on which no decision depends.
func actionText(a Action) (text, words string) {
	switch v := a.(type) {
	case Send:
		return fmt.Sprintf("send id=%s engine=%s timeout=%s", v.ID, v.Engine, num(v.Timeout)), ""
	case Cancel:
		return fmt.Sprintf("cancel id=%s n=%d", v.ID, v.Attempt), ""
	case Reserve:
		return fmt.Sprintf("reserve id=%s engine=%s", v.ID, v.Engine), ""
	case Release:
		return "release id=" + v.ID, ""
	case Reject:
		return fmt.Sprintf("refuse id=%s after=%s why=%s", v.ID, num(v.RetryAfter), reasonWord(v.Reason)), string(v.Reason)
	case Fail:
		return fmt.Sprintf("fail id=%s why=%s", v.ID, reasonWord(v.Reason)), string(v.Reason)
	case SetTimer:
		return fmt.Sprintf("timer at=%s token=%d", num(v.At), v.Token), ""
	case Probe:
		return "probe engine=" + v.Engine, ""
	case WatchEndpoints:
		return fmt.Sprintf("watch on=%t", v.On), ""
	case FetchEndpoints:
		return "fetch", ""
	case Log:
		return "log", v.Text
	}
	return "unknown action", ""
}

// goldenRecording is a recording: the first steps in full, then a running hash of all steps. Texts for operators and clients are recorded
// separately, the first of them and a hash of all, so that a change of their wording doesn't hide a changed decision.
type goldenRecording struct {
	lines, words     []string
	steps, fullSteps int
	hash, wordHash   uint64
	counts           map[string]int
}

func (g *goldenRecording) step(line string, words []string) {
	h := fnv.New64a()
	fmt.Fprintf(h, "%016x%s\n", g.hash, line)
	g.hash = h.Sum64()
	if g.steps < g.fullSteps {
		g.lines = append(g.lines, line)
	} else if (g.steps+1)%goldenHashInterval == 0 {
		g.lines = append(g.lines, fmt.Sprintf("hash up to step %d: %016x", g.steps, g.hash))
	}
	g.steps++
	for _, w := range words {
		h := fnv.New64a()
		fmt.Fprintf(h, "%016x%s\n", g.wordHash, w)
		g.wordHash = h.Sum64()
		if len(g.words) < 20 {
			g.words = append(g.words, "words: "+w)
		}
	}
}

func (g *goldenRecording) text() string {
	return strings.Join(g.lines, "\n") + "\n" + strings.Join(g.words, "\n") + fmt.Sprintf("\nhash of all words: %016x\n", g.wordHash)
}

func record(t *testing.T, s goldenSetting, seed int64) *goldenRecording {
	h, g := newGoldenHost(t, s, seed), &goldenRecording{fullSteps: goldenFullSteps, counts: map[string]int{}}
	if seed > 1 || s.name == goldenCrowded { // the full text of one seed's first steps is enough
		g.fullSteps = 10
	}
	for i := range goldenSteps {
		evs := h.events(i)
		in, out, words := []string{}, []string{}, []string{}
		for _, ev := range evs {
			in = append(in, eventText(ev))
			g.count(in[len(in)-1])
		}
		acts := h.scheduler.Step(h.now, evs)
		for _, a := range acts {
			text, w := actionText(a)
			out = append(out, text)
			if g.count(text); w != "" {
				words = append(words, w)
			}
		}
		h.carryOut(acts)
		g.step(fmt.Sprintf("step %d at %s: %s => %s", i, num(h.now), strings.Join(in, "; "), strings.Join(out, "; ")), words)
	}
	return g
}

// count counts an event or action under its type, and under its type combined with each status, form or reason that it has.
func (g *goldenRecording) count(text string) {
	fields := strings.Fields(text)
	g.counts[fields[0]]++
	for _, f := range fields[1:] {
		if strings.HasPrefix(f, "status=") || strings.HasPrefix(f, "form=") || strings.HasPrefix(f, "why=") {
			g.counts[fields[0]+" "+f]++
		}
	}
}

// goldenNote explains the lines of a golden file.
var goldenNote = fmt.Sprintf("(the name is setting-seed; a hash covers the %d steps up to its own)", goldenHashInterval)

// For the same events, the scheduler returns the same actions as in the golden files, to the last digit.
func TestActionsMatchGoldenFiles(t *testing.T) {
	all, ran := map[string]int{}, 0
	for _, s := range goldenSettings() {
		for _, seed := range []int64{1, 2} {
			name := fmt.Sprintf("%s-%d", s.name, seed)
			t.Run(name, func(t *testing.T) {
				g := record(t, s, seed)
				ran++
				for k, n := range g.counts {
					all[k] += n
				}
				goldenfile.Compare(t, name, g.text(), goldenNote)
			})
		}
	}
	if ran < 2*len(goldenSettings()) { // -run selected only some of them
		return
	}
	for _, k := range []string{"request", "outcome", "first", "gone", "held", "members form=changes", "members form=full",
		"members form=warm", "members form=lost", "probed", "wake", "peer", "send", "cancel", "reserve", "release", "refuse", "fail",
		"timer", "probe", "watch", "log", "outcome status=served", "outcome status=server-error", "outcome status=turned-away",
		"outcome status=no-answer", "outcome status=no-connection", "outcome status=connection-lost", "outcome status=called-off",
		"outcome status=not-sent", "outcome status=parsed"} {
		if all[k] == 0 {
			t.Errorf("no recording contains %q", k)
		}
	}
	t.Log(all)
}
