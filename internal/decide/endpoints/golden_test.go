package endpoints

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"testing"

	"dillroute/internal/goldenfile"
)

// goldenSeeds is the number of random sequences of each table, and goldenSteps the number of steps of each sequence.
const (
	goldenSeeds = 4
	goldenSteps = 40
)

// transcript collects the text of one golden file.
type transcript struct {
	strings.Builder
	lastBlock string // the last block that lines wrote
}

func (x *transcript) line(format string, args ...any) { fmt.Fprintf(&x.Builder, format+"\n", args...) }

// lines writes a block of lines, or only that it equals the last block.
func (x *transcript) lines(name string, lines []string) {
	block := strings.Join(lines, "\n")
	if block == x.lastBlock {
		x.line("  %s as before", name)
		return
	}
	x.lastBlock = block
	x.line("  %s", name)
	for _, l := range lines {
		x.line("    %s", l)
	}
}

// number formats a time or a weight with nine decimal places, so that differences due to rounding do not show.
func number(x float64) string {
	s := strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.9f", x), "0"), ".")
	if s == "-0" {
		return "0"
	}
	return s
}

func yesNo(is bool) string {
	if is {
		return "yes"
	}
	return "no"
}

// engineLine formats all fields of an endpoint.
func engineLine(e Endpoint) string {
	state := "ready"
	if e.State == Draining {
		state = "draining"
	}
	return fmt.Sprintf("id=%s address=%s kind=%d role=%d cell=%d zone=%d state=%s weight=%s started=%s",
		e.ID, e.Address, e.Kind, e.Role, e.Cell, e.Zone, state, number(e.Weight), number(e.BootTime))
}

// pool is a random set of engines that a source lists.
type pool struct {
	r       *rand.Rand
	engines []Endpoint
}

func newPool(r *rand.Rand) *pool {
	p := &pool{r: r}
	for i := range 6 {
		p.engines = append(p.engines, Endpoint{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Kind: i % 2, Role: i % 2,
			Cell: i % 3, Zone: i % 2, Weight: 1, BootTime: float64(i % 3 * 10)})
	}
	return p
}

// change makes one random change to an engine of the pool.
func (p *pool) change(now float64) {
	e := &p.engines[p.r.IntN(len(p.engines))]
	switch p.r.IntN(7) {
	case 0:
		e.State = Draining
	case 1, 2:
		e.State = Ready
	case 3:
		e.BootTime = now - float64(p.r.IntN(4))
	case 4:
		e.BootTime -= 5
	case 5:
		e.Address = fmt.Sprintf("10.0.%d.%d:80", p.r.IntN(3), p.r.IntN(9))
	case 6:
		e.Weight = float64(p.r.IntN(5)) / 2
	}
}

// list returns all, most or few engines of the pool, some of them twice.
func (p *pool) list() []Endpoint {
	missing := []float64{0, 0, 0.1, 0.2, 0.7, 1}[p.r.IntN(6)]
	var out []Endpoint
	for _, e := range p.engines {
		if p.r.Float64() < missing {
			continue
		}
		out = append(out, e)
		if p.r.IntN(25) == 0 {
			duplicate := e
			switch p.r.IntN(4) {
			case 0:
				duplicate.Address = "10.9.9.9:80"
			case 1:
				duplicate.Address = "1.1.1.1:80"
			case 2:
				duplicate.BootTime++
			case 3:
				duplicate.State = Draining
			}
			out = append(out, duplicate)
		}
	}
	return out
}

// drawElapsed draws the time until the next step: none, a fraction of a second, some seconds or some minutes.
func drawElapsed(r *rand.Rand) float64 {
	durations := []float64{0, 0.01, 0.3, 1, 2, 2.5, 5, 6, 40, 125, 320}
	drawn := []int{0, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 5, 5, 6, 6, 7, 8, 9, 10}
	return durations[drawn[r.IntN(19)]]
}

func TestGoldenView(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 1))
		options := DefaultOptions
		if seed%2 == 1 {
			options = Options{ShrinkShare: 0.25, ConfirmAfter: 6, FlapCount: 2, FlapWindow: 60, FlapHold: 8}
		}
		view, p := NewView(options), newPool(r)
		now, index := 1000.0, uint64(5)
		if seed >= 2 {
			saved := p.list()
			x.line("at %s restore", number(now))
			for _, e := range saved {
				x.line("  told %s", engineLine(e))
			}
			view.Restore(now, saved)
			viewState(x, view, now)
		}
		for range goldenSteps {
			now += drawElapsed(r)
			viewStep(x, r, view, p, now, &index)
			viewState(x, view, now)
		}
	}
	goldenfile.Compare(t, "view", x.String(), "")
}

// viewStep applies one random event to the view: a list, the passage of time, an index reset or a restore.
func viewStep(x *transcript, r *rand.Rand, view *View, p *pool, now float64, index *uint64) {
	switch n := r.IntN(20); {
	case n < 13:
		if r.IntN(3) > 0 {
			p.change(now)
		}
		list := List{Index: *index, Endpoints: p.list()}
		switch r.IntN(8) {
		case 0: // the same index again
		case 1:
			list.Index = 0
		case 2:
			list.Index = *index - 1
		default:
			*index++
			list.Index = *index
		}
		x.line("at %s list index=%d", number(now), list.Index)
		for _, e := range list.Endpoints {
			x.line("  told %s", engineLine(e))
		}
		x.line("  changed=%s", yesNo(view.Apply(now, list)))
	case n < 18:
		x.line("at %s time passes", number(now))
		x.line("  changed=%s", yesNo(view.Tick(now)))
	case n < 19:
		x.line("at %s index fell", number(now))
		view.IndexReset()
		*index = 1
	default:
		x.line("at %s restore of nothing", number(now))
		view.Restore(now, nil)
	}
}

// viewState writes everything that the view returns.
func viewState(x *transcript, view *View, now float64) {
	due := "never"
	if at, ok := view.Next(); ok {
		due = number(at)
	}
	snapshot := view.Snapshot(now)
	x.line("  due=%s waiting=%s index=%d since=%s saved=%s", due, strings.Join(view.UnconfirmedRemovals(), ","),
		snapshot.Index, number(snapshot.ConfirmedAt), yesNo(snapshot.Saved))
	var use []string
	for _, e := range snapshot.Endpoints {
		use = append(use, engineLine(e))
	}
	x.lines("use", use)
	var notes []string
	for _, n := range view.Notes() {
		notes = append(notes, strings.Join(noteFigures.FindAllString(n.Text, -1), " "))
	}
	slices.Sort(notes) // notes about several roles are in random order
	for _, n := range notes {
		x.line("  note of %s", n)
	}
}

// noteFigures matches the engines, addresses and numbers in a note. The rest of the text is for operators and may be reworded
// without a change of the golden file.
var noteFigures = regexp.MustCompile(`\be\d+\b|\d[\d.:%]*`)

func updateLine(w Update) string { return engineLine(w.Endpoint) + " gone=" + yesNo(w.Removed) }

func TestGoldenNotifiedView(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 2))
		view, p := NewNotifiedView(), newPool(r)
		now, version := 1000.0, int64(0)
		for range goldenSteps {
			now += drawElapsed(r)
			notifiedStep(x, r, view, p, now, &version)
			at, ok := view.Version()
			x.line("  version=%d whole=%s", at, yesNo(ok))
		}
	}
	goldenfile.Compare(t, "told", x.String(), "")
}

// notifiedStep applies one response to the view: a complete list or changes, at times with an old version.
func notifiedStep(x *transcript, r *rand.Rand, view *NotifiedView, p *pool, now float64, version *int64) {
	p.change(now)
	sent := *version
	switch r.IntN(6) {
	case 0:
		sent -= int64(r.IntN(4))
	case 1:
	default:
		*version++
		sent = *version
	}
	full := r.IntN(3) == 0
	entries := p.list()
	if !full {
		entries = entries[:min(len(entries), r.IntN(3))]
	}
	var updates []Update
	for _, e := range entries {
		updates = append(updates, Update{Endpoint: e, Removed: r.IntN(6) == 0})
	}
	x.line("at %s answer version=%d full=%s", number(now), sent, yesNo(full))
	for _, w := range updates {
		x.line("  told %s", updateLine(w))
	}
	for _, w := range view.Apply(now, sent, full, updates) {
		x.line("  changed %s", updateLine(w))
	}
}

func TestGoldenStartTimes(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 3))
		starts := NewStartTimes()
		now, offset := 1000.0, []float64{0, 0, 50, -50}[seed%4]
		for range 2 * goldenSteps {
			now += drawElapsed(r)
			if r.IntN(15) == 0 {
				offset = float64(r.IntN(200) - 100)
			}
			startTimesStep(x, r, starts, now, offset)
		}
	}
	goldenfile.Compare(t, "starts", x.String(), "")
}

// startTimesStep applies one random event to the start times: a reported start, a complete list or a removal.
func startTimesStep(x *transcript, r *rand.Rand, starts *StartTimes, now, offset float64) {
	id := fmt.Sprintf("e%d", r.IntN(4))
	switch n := r.IntN(10); {
	case n < 7:
		reported := now + offset - []float64{-30, -1, 0, 1, 10, 100, 2000}[r.IntN(7)]
		reported = []float64{reported, reported, reported, 500, 500, 0, 990}[r.IntN(7)]
		lastResponse := []float64{0, 0, now - 1, now - 20, now - 200}[r.IntN(5)]
		local := starts.LocalTime(id, reported, now, now+offset, lastResponse)
		x.line("at %s engine=%s told=%s wall=%s absent=%s own=%s",
			number(now), id, number(reported), number(now+offset), number(lastResponse), number(local))
	case n < 9:
		listed := map[string]string{}
		var names []string
		for i := range 4 {
			if r.IntN(3) > 0 {
				name := fmt.Sprintf("e%d", i)
				listed[name] = ""
				names = append(names, name)
			}
		}
		starts.Retain(listed, now)
		x.line("at %s whole list=%s", number(now), strings.Join(names, ","))
	default:
		starts.Remove(id, now)
		x.line("at %s engine=%s gone", number(now), id)
	}
}

func watchTimeoutsLine(w WatchTimeouts) string {
	return fmt.Sprintf("hold=%s late=%s first=%s idle=%s whole=%s most=%s slow=%s calls=%d", number(w.Hold), number(w.ResponseSlack),
		number(w.FirstByte), number(w.BetweenBytes), number(w.CompleteResponse), number(w.MaxSilence),
		number(w.MaxCallInterval), w.MaxCalls)
}

func TestGoldenPollPolicies(t *testing.T) {
	x := &transcript{}
	draw := func() float64 { return 0.5 }
	for _, notifiedAfter := range []float64{0.5, 2, 6, 20} {
		pollPolicyTable(x, fmt.Sprintf("own told=%s", number(notifiedAfter)), AgentPollPolicy(notifiedAfter, draw))
		for _, pollInterval := range []float64{1, 5, 30} {
			pollPolicyTable(x, fmt.Sprintf("shared told=%s every=%s", number(notifiedAfter), number(pollInterval)),
				SharedPollPolicy(notifiedAfter, pollInterval, draw))
		}
		x.line("plain told=%s %s", number(notifiedAfter), watchTimeoutsLine(NewWatchTimeouts(notifiedAfter)))
	}
	goldenfile.Compare(t, "watching", x.String(), "")
}

// pollPolicyTable writes the timeouts of one poll policy.
func pollPolicyTable(x *transcript, name string, policy PollPolicy) {
	x.line("%s spread=%s %s", name, number(policy.FirstCallSpread), watchTimeoutsLine(policy.WatchTimeouts))
	for _, started := range []float64{0, 1000.25} {
		x.line("  begun=%s silent=%s", number(started), number(policy.WatchDeadline(started)))
		for silentCalls := -1; silentCalls <= 12; silentCalls++ {
			x.line("  begun=%s calls silent=%d until=%s", number(started), silentCalls, number(policy.CallDeadline(started, silentCalls)))
		}
	}
}
