package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"dillroute/lab/emulator"
)

// States of an engine in the endpoint list, beside ready.
const (
	stateDraining = "draining"
	stateGone     = "gone"
)

// engineFault returns a player that sets a fault of the emulator on the affected engines.
func engineFault(set func(*emulator.Faults, Fault)) faultPlayer {
	return func(r *run, f Fault) func() {
		engines := r.affectedEngines(f, defaultPart)
		for _, e := range engines {
			e.ChangeFaults(func(faults *emulator.Faults) { set(faults, f) })
		}
		return func() {
			for _, e := range engines {
				e.SetFaults(emulator.Faults{})
			}
		}
	}
}

// stopEngines kills engines; the list says so after its delay. The returned function starts them again, cold.
func (r *run) stopEngines(engines []*emulator.Engine) (restart func()) {
	var wg sync.WaitGroup
	for _, e := range engines {
		wg.Add(1)
		go func() {
			defer wg.Done()
			e.Kill()
		}()
		r.fleet.SetState(e.ID, stateGone)
	}
	wg.Wait()
	r.deliverList()
	return func() {
		for _, e := range engines {
			e.SetFaults(emulator.Faults{})
			if err := e.Start(true); err != nil {
				fmt.Fprintln(r.options.Out, e.ID, "does not come back:", err)
				continue
			}
			r.fleet.SetState(e.ID, "")
		}
		r.deliverList()
	}
}

func (r *run) crash(f Fault) func() {
	return r.stopEngines(r.affectedEngines(f, defaultPart))
}

func (r *run) massRestart(f Fault) func() {
	return r.stopEngines(r.affectedEngines(f, massRestartPart))
}

func (r *run) zoneLoss(f Fault) func() {
	f.Part = allEngines
	return r.stopEngines(r.affectedEngines(f, allEngines))
}

// degrade slows engines in steps, and then they stop.
func (r *run) degrade(f Fault) func() {
	const (
		steps       = 8
		defaultSlow = 6   // the factor at the last step
		slowPart    = 0.7 // of the fault's length, until the engines stop
	)
	engines := r.affectedEngines(f, defaultPart)
	for step := range steps {
		done := float64(step+1) / steps
		for _, e := range engines {
			e.ChangeFaults(func(faults *emulator.Faults) {
				faults.SlowFactor = 1 + (cmp.Or(f.Size, defaultSlow)-1)*done
			})
		}
		if !r.sleepUntil(f.At + f.Len*slowPart*done) {
			return nil
		}
	}
	return r.stopEngines(engines)
}

// partitionZone cuts a zone off from the others: no node or engine of one side reaches the other side.
func (r *run) partitionZone(f Fault) func() {
	zone := f.Zone
	if zone == "" && len(r.script.Zones) > 0 {
		zone = r.script.Zones[0]
	}
	var inside, outside []string
	place := func(itsZone, name string) {
		if itsZone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, slot := range r.nodes {
		place(slot.zone, slot.name)
	}
	members := r.fleet.Members()
	for _, m := range members {
		place(m.Zone, m.ID)
	}
	for _, m := range members {
		cut := inside
		if m.Zone == zone {
			cut = outside
		}
		r.fleet.Engine(m.ID).ChangeFaults(func(faults *emulator.Faults) { faults.UnreachablePeers = cut })
	}
	return func() {
		for _, m := range members {
			r.fleet.Engine(m.ID).ChangeFaults(func(faults *emulator.Faults) { faults.UnreachablePeers = nil })
		}
	}
}

// drain lists engines as draining.
func (r *run) drain(f Fault) func() {
	engines := r.affectedEngines(f, defaultPart)
	list := func(state string) {
		for _, e := range engines {
			r.fleet.SetState(e.ID, state)
		}
		r.deliverList()
	}
	list(stateDraining)
	return func() { list("") }
}

// roleChange restarts engines as another kind, for good. The list says so after its delay, and then gives two changes at once: a
// start and a role.
func (r *run) roleChange(f Fault) func() {
	i := slices.IndexFunc(r.script.Kinds, func(k Kind) bool { return k.Name == f.To })
	for _, e := range r.affectedEngines(f, defaultPart) {
		e.Kill()
		e.SetRole(r.script.Kinds[i].Role)
		r.fleet.SetKind(e.ID, f.To)
		if err := e.Start(true); err != nil {
			fmt.Fprintln(r.options.Out, e.ID, "does not come back:", err)
		}
	}
	r.deliverList()
	return nil
}

// randomEngineRestarts kills single engines at random, Size of them a second, and starts each again, cold, after Extra seconds.
// The list says both after its delay.
func (r *run) randomEngineRestarts(f Fault) func() {
	const (
		defaultRate     = 0.1 // a second
		defaultDowntime = 2.0 // s
		stream          = 78  // of random numbers, apart from those of other faults
	)
	rng := rand.New(rand.NewPCG(r.script.Seed, stream))
	engines := r.affectedEngines(Fault{Engines: f.Engines, Part: allEngines}, allEngines)
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := f.At; ; {
		at += rng.ExpFloat64() / cmp.Or(f.Size, defaultRate)
		engine := engines[rng.IntN(len(engines))]
		if at > f.At+f.Len || !r.sleepUntil(at) {
			return nil
		}
		if _, up := engine.Started(); !up {
			continue
		}
		restart := r.stopEngines([]*emulator.Engine{engine})
		restartAt := at + cmp.Or(f.Extra, defaultDowntime)
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.sleepUntil(restartAt)
			restart()
		}()
	}
}
