package scenario

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"path"
	"slices"
	"time"

	"dillroute/lab/emulator"
)

// faultInjector starts a fault and returns a function that ends it, or nil if the fault has already ended or is permanent.
type faultInjector func(*run, Fault) (end func())

// faultInjectors holds the injector of each kind of fault. The names of the kinds are those of the bench (see Convert). init sets it.
var faultInjectors map[string]faultInjector

func init() {
	faultInjectors = map[string]faultInjector{
		"crash":          (*run).crash,
		"mass_restart":   (*run).massRestart,
		"zone_loss":      (*run).zoneLoss,
		"fast_errors":    engineFault(func(e *emulator.Faults, f Fault) { e.ErrorShare = cmp.Or(f.Size, 0.8) }),
		"origin_slow":    engineFault(func(e *emulator.Faults, f Fault) { e.TransferSlowFactor = cmp.Or(f.Size, 4) }),
		"report_late":    engineFault(func(e *emulator.Faults, f Fault) { e.LoadReportSlowFactor = cmp.Or(f.Size, 10) }),
		"handshake_slow": engineFault(func(e *emulator.Faults, f Fault) { e.HandshakeDelayMS = cmp.Or(f.Size, 100) }),
		"silent":         engineFault(func(e *emulator.Faults, _ Fault) { e.Silent = true }),
		"cut_streams": engineFault(func(e *emulator.Faults, f Fault) {
			events := int(f.Size)
			e.CloseAfter = &events
		}),
		"pauses": engineFault(func(e *emulator.Faults, f Fault) {
			e.PauseMS = cmp.Or(f.Size, 150)
			e.PauseShare = cmp.Or(f.Extra, 0.05)
		}),
		"ageing":          (*run).degrade,
		"zone_cut":        (*run).partitionZone,
		"drain":           (*run).drain,
		"role_change":     (*run).roleChange,
		"burst":           (*run).burst,
		"heavy_tail":      (*run).lengthenPrompts,
		"hot_key":         (*run).hotKey,
		"give_up":         (*run).makeImpatient,
		"discovery_stale": (*run).delayList,
		"stale_half":      (*run).delayListOfOddNodes,
		"balancer_roll":   (*run).rollingRestart,
		"restarts":        (*run).randomNodeRestarts,
		"churn":           (*run).randomEngineRestarts,
	}
}

// FaultKinds returns the sorted names of the kinds of faults that a script may contain.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultInjectors)) }

// Shares of the engines that a fault affects if the script gives none.
const (
	defaultPart     = 0.2
	massRestartPart = 0.6
	allEngines      = 1.0
)

// runFault waits until a fault is due, starts it and ends it after its length.
func (r *run) runFault(f Fault) {
	if !r.sleepUntil(f.At) {
		return
	}
	fmt.Fprintf(r.options.Out, "%6.1f s  %s begins\n", f.At, f.Kind)
	end := faultInjectors[f.Kind](r, f)
	r.sleepUntil(f.At + f.Len)
	if end != nil {
		end()
	}
	fmt.Fprintf(r.options.Out, "%6.1f s  %s ended\n", time.Since(r.start).Seconds(), f.Kind)
}

// affectedEngines returns the engines that a fault affects. These are the engines that it names. If it names none, they are drawn from its
// zone or, without a zone, from all engines: a share of them, but at least one. part is the share if the fault gives none. The draw
// depends on the script's seed.
func (r *run) affectedEngines(f Fault, part float64) []*emulator.Engine {
	var engines []*emulator.Engine
	for _, m := range r.fleet.Members() {
		matches := slices.ContainsFunc(f.Engines, func(pattern string) bool {
			ok, _ := path.Match(pattern, m.ID) // Check rejects malformed patterns
			return ok
		})
		if matches || len(f.Engines) == 0 && (f.Zone == "" || f.Zone == m.Zone) {
			engines = append(engines, r.fleet.Engine(m.ID))
		}
	}
	if len(f.Engines) > 0 {
		return engines
	}
	r.mu.Lock()
	r.rng.Shuffle(len(engines), func(i, j int) { engines[i], engines[j] = engines[j], engines[i] })
	r.mu.Unlock()
	n := int(math.Round(cmp.Or(f.Part, part) * float64(len(engines))))
	return engines[:max(1, min(n, len(engines)))]
}
