package endpoints

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the files under testdata/golden")

// goldenSeeds is the number of random sequences of each table, and goldenSteps the number of steps of each sequence.
const (
	goldenSeeds = 4
	goldenSteps = 40
)

// transcript collects the text of one golden file.
type transcript struct {
	strings.Builder
	block string // what was last written by lines
}

func (x *transcript) line(format string, args ...any) { fmt.Fprintf(&x.Builder, format+"\n", args...) }

// lines writes a block of lines, or that it is the same as the last block.
func (x *transcript) lines(name string, lines []string) {
	block := strings.Join(lines, "\n")
	if block == x.block {
		x.line("  %s as before", name)
		return
	}
	x.block = block
	x.line("  %s", name)
	for _, l := range lines {
		x.line("    %s", l)
	}
}

// compareGolden compares a text with the file of the name given, and prints the first line that differs.
func compareGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name+".txt")
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := string(content)
	if want == got {
		return
	}
	wants, gots := strings.Split(want, "\n"), strings.Split(got, "\n")
	for i := range max(len(wants), len(gots)) {
		w, g := "(no line)", "(no line)"
		if i < len(wants) {
			w = wants[i]
		}
		if i < len(gots) {
			g = gots[i]
		}
		if w != g {
			t.Fatalf("%s line %d differs\nwant %s\ngot  %s", path, i+1, w, g)
		}
	}
}

// number writes a time or a weight with nine digits after the point, so that a difference of rounding alone is not one.
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

// engineLine writes each field of an engine of a list.
func engineLine(e Endpoint) string {
	state := "ready"
	if e.State == Draining {
		state = "draining"
	}
	return fmt.Sprintf("id=%s address=%s kind=%d role=%d cell=%d zone=%d state=%s weight=%s started=%s",
		e.ID, e.Address, e.Kind, e.Role, e.Cell, e.Zone, state, number(e.Weight), number(e.BootTime))
}

// pool is a random fleet that a source tells of.
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

// change changes one engine of the pool at a time.
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

// list returns part of the pool: all of it, most of it or little of it, some engines twice.
func (p *pool) list() []Endpoint {
	missing := []float64{0, 0, 0.1, 0.2, 0.7, 1}[p.r.IntN(6)]
	var out []Endpoint
	for _, e := range p.engines {
		if p.r.Float64() < missing {
			continue
		}
		out = append(out, e)
		if p.r.IntN(25) == 0 {
			twin := e
			switch p.r.IntN(4) {
			case 0:
				twin.Address = "10.9.9.9:80"
			case 1:
				twin.Address = "1.1.1.1:80"
			case 2:
				twin.BootTime++
			case 3:
				twin.State = Draining
			}
			out = append(out, twin)
		}
	}
	return out
}

// step returns how much time passes before the next step: nothing, little, some seconds or very long.
func step(r *rand.Rand) float64 {
	durations := []float64{0, 0.01, 0.3, 1, 2, 2.5, 5, 6, 40, 125, 320}
	drawn := []int{0, 1, 1, 2, 2, 2, 3, 3, 3, 4, 4, 5, 5, 6, 6, 7, 8, 9, 10}
	return durations[drawn[r.IntN(19)]]
}

func TestGoldenView(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 1))
		settings := DefaultOptions
		if seed%2 == 1 {
			settings = Options{ShrinkShare: 0.25, ConfirmAfter: 6, FlapCount: 2, FlapWindow: 60, FlapHold: 8}
		}
		view, p := NewView(settings), newPool(r)
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
			now += step(r)
			viewStep(x, r, view, p, now, &index)
			viewState(x, view, now)
		}
	}
	compareGolden(t, "view", x.String())
}

// viewStep tells the view one thing.
func viewStep(x *transcript, r *rand.Rand, view *View, p *pool, now float64, index *uint64) {
	switch n := r.IntN(20); {
	case n < 13:
		if r.IntN(3) > 0 {
			p.change(now)
		}
		answer := List{Index: *index, Endpoints: p.list()}
		switch r.IntN(8) {
		case 0: // the same index again
		case 1:
			answer.Index = 0
		case 2:
			answer.Index = *index - 1
		default:
			*index++
			answer.Index = *index
		}
		x.line("at %s list index=%d", number(now), answer.Index)
		for _, e := range answer.Endpoints {
			x.line("  told %s", engineLine(e))
		}
		x.line("  changed=%s", yesNo(view.Apply(now, answer)))
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

// viewState writes all that the view gives out.
func viewState(x *transcript, view *View, now float64) {
	due := "never"
	if at, ok := view.Next(); ok {
		due = number(at)
	}
	b := view.Snapshot(now)
	x.line("  due=%s waiting=%s index=%d since=%s saved=%s", due, strings.Join(view.UnconfirmedRemovals(), ","),
		b.Index, number(b.ConfirmedAt), yesNo(b.Saved))
	var use []string
	for _, e := range b.Endpoints {
		use = append(use, engineLine(e))
	}
	x.lines("use", use)
	var notes []string
	for _, n := range view.Notes() {
		notes = append(notes, strings.Join(noteFigures.FindAllString(n.Text, -1), " "))
	}
	slices.Sort(notes) // the notes of several roles come in no set order
	for _, n := range notes {
		x.line("  note of %s", n)
	}
}

// noteFigures finds what a note tells of: engines, addresses and figures. Its other words are for people and may be reworded.
var noteFigures = regexp.MustCompile(`\be\d+\b|\d[\d.:%]*`)

func wordLine(w Update) string { return engineLine(w.Endpoint) + " gone=" + yesNo(w.Removed) }

func TestGoldenNotifiedView(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 2))
		list, p := NewNotifiedView(), newPool(r)
		now, version := 1000.0, int64(0)
		for range goldenSteps {
			now += step(r)
			notifiedStep(x, r, list, p, now, &version)
			at, ok := list.Version()
			x.line("  version=%d whole=%s", at, yesNo(ok))
		}
	}
	compareGolden(t, "told", x.String())
}

// notifiedStep tells the list one answer, whole or of changes, now and then from the past.
func notifiedStep(x *transcript, r *rand.Rand, list *NotifiedView, p *pool, now float64, version *int64) {
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
	var words []Update
	for _, e := range entries {
		words = append(words, Update{Endpoint: e, Removed: r.IntN(6) == 0})
	}
	x.line("at %s answer version=%d full=%s", number(now), sent, yesNo(full))
	for _, w := range words {
		x.line("  told %s", wordLine(w))
	}
	for _, w := range list.Apply(now, sent, full, words) {
		x.line("  changed %s", wordLine(w))
	}
}

func TestGoldenStarts(t *testing.T) {
	x := &transcript{}
	for seed := range uint64(goldenSeeds) {
		x.line("sequence %d", seed)
		r := rand.New(rand.NewPCG(seed, 3))
		starts := NewStartTimes()
		now, offset := 1000.0, []float64{0, 0, 50, -50}[seed%4]
		for range 2 * goldenSteps {
			now += step(r)
			if r.IntN(15) == 0 {
				offset = float64(r.IntN(200) - 100)
			}
			startsStep(x, r, starts, now, offset)
		}
	}
	compareGolden(t, "starts", x.String())
}

// startsStep tells the memory of starts one thing.
func startsStep(x *transcript, r *rand.Rand, starts *StartTimes, now, offset float64) {
	id := fmt.Sprintf("e%d", r.IntN(4))
	switch n := r.IntN(10); {
	case n < 7:
		notified := now + offset - []float64{-30, -1, 0, 1, 10, 100, 2000}[r.IntN(7)]
		notified = []float64{notified, notified, notified, 500, 500, 0, 990}[r.IntN(7)]
		absent := []float64{0, 0, now - 1, now - 20, now - 200}[r.IntN(5)]
		own := starts.LocalTime(id, notified, now, now+offset, absent)
		x.line("at %s engine=%s told=%s wall=%s absent=%s own=%s",
			number(now), id, number(notified), number(now+offset), number(absent), number(own))
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

func watchingLine(w WatchTimeouts) string {
	return fmt.Sprintf("hold=%s late=%s first=%s idle=%s whole=%s most=%s slow=%s calls=%d", number(w.Hold), number(w.ResponseSlack),
		number(w.FirstByte), number(w.BetweenBytes), number(w.CompleteResponse), number(w.MaxSilence),
		number(w.MaxCallInterval), w.MaxCalls)
}

func TestGoldenWatching(t *testing.T) {
	x := &transcript{}
	draw := func() float64 { return 0.5 }
	for _, notified := range []float64{0.5, 2, 6, 20} {
		watchingTable(x, fmt.Sprintf("own told=%s", number(notified)), AgentPollPolicy(notified, draw))
		for _, every := range []float64{1, 5, 30} {
			watchingTable(x, fmt.Sprintf("shared told=%s every=%s", number(notified), number(every)),
				SharedPollPolicy(notified, every, draw))
		}
		x.line("plain told=%s %s", number(notified), watchingLine(NewWatchTimeouts(notified)))
	}
	compareGolden(t, "watching", x.String())
}

// watchingTable writes the times of one way of following a source.
func watchingTable(x *transcript, name string, policy PollPolicy) {
	x.line("%s spread=%s %s", name, number(policy.FirstCallSpread), watchingLine(policy.WatchTimeouts))
	for _, begun := range []float64{0, 1000.25} {
		x.line("  begun=%s silent=%s", number(begun), number(policy.WatchDeadline(begun)))
		for silent := -1; silent <= 12; silent++ {
			x.line("  begun=%s calls silent=%d until=%s", number(begun), silent, number(policy.CallDeadline(begun, silent)))
		}
	}
}
