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

// faultPlayer starts a fault and returns what ends it, or nil where the fault has ended by itself.
type faultPlayer func(*run, Fault) (end func())

// faultPlayers are the kinds of faults that can be played, by the bench's names. It is filled by init, since players use it.
var faultPlayers map[string]faultPlayer

func init() {
	faultPlayers = map[string]faultPlayer{
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

// FaultKinds returns the names of the faults that can be played.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultPlayers)) }

// The parts of the engines that faults affect where the script does not say it.
const (
	defaultPart     = 0.2
	massRestartPart = 0.6
	allEngines      = 1.0
)

// playFault waits for a fault's time, starts the fault and ends it.
func (r *run) playFault(f Fault) {
	if !r.sleepUntil(f.At) {
		return
	}
	fmt.Fprintf(r.options.Out, "%6.1f s  %s begins\n", f.At, f.Kind)
	end := faultPlayers[f.Kind](r, f)
	r.sleepUntil(f.At + f.Len)
	if end != nil {
		end()
	}
	fmt.Fprintf(r.options.Out, "%6.1f s  %s is over\n", time.Since(r.start).Seconds(), f.Kind)
}

// affectedEngines returns the engines of a fault: those named, or a part of all, drawn from the seed of the script.
func (r *run) affectedEngines(f Fault, part float64) []*emulator.Engine {
	var engines []*emulator.Engine
	for _, m := range r.fleet.Members() {
		matches := slices.ContainsFunc(f.Engines, func(pattern string) bool {
			ok, _ := path.Match(pattern, m.ID) // Check has refused malformed patterns
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
