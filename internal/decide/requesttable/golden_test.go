package requesttable

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"strconv"
	"strings"
	"testing"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/goldenfile"
	"dillroute/scheduler"
)

// Sizes of a recording. The first steps are recorded in full, the others as a running hash.
const (
	goldenSteps        = 4000
	goldenFullSteps    = 150 // steps recorded in full
	goldenHashInterval = 50  // steps from one recorded hash to the next
)

// goldenSetting is a variant of Config that is recorded with several seeds.
type goldenSetting struct {
	name   string
	change func(c *Config)
}

func goldenSettings() []goldenSetting {
	return []goldenSetting{
		{"plain", func(c *Config) {}},
		{"release-all", func(c *Config) { c.ReleaseFreesAllStates = true }},
		{"unsent-free", func(c *Config) { c.ExemptUnsentAttempts, c.MaxAttempts = true, 3 }},
		{"release-all-unsent-free", func(c *Config) { c.ReleaseFreesAllStates, c.ExemptUnsentAttempts = true, true }},
	}
}

var goldenEngines = []scheduler.Engine{{ID: "r0"}, {ID: "r1", Cell: 1, Zone: 1}, {ID: "w0", Kind: 1}, {ID: "w1", Kind: 1, Cell: 1},
	{ID: "w2", Kind: 1, Cell: 2, Zone: 1}, {ID: "m0", Kind: 2, Cell: 1, Zone: 1}}

// goldenHarness passes random inputs to a table and drains its commands. It iterates over slices only, so that the same seed
// gives the same inputs.
type goldenHarness struct {
	table    *Table
	config   Config
	random   *rand.Rand
	now      float64
	ids      []string
	inFlight []StartAttempt
	releases []ReleaseState
	checks   map[string]CheckHeldState // the latest one of each request
	stopped  bool
}

func newGoldenHarness(s goldenSetting, seed int64) *goldenHarness {
	c := classes()
	c = append(c, scheduler.Class{Effect: scheduler.IdempotentByKey, DedupScope: scheduler.DedupZone, DedupWindow: 1})
	config := Config{Classes: c, MaxOpenRequests: 8, MaxAttempts: 4, ResponseSlack: 0.05, DrainGrace: 0.25,
		StateReleaseLimit: 1}
	s.change(&config)
	table := New(config, []scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Decode}, {Role: scheduler.Mixed}})
	return &goldenHarness{table: table, config: config, checks: map[string]CheckHeldState{}, random: rand.New(rand.NewSource(seed)), now: 1}
}

func (h *goldenHarness) chance(p float64) bool { return h.random.Float64() < p }

// updateList passes an update of the endpoint list to the table and returns it as text.
func (h *goldenHarness) updateList(form scheduler.UpdateForm, engines []scheduler.Engine) string {
	h.table.UpdateEndpoints(h.now, scheduler.EndpointUpdate{Form: form, Engines: engines})
	return "members " + endpointsText(form, engines)
}

// nextInput passes one random input to the table and returns it as text.
func (h *goldenHarness) nextInput(i int) string {
	h.now += h.random.Float64() * 0.15
	if i == 0 {
		return h.updateList(scheduler.UpdateComplete, goldenEngines)
	}
	if i%500 == 470 || i%500 == 499 { // the table is emptied and replaced, so that every kind of input occurs again
		return h.restart()
	}
	k := h.random.Intn(100)
	if len(h.ids) == 0 || k < 14 {
		return h.addRequest(i)
	}
	id := h.drawRequest()
	switch {
	case k < 68 && k >= 45 && len(h.inFlight) == 0:
		return h.send(id)
	case k < 45:
		return h.send(id)
	case k < 68:
		return h.endAttempt()
	case k < 76:
		return h.firstToken(id)
	case k < 84:
		return h.applyAction(id)
	case k < 86:
		half := h.chance(0.5)
		h.table.ClientDisconnected(h.now, id, half)
		return fmt.Sprintf("hangup id=%s half=%t", id, half)
	case k < 89:
		if at, ok := h.table.Deadline(id); ok && h.chance(0.5) {
			h.now = max(h.now, at)
		}
		h.table.DeadlineReached(h.now, id)
		return "overdue id=" + id
	case k < 94:
		return h.updateEndpoints()
	default:
		return h.rareInput(id)
	}
}

// drawRequest draws an open request, or occasionally one that has ended.
func (h *goldenHarness) drawRequest() string {
	var open []string
	for _, id := range h.ids[max(0, len(h.ids)-40):] {
		if _, ok := h.table.Deadline(id); ok {
			open = append(open, id)
		}
	}
	if len(open) == 0 || h.chance(0.05) {
		open = h.ids
	}
	return open[h.random.Intn(len(open))]
}

func (h *goldenHarness) addRequest(i int) string {
	q := scheduler.Request{ID: fmt.Sprint("q", i), Class: h.random.Intn(len(h.config.Classes)), Session: "s", Prefix: "p",
		ClientTimeLeft: 0.2 + h.random.Float64()*6, PromptTokens: 1000, MaxOutputTokens: 100}
	switch h.random.Intn(30) {
	case 0:
		q.Class = 77
	case 1:
		if len(h.ids) > 0 {
			q.ID = h.ids[len(h.ids)-1]
		}
	}
	whole := []float64{0, 0, 1, 6}[h.random.Intn(4)]
	a, ok := h.table.AddRequest(h.now, q, whole)
	if ok {
		h.ids = append(h.ids, q.ID)
	}
	return fmt.Sprintf("request id=%s class=%d left=%s whole=%s taken=%t %s", q.ID, q.Class, num(q.ClientTimeLeft), num(whole), ok,
		responseText(a))
}

func (h *goldenHarness) send(id string) string {
	engine := []string{"r0", "r0", "r1", "r1", "w0", "w1", "w2", "m0", "nobody"}[h.random.Intn(9)]
	timeout := float64(h.random.Intn(3))
	ok := h.table.Apply(h.now, scheduler.Send{ID: id, Engine: engine, Timeout: timeout})
	return fmt.Sprintf("send id=%s engine=%s timeout=%s known=%t", id, engine, num(timeout), ok)
}

// drawAttempt draws an attempt in flight, or one that does not exist, with the index -1.
func (h *goldenHarness) drawAttempt() (s StartAttempt, at int) {
	if len(h.inFlight) == 0 || h.chance(0.02) {
		return StartAttempt{ID: "q0", Attempt: 3}, -1
	}
	at = h.random.Intn(len(h.inFlight))
	return h.inFlight[at], at
}

var (
	goldenCauses = []outcome.Cause{outcome.ResponseComplete, outcome.ResponseComplete, outcome.ResponseComplete,
		outcome.ResponseComplete, outcome.ResponseComplete, outcome.ConnectionBroken,
		outcome.AttemptTimedOut, outcome.AttemptTimedOut, outcome.CanceledByScheduler, outcome.CanceledByScheduler,
		outcome.RequestEnded, outcome.MalformedResponse, outcome.StreamStalled, outcome.ClientDisconnected}
	goldenProgress = []outcome.Progress{outcome.NotStarted, outcome.Connecting, outcome.Connected, outcome.RequestWritten,
		outcome.RequestWritten, outcome.RequestWritten,
		outcome.HeaderReceived}
	goldenResponseKinds = []outcome.ResponseKind{outcome.EngineError, outcome.PrefillDone, outcome.DecodeDone, outcome.EngineRejected,
		outcome.StateMissing, outcome.InvalidRequest}
)

func (h *goldenHarness) endAttempt() string {
	s, at := h.drawAttempt()
	if at >= 0 {
		h.inFlight = append(h.inFlight[:at:at], h.inFlight[at+1:]...)
	}
	f := outcome.Evidence{Cause: goldenCauses[h.random.Intn(len(goldenCauses))],
		Progress: goldenProgress[h.random.Intn(len(goldenProgress))]}
	if f.Cause == outcome.ResponseComplete {
		f.Progress, f.ResponseKind = outcome.HeaderReceived, goldenResponseKinds[h.random.Intn(len(goldenResponseKinds))]
		if s.Stage == outcome.Prefill && h.chance(0.7) {
			f.ResponseKind = outcome.PrefillDone
		}
		if f.ResponseKind == outcome.InvalidRequest {
			f.Code = 400 + h.random.Intn(2)
		}
		f.CachedTokens = h.random.Intn(500)
	}
	var rep *scheduler.LoadReport
	if h.chance(0.2) {
		rep = &scheduler.LoadReport{Active: float64(h.random.Intn(9)), Utilization: h.random.Float64(),
			Has: scheduler.HasActive | scheduler.HasUtilization}
	}
	h.table.AttemptEnded(h.now, s.ID, s.Attempt, f, rep)
	return fmt.Sprintf("ended id=%s n=%d %s report=%s", s.ID, s.Attempt, evidenceText(f), reportText(rep))
}

func (h *goldenHarness) firstToken(id string) string {
	s, _ := h.drawAttempt()
	if h.chance(0.1) {
		s.ID = id
	}
	if (s.Stage == outcome.Prefill || s.FetchState) && h.chance(0.7) {
		return h.heldStateDue(s)
	}
	h.table.FirstToken(h.now, s.ID, s.Attempt)
	return fmt.Sprintf("first id=%s n=%d", s.ID, s.Attempt)
}

func (h *goldenHarness) applyAction(id string) string {
	var a scheduler.Action
	text, n, after := "", h.random.Intn(3), h.random.Float64()
	switch h.random.Intn(10) {
	case 0:
		a, text = scheduler.Reject{ID: id, RetryAfter: after, Reason: scheduler.ObjectiveUnreachable},
			"refuse id="+id+" why=too-late after="+num(after)
	case 1:
		a, text = scheduler.Reject{ID: id}, "refuse id="+id+" why=none after=0"
	case 2:
		a, text = scheduler.Fail{ID: id, Reason: scheduler.RepeatUnsafe}, "fail id="+id+" why=may-run-twice"
	case 3, 4, 5:
		a, text = scheduler.Release{ID: id}, "release id="+id
	case 6:
		a, text = scheduler.Reserve{ID: id, Engine: "w0"}, "reserve id="+id+" engine=w0"
	case 7:
		a, text = scheduler.SetTimer{At: h.now, Token: 1}, "timer"
	default:
		a, text = scheduler.Cancel{ID: id, Attempt: n}, fmt.Sprintf("cancel id=%s n=%d", id, n)
	}
	return fmt.Sprintf("%s known=%t", text, h.table.Apply(h.now, a))
}

func (h *goldenHarness) updateEndpoints() string {
	e := goldenEngines[h.random.Intn(len(goldenEngines))]
	e.State = []scheduler.EngineState{scheduler.EngineReady, scheduler.EngineReady, scheduler.EngineReady,
		scheduler.EngineDraining, scheduler.EngineRemoved}[h.random.Intn(5)]
	switch h.random.Intn(8) {
	case 0:
		return h.updateList(scheduler.UpdateFailed, nil)
	case 1:
		return h.updateList(scheduler.UpdateStale, goldenEngines[:4+h.random.Intn(3)])
	case 2, 3, 4:
		return h.updateList(scheduler.UpdateComplete, goldenEngines)
	}
	return h.updateList(scheduler.UpdateIncremental, []scheduler.Engine{e})
}

// rareInput passes an input that occurs seldom.
func (h *goldenHarness) rareInput(id string) string {
	s, _ := h.drawAttempt()
	switch h.random.Intn(20) {
	case 0:
		h.table.RespondToQueued(h.now)
		return "end held"
	case 1, 2, 3:
		h.table.CutStream(h.now, id)
		return "move id=" + id
	case 8:
		h.table.ProbeResult(scheduler.ProbeResult{Engine: s.Engine, Status: scheduler.Completed,
			Report: &scheduler.LoadReport{Active: 2, Has: scheduler.HasActive}})
		return "heard engine=" + s.Engine
	case 9:
		h.now += 121
		return "long wait; " + h.updateEndpoints()
	case 10:
		h.config.MaxOpenRequests, h.config.DrainGrace, h.config.ResponseSlack = 5+h.random.Intn(6), float64(h.random.Intn(4))/8,
			float64(1+h.random.Intn(3))/20
		h.table.Reconfigure(h.config)
		return fmt.Sprintf("reconfigure open=%d grace=%s slack=%s", h.config.MaxOpenRequests, num(h.config.DrainGrace),
			num(h.config.ResponseSlack))
	case 11, 12, 13, 14:
		if len(h.releases) > 0 {
			r := h.releases[h.random.Intn(len(h.releases))]
			return fmt.Sprintf("wanted %s: %t", releaseText(r), h.table.ReleaseAllowed(h.now, r))
		}
	}
	return h.heldStateDue(s)
}

// heldStateDue reports that held states of an attempt's request are due, and whether the attempt has left this machine.
func (h *goldenHarness) heldStateDue(s StartAttempt) string {
	delivered := h.chance(0.5)
	check := h.checks[s.ID]
	h.now = max(h.now, check.At)
	h.table.HeldStateDue(h.now, check, Deliveries{s.Attempt: delivered})
	return fmt.Sprintf("due id=%s n=%d delivered=%t", s.ID, s.Attempt, delivered)
}

// restart stops the table and ends every request; the next call creates a new table.
func (h *goldenHarness) restart() string {
	if !h.stopped {
		h.stopped = true
		h.table.StopAccepting()
		h.table.RespondToAll(h.now)
		return "close; end all"
	}
	h.stopped, h.ids, h.inFlight, h.releases = false, nil, nil, nil
	h.table = New(h.config, []scheduler.Kind{{Role: scheduler.Prefill}, {Role: scheduler.Decode}, {Role: scheduler.Mixed}})
	return "new; " + h.updateList(scheduler.UpdateComplete, goldenEngines)
}

// queries returns the results of the table's read-only methods as text.
func (h *goldenHarness) queries() string {
	s := fmt.Sprintf("ready=%t live=%d held=%d pending=%t", h.table.Ready(), h.table.OpenRequests(), h.table.Len(), h.table.HasEvents())
	for _, e := range goldenEngines {
		s += fmt.Sprintf(" %s:%t,%t,%s", e.ID, h.table.EngineKnown(e.ID), h.table.EngineReady(e.ID), num(h.table.DrainingSince(e.ID)))
	}
	for _, stream := range h.table.Streams() {
		s += fmt.Sprintf(" streams:%s,%s", stream.ID, num(stream.SentAt))
	}
	if len(h.ids) > 0 {
		at, ok := h.table.Deadline(h.ids[len(h.ids)-1])
		s += fmt.Sprintf(" deadline=%s,%t", num(at), ok)
	}
	return s
}

// The words and texts below are the format of the golden files. They do not follow the names in the code.

func num(x float64) string { return strconv.FormatFloat(x, 'g', -1, 64) }

func statusWord(s scheduler.Status) string {
	return map[scheduler.Status]string{scheduler.Completed: "served", scheduler.ServerError: "server-error",
		scheduler.Rejected: "turned-away",
		scheduler.TimedOut: "no-answer", scheduler.ConnectFailed: "no-connection", scheduler.ConnectionLost: "connection-lost",
		scheduler.Canceled: "called-off", scheduler.NotSent: "not-sent", scheduler.Prefilled: "parsed"}[s]
}

func stateWord(s scheduler.EngineState) string {
	return map[scheduler.EngineState]string{scheduler.EngineReady: "ready", scheduler.EngineDraining: "draining",
		scheduler.EngineRemoved: "removed"}[s]
}

func formWord(f scheduler.UpdateForm) string {
	return map[scheduler.UpdateForm]string{scheduler.UpdateIncremental: "changes", scheduler.UpdateComplete: "full",
		scheduler.UpdateStale:  "warm",
		scheduler.UpdateFailed: "lost"}[f]
}

func stageWord(s outcome.Stage) string {
	return map[outcome.Stage]string{outcome.Prefill: "prefill", outcome.Decode: "decode"}[s]
}

func causeWord(c outcome.Cause) string {
	return map[outcome.Cause]string{outcome.ResponseComplete: "answered", outcome.ConnectionBroken: "broken",
		outcome.AttemptTimedOut:     "expired",
		outcome.CanceledByScheduler: "stopped", outcome.RequestEnded: "overtaken", outcome.MalformedResponse: "unreadable",
		outcome.StreamStalled:      "stalled",
		outcome.ClientDisconnected: "client-left"}[c]
}

func evidenceText(f outcome.Evidence) string {
	progress := map[outcome.Progress]string{outcome.NotStarted: "unsent", outcome.Connecting: "dialling", outcome.Connected: "connected",
		outcome.RequestWritten: "written", outcome.HeaderReceived: "headed", outcome.Streaming: "streaming"}[f.Progress]
	meaning := map[outcome.ResponseKind]string{outcome.EngineError: "error", outcome.PrefillDone: "read",
		outcome.DecodeDone: "done", outcome.EngineRejected: "turned",
		outcome.StateMissing: "no-state", outcome.InvalidRequest: "judged"}[f.ResponseKind]
	return fmt.Sprintf("cause=%s progress=%s meaning=%s code=%d kept=%d", causeWord(f.Cause), progress, meaning, f.Code, f.CachedTokens)
}

func responseText(a outcome.Response) string {
	return fmt.Sprintf("http=%d code=%q retry=%t", a.HTTPStatus, a.Code, a.RetryIsSafe)
}

func reportText(r *scheduler.LoadReport) string {
	if r == nil {
		return "none"
	}
	return fmt.Sprintf("(%s,%s,active:%t,util:%t)", num(r.Active), num(r.Utilization), r.Has&scheduler.HasActive != 0,
		r.Has&scheduler.HasUtilization != 0)
}

func endpointsText(form scheduler.UpdateForm, engines []scheduler.Engine) string {
	s := "form=" + formWord(form)
	for _, e := range engines {
		s += fmt.Sprintf(" %s:%s", e.ID, stateWord(e.State))
	}
	return s
}

func releaseText(r ReleaseState) string {
	return fmt.Sprintf("release id=%s engine=%s n=%d cut=%s since=%s limit=%t", r.ID, r.Engine, r.Attempt, num(r.InterruptedAt),
		num(r.HeldSince), r.AtLimit)
}

func eventText(ev scheduler.Event) string {
	switch v := ev.(type) {
	case scheduler.Request:
		return fmt.Sprintf("request id=%s class=%d session=%s prefix=%s left=%s prompt=%s out=%s", v.ID, v.Class, v.Session, v.Prefix,
			num(v.ClientTimeLeft), num(v.PromptTokens), num(v.MaxOutputTokens))
	case scheduler.Outcome:
		return fmt.Sprintf("outcome id=%s n=%d engine=%s status=%s info=%d spent=%s closed=%t report=%s", v.ID, v.Attempt, v.Engine,
			statusWord(v.Status), v.Info, num(v.Spent), v.RequestEnded, reportText(v.Report))
	case scheduler.FirstToken:
		return fmt.Sprintf("first id=%s n=%d engine=%s spent=%s", v.ID, v.Attempt, v.Engine, num(v.Spent))
	case scheduler.ClientDisconnected:
		return "gone id=" + v.ID
	case scheduler.StateReleased:
		return "released id=" + v.ID
	case scheduler.EndpointUpdate:
		return "members " + endpointsText(v.Form, v.Engines)
	case scheduler.ProbeResult:
		return fmt.Sprintf("probed engine=%s status=%s report=%s", v.Engine, statusWord(v.Status), reportText(v.Report))
	}
	return "unknown event"
}

// commandText returns a command as text, and separately the message for people that it contains ("" = none).
func commandText(c Command) (text, message string) {
	switch v := c.(type) {
	case StartAttempt:
		return fmt.Sprintf("start id=%s engine=%s n=%d stage=%s state=%t,%d timeout=%s write-by=%s", v.ID, v.Engine, v.Attempt,
			stageWord(v.Stage), v.FetchState, v.StateAttempt, num(v.Timeout), num(v.WriteBy)), ""
	case CheckHeldState:
		return fmt.Sprintf("check id=%s at=%s", v.ID, num(v.At)), ""
	case CancelAttempt:
		return fmt.Sprintf("abort id=%s n=%d cause=%s", v.ID, v.Attempt, causeWord(v.Cause)), ""
	case GrantResponse:
		return fmt.Sprintf("grant id=%s n=%d ok=%t", v.ID, v.Attempt, v.Granted), ""
	case ReleaseState:
		return releaseText(v), ""
	case Respond:
		return fmt.Sprintf("answer id=%s %s after=%s", v.ID, responseText(v.Response), num(v.RetryAfter)), v.Reason
	case PassThrough:
		return fmt.Sprintf("pass id=%s n=%d", v.ID, v.Attempt), ""
	case ForgetRequest:
		return "forget id=" + v.ID, ""
	case ReportFault:
		return "fault", v.Text
	}
	return "unknown command", ""
}

// goldenRecording is the text of a recording: the first steps in full, then a running hash. The messages for people are recorded
// separately, so that a change of wording does not hide a change of a decision.
type goldenRecording struct {
	lines, messages       []string
	steps                 int
	stepHash, messageHash uint64
}

func runningHash(sum uint64, line string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%016x%s\n", sum, line)
	return h.Sum64()
}

func (g *goldenRecording) step(line string, messages []string, full int) {
	g.stepHash = runningHash(g.stepHash, line)
	if g.steps < full {
		g.lines = append(g.lines, line)
	} else if (g.steps+1)%goldenHashInterval == 0 {
		g.lines = append(g.lines, fmt.Sprintf("hash up to step %d: %016x", g.steps, g.stepHash))
	}
	g.steps++
	for _, message := range messages {
		if g.messageHash = runningHash(g.messageHash, message); len(g.messages) < 30 {
			g.messages = append(g.messages, "words: "+message)
		}
	}
}

func (g *goldenRecording) text() string {
	return strings.Join(g.lines, "\n") + "\n" + strings.Join(g.messages, "\n") + fmt.Sprintf("\nhash of all words: %016x\n", g.messageHash)
}

// goldenCounts counts the kinds of inputs, events and commands in a recording.
type goldenCounts map[string]int

// countedFields are the fields of a text whose values are counted too.
var countedFields = []string{"status=", "form=", "cause=", "progress=", "meaning=", "code=", "stage=", "ok="}

func (counts goldenCounts) add(prefix, text string) {
	fields := strings.Fields(text)
	counts[prefix+fields[0]]++
	for _, field := range fields[1:] {
		for _, counted := range countedFields {
			if strings.HasPrefix(field, counted) {
				counts[prefix+fields[0]+" "+field]++
			}
		}
	}
}

// recordRun runs a harness and returns the recording. It counts the kinds of inputs, events and commands.
func recordRun(t *testing.T, s goldenSetting, seed int64, counts goldenCounts) string {
	t.Helper()
	h, g, full := newGoldenHarness(s, seed), &goldenRecording{}, goldenFullSteps
	if seed > 1 { // long full texts are recorded for the first seed only
		full = 10
	}
	for i := range goldenSteps {
		input := h.nextInput(i)
		counts.add("input ", input)
		queried := h.queries()
		out, messages := h.drain(counts)
		if err := h.table.Audit(); err != nil {
			t.Fatal(err)
		}
		g.step(fmt.Sprintf("step %d at %s: %s => %s | %s", i, num(h.now), input, strings.Join(out, "; "), queried), messages, full)
	}
	return g.text()
}

// drain drains the events and commands of a step, occasionally the commands alone, and returns them as text. messages are the
// texts for people that the commands contain.
func (h *goldenHarness) drain(counts goldenCounts) (out, messages []string) {
	var events []scheduler.Event
	var commands []Command
	if h.chance(0.2) {
		commands = h.table.DrainCommands() // events wait for the next step
	} else {
		events, commands = h.table.Drain(h.now)
	}
	for _, event := range events {
		text := eventText(event)
		out = append(out, text)
		counts.add("event ", text)
	}
	for _, command := range commands {
		text, message := commandText(command)
		out = append(out, text)
		counts.add("command ", text)
		if message != "" {
			messages = append(messages, message)
		}
		h.remember(command, counts)
	}
	return out, messages
}

// remember stores the attempts, checks and releases that later inputs refer to.
func (h *goldenHarness) remember(command Command, counts goldenCounts) {
	switch c := command.(type) {
	case StartAttempt:
		h.inFlight = append(h.inFlight, c)
	case CheckHeldState:
		h.checks[c.ID] = c
	case ReleaseState:
		h.releases = append(h.releases, c)
		if c.AtLimit {
			counts["command release at limit"]++
		}
	}
}

// goldenNote explains the lines of a golden file.
var goldenNote = fmt.Sprintf("(the name is setting-seed; a hash covers the %d steps up to its own)", goldenHashInterval)

// The same inputs lead to the same events and commands as in the golden files.
func TestCommandsMatchGoldenFiles(t *testing.T) {
	counts := goldenCounts{}
	for _, s := range goldenSettings() {
		for _, seed := range []int64{1, 2, 3} {
			name := fmt.Sprintf("%s-%d", s.name, seed)
			t.Run(name, func(t *testing.T) { goldenfile.Compare(t, name, recordRun(t, s, seed, counts), goldenNote) })
		}
	}
	for _, k := range []string{"input request", "input send", "input ended", "input first", "input hangup", "input overdue",
		"input members", "input end", "input move", "input due", "input heard", "input wanted", "input close;", "input new;",
		"input reconfigure", "input reserve", "input refuse", "input fail", "input release", "input cancel", "event request",
		"event outcome", "event first", "event gone", "event members", "event probed", "command start", "command abort",
		"command grant ok=true", "command grant ok=false", "event outcome status=served", "event outcome status=server-error",
		"event outcome status=turned-away", "event outcome status=no-answer", "event outcome status=no-connection",
		"event outcome status=connection-lost", "event outcome status=called-off", "event outcome status=not-sent",
		"event outcome status=parsed", "command release", "command release at limit", "command check", "command answer",
		"command pass", "command forget", "command fault"} {
		if counts[k] == 0 {
			t.Errorf("no recording has %q", k)
		}
	}
	t.Log(counts)
}
