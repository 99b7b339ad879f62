package scenario

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"

	"dillroute/lab/emulator"
)

// States of an engine in the endpoint list, other than ready.
const (
	stateDraining = "draining"
	stateGone     = "gone"
)

// engineFault returns an injector that sets a fault of the emulator on the affected engines. Its end function removes all faults of these
// engines, including those that other injectors have set.
func engineFault(set func(*emulator.Faults, Fault)) faultInjector {
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

// stopEngines kills engines and delivers the changed list after the list delay. The returned function restarts them in slow start.
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
				fmt.Fprintln(r.options.Out, e.ID, "failed to restart:", err)
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

// degrade slows engines down in steps and then stops them.
func (r *run) degrade(f Fault) func() {
	const (
		steps             = 8
		defaultSlowFactor = 6   // slowdown factor of the last step
		slowShare         = 0.7 // share of the fault's length after which the engines stop
	)
	engines := r.affectedEngines(f, defaultPart)
	for step := range steps {
		progress := float64(step+1) / steps
		for _, e := range engines {
			e.ChangeFaults(func(faults *emulator.Faults) {
				faults.SlowFactor = 1 + (cmp.Or(f.Size, defaultSlowFactor)-1)*progress
			})
		}
		if !r.sleepUntil(f.At + f.Len*slowShare*progress) {
			return nil
		}
	}
	return r.stopEngines(engines)
}

// partitionZone separates a zone from the others: nodes and engines on one side do not reach engines on the other side.
func (r *run) partitionZone(f Fault) func() {
	zone := f.Zone
	if zone == "" && len(r.script.Zones) > 0 {
		zone = r.script.Zones[0]
	}
	var inside, outside []string
	assignSide := func(memberZone, name string) {
		if memberZone == zone {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, slot := range r.nodes {
		assignSide(slot.zone, slot.name)
	}
	members := r.fleet.Members()
	for _, m := range members {
		assignSide(m.Zone, m.ID)
	}
	for _, m := range members {
		unreachable := inside
		if m.Zone == zone {
			unreachable = outside
		}
		r.fleet.Engine(m.ID).ChangeFaults(func(faults *emulator.Faults) { faults.UnreachablePeers = unreachable })
	}
	return func() {
		for _, m := range members {
			r.fleet.Engine(m.ID).ChangeFaults(func(faults *emulator.Faults) { faults.UnreachablePeers = nil })
		}
	}
}

// drain lists engines as draining for the length of the fault.
func (r *run) drain(f Fault) func() {
	engines := r.affectedEngines(f, defaultPart)
	setState := func(state string) {
		for _, e := range engines {
			r.fleet.SetState(e.ID, state)
		}
		r.deliverList()
	}
	setState(stateDraining)
	return func() { setState("") }
}

// roleChange restarts engines as another kind, permanently. After the list delay, the list shows two changes at the same time: a new
// start and a new role.
func (r *run) roleChange(f Fault) func() {
	i := slices.IndexFunc(r.script.Kinds, func(k Kind) bool { return k.Name == f.To })
	for _, e := range r.affectedEngines(f, defaultPart) {
		e.Kill()
		e.SetRole(r.script.Kinds[i].Role)
		r.fleet.SetKind(e.ID, f.To)
		if err := e.Start(true); err != nil {
			fmt.Fprintln(r.options.Out, e.ID, "failed to restart:", err)
		}
	}
	r.deliverList()
	return nil
}

// randomEngineRestarts kills single engines at random, Size of them per second, and restarts each in slow start after Extra seconds.
// The list shows the stop and the restart, each after the list delay.
func (r *run) randomEngineRestarts(f Fault) func() {
	const (
		defaultRate     = 0.1 // restarts per second
		defaultDowntime = 2.0 // s
		rngStream       = 78  // PCG stream, different from those of other faults
	)
	rng := rand.New(rand.NewPCG(r.script.Seed, rngStream))
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
