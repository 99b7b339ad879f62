package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"path"
	"slices"
	"sync"
	"time"

	"dillroute/lab/emulator"
)

// troubles are the kinds that can be played, by the bench's names, each with what begins and ends it. A player
// returns what mends it, or nil where it has mended itself.
var troubles map[string]func(d *day, t Trouble) func()

func init() {
	troubles = map[string]func(d *day, t Trouble) func(){
		"crash":          (*day).crash,
		"mass_restart":   (*day).massRestart,
		"zone_loss":      (*day).zoneLoss,
		"fast_errors":    faulty(func(f *emulator.Faults, t Trouble) { f.ErrorShare = cmp.Or(t.Size, 0.8) }),
		"origin_slow":    faulty(func(f *emulator.Faults, t Trouble) { f.TransferSlowFactor = cmp.Or(t.Size, 4) }),
		"report_late":    faulty(func(f *emulator.Faults, t Trouble) { f.LoadReportSlowFactor = cmp.Or(t.Size, 10) }),
		"handshake_slow": faulty(func(f *emulator.Faults, t Trouble) { f.HandshakeDelayMS = cmp.Or(t.Size, 100) }),
		"silent":         faulty(func(f *emulator.Faults, _ Trouble) { f.Silent = true }),
		"cut_streams":    faulty(func(f *emulator.Faults, t Trouble) { n := int(t.Size); f.CloseAfter = &n }),
		"pauses": faulty(func(f *emulator.Faults, t Trouble) {
			f.PauseMS, f.PauseShare = cmp.Or(t.Size, 150), cmp.Or(t.Extra, 0.05)
		}),
		"ageing":          (*day).ageing,
		"zone_cut":        (*day).zoneCut,
		"drain":           (*day).drain,
		"role_change":     (*day).roleChange,
		"burst":           (*day).burst,
		"heavy_tail":      (*day).heavyTail,
		"hot_key":         (*day).hotKey,
		"give_up":         (*day).gives,
		"discovery_stale": (*day).stale,
		"stale_half":      (*day).staleHalf,
		"balancer_roll":   (*day).roll,
		"restarts":        (*day).restarts,
		"churn":           (*day).churn,
	}
}

// Kinds lists the troubles that can be played.
func Kinds() []string {
	var names []string
	for k := range troubles {
		names = append(names, k)
	}
	slices.Sort(names)
	return names
}

// play waits for a trouble's time, begins it and mends it.
func (d *day) play(t Trouble) {
	if !d.sleep(t.At) {
		return
	}
	fmt.Fprintf(d.o.Out, "%6.1f s  %s begins\n", t.At, t.Kind)
	mend := troubles[t.Kind](d, t)
	d.sleep(t.At + t.Len)
	if mend != nil {
		mend()
	}
	fmt.Fprintf(d.o.Out, "%6.1f s  %s is over\n", time.Since(d.start).Seconds(), t.Kind)
}

// struck picks the engines of a trouble: those named, or a part of all, drawn by the day's seed.
func (d *day) struck(t Trouble, fallback float64) []*emulator.Engine {
	var xs []*emulator.Engine
	for _, m := range d.fleet.Members() {
		named := slices.ContainsFunc(t.Engines, func(p string) bool { ok, _ := path.Match(p, m.ID); return ok })
		if named || len(t.Engines) == 0 && (t.Zone == "" || t.Zone == m.Zone) {
			xs = append(xs, d.fleet.Engine(m.ID))
		}
	}
	if len(t.Engines) > 0 {
		return xs
	}
	d.mu.Lock()
	d.rng.Shuffle(len(xs), func(i, j int) { xs[i], xs[j] = xs[j], xs[i] })
	d.mu.Unlock()
	n := int(math.Round(cmp.Or(t.Part, fallback) * float64(len(xs))))
	return xs[:max(1, min(n, len(xs)))]
}

// faulty plays a trouble that is a fault of some engines.
func faulty(set func(*emulator.Faults, Trouble)) func(*day, Trouble) func() {
	return func(d *day, t Trouble) func() {
		xs := d.struck(t, 0.2)
		for _, e := range xs {
			e.ChangeFaults(func(f *emulator.Faults) { set(f, t) })
		}
		return func() {
			for _, e := range xs {
				e.SetFaults(emulator.Faults{})
			}
		}
	}
}

// down kills engines; the list tells of it late. What it returns starts them again, cold.
func (d *day) down(xs []*emulator.Engine) func() {
	var wg sync.WaitGroup
	for _, e := range xs {
		wg.Add(1)
		go func() { defer wg.Done(); e.Kill() }()
		d.fleet.Mark(e.ID, "gone")
	}
	wg.Wait()
	d.changed()
	return func() {
		for _, e := range xs {
			e.SetFaults(emulator.Faults{})
			if err := e.Start(true); err != nil {
				fmt.Fprintln(d.o.Out, e.ID, "does not come back:", err)
				continue
			}
			d.fleet.Mark(e.ID, "")
		}
		d.changed()
	}
}

func (d *day) crash(t Trouble) func()       { return d.down(d.struck(t, 0.2)) }
func (d *day) massRestart(t Trouble) func() { return d.down(d.struck(t, 0.6)) }

func (d *day) zoneLoss(t Trouble) func() {
	t.Part = 1
	return d.down(d.struck(t, 1))
}

// ageing slows engines more and more, and then they die.
func (d *day) ageing(t Trouble) func() {
	xs := d.struck(t, 0.2)
	steps := 8
	for i := range steps {
		for _, e := range xs {
			e.ChangeFaults(func(f *emulator.Faults) { f.SlowFactor = 1 + (cmp.Or(t.Size, 6)-1)*float64(i+1)/float64(steps) })
		}
		if !d.sleep(t.At + t.Len*0.7*float64(i+1)/float64(steps)) {
			return nil
		}
	}
	return d.down(xs)
}

// zoneCut parts a zone from the others: nodes and engines of either side do not hear the other.
func (d *day) zoneCut(t Trouble) func() {
	zone := t.Zone
	if zone == "" && len(d.s.Zones) > 0 {
		zone = d.s.Zones[0]
	}
	var within, without []string
	side := func(z, name string) {
		if z == zone {
			within = append(within, name)
		} else {
			without = append(without, name)
		}
	}
	for _, s := range d.nodes {
		side(s.zone, s.name)
	}
	for _, m := range d.fleet.Members() {
		side(m.Zone, m.ID)
	}
	for _, m := range d.fleet.Members() {
		cut := within
		if m.Zone == zone {
			cut = without
		}
		d.fleet.Engine(m.ID).ChangeFaults(func(f *emulator.Faults) { f.UnreachablePeers = cut })
	}
	return func() {
		for _, m := range d.fleet.Members() {
			d.fleet.Engine(m.ID).ChangeFaults(func(f *emulator.Faults) { f.UnreachablePeers = nil })
		}
	}
}

// drain lists engines as draining.
func (d *day) drain(t Trouble) func() {
	xs := d.struck(t, 0.2)
	for _, e := range xs {
		d.fleet.Mark(e.ID, "draining")
	}
	d.changed()
	return func() {
		for _, e := range xs {
			d.fleet.Mark(e.ID, "")
		}
		d.changed()
	}
}

// roleChange restarts engines as another kind, for good. The list tells late, and then tells two things at once: a start
// and a role.
func (d *day) roleChange(t Trouble) func() {
	i := slices.IndexFunc(d.s.Kinds, func(k Kind) bool { return k.Name == t.To })
	for _, e := range d.struck(t, 0.2) {
		e.Kill()
		e.SetRole(d.s.Kinds[i].Role)
		d.fleet.Become(e.ID, t.To)
		if err := e.Start(true); err != nil {
			fmt.Fprintln(d.o.Out, e.ID, "does not come back:", err)
		}
	}
	d.changed()
	return nil
}

// set changes a figure of the day and returns what puts it back.
func (d *day) set(change, back func()) func() {
	locked := func(f func()) {
		d.mu.Lock()
		defer d.mu.Unlock()
		f()
	}
	locked(change)
	return func() { locked(back) }
}

func (d *day) burst(t Trouble) func() {
	return d.set(func() { d.load *= cmp.Or(t.Size, 2) }, func() { d.load /= cmp.Or(t.Size, 2) })
}

func (d *day) heavyTail(t Trouble) func() {
	class := cmp.Or(t.Class, d.s.Classes[0].Name)
	return d.set(func() { d.heavy[class] = [2]float64{cmp.Or(t.Size, 10), cmp.Or(t.Extra, 0.02)} },
		func() { delete(d.heavy, class) })
}

func (d *day) hotKey(t Trouble) func() {
	return d.set(func() { d.hot, d.hotSeed = cmp.Or(t.Size, 0.2), uint64(t.At*1000)+77 }, func() { d.hot = 0 })
}

func (d *day) gives(t Trouble) func() {
	return d.set(func() { d.giveUp = cmp.Or(t.Size, 0.3) }, func() { d.giveUp = 0 })
}

func (d *day) stale(t Trouble) func() {
	return d.set(func() { d.lateBy += cmp.Or(t.Size, 3) }, func() { d.lateBy -= cmp.Or(t.Size, 3) })
}

// staleHalf makes the list later for every second node.
func (d *day) staleHalf(t Trouble) func() {
	return d.set(func() { d.lateHalf += cmp.Or(t.Size, 10) }, func() { d.lateHalf -= cmp.Or(t.Size, 10) })
}

// roll kills and restarts nodes, some at a time: Part of them in all, Size of them at once, Extra seconds down.
func (d *day) roll(t Trouble) func() {
	n := max(1, int(math.Ceil(cmp.Or(t.Part, 1)*float64(len(d.nodes)))))
	batch := max(1, int(math.Round(cmp.Or(t.Size, 0.2)*float64(len(d.nodes)))))
	rounds := (n + batch - 1) / batch
	for i := range rounds {
		var wg sync.WaitGroup
		for _, s := range d.nodes[i*batch : min(n, (i+1)*batch)] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				d.kill(s)
				time.Sleep(seconds(cmp.Or(t.Extra, 0.5)))
				if err := d.launch(s); err != nil {
					fmt.Fprintln(d.o.Out, s.name, "does not come back:", err)
				}
			}()
		}
		wg.Wait()
		if !d.sleep(t.At + t.Len*float64(i+1)/float64(rounds)) {
			return nil
		}
	}
	return nil
}

// restarts kills and restarts single nodes at random: Size of them a second, each down for Extra seconds.
func (d *day) restarts(t Trouble) func() {
	rng := rand.New(rand.NewPCG(d.s.Seed, 77))
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := t.At; ; {
		at += rng.ExpFloat64() / cmp.Or(t.Size, 0.5)
		s := d.nodes[rng.IntN(len(d.nodes))]
		if at > t.At+t.Len || !d.sleep(at) {
			return nil
		}
		d.mu.Lock()
		busy := s.restarting || s.node == nil
		s.restarting = true
		d.mu.Unlock()
		if busy {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.kill(s)
			time.Sleep(seconds(cmp.Or(t.Extra, 0.3)))
			if err := d.launch(s); err != nil {
				fmt.Fprintln(d.o.Out, s.name, "does not come back:", err)
			}
			d.mu.Lock()
			s.restarting = false
			d.mu.Unlock()
		}()
	}
}

// churn kills single engines at random, Size of them a second, and brings each back cold after Extra seconds. The list
// tells of both, late.
func (d *day) churn(t Trouble) func() {
	rng := rand.New(rand.NewPCG(d.s.Seed, 78))
	xs := d.struck(Trouble{Engines: t.Engines, Part: 1}, 1)
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := t.At; ; {
		at += rng.ExpFloat64() / cmp.Or(t.Size, 0.1)
		e := xs[rng.IntN(len(xs))]
		if at > t.At+t.Len || !d.sleep(at) {
			return nil
		}
		if _, up := e.Started(); !up {
			continue
		}
		mend := d.down([]*emulator.Engine{e})
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.sleep(at + cmp.Or(t.Extra, 2))
			mend()
		}()
	}
}
