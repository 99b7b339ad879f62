package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// restartNode kills a node and starts it again after a downtime (s).
func (r *run) restartNode(slot *nodeSlot, downtime float64) {
	r.killNode(slot)
	time.Sleep(seconds(downtime))
	if err := r.startNode(slot); err != nil {
		fmt.Fprintln(r.options.Out, slot.name, "does not come back:", err)
	}
}

// rollingRestart kills and restarts nodes in batches: Part of them in all, Size of them at once, each down for Extra seconds.
func (r *run) rollingRestart(f Fault) func() {
	const (
		defaultShare    = 1.0 // of the nodes, in all
		defaultBatch    = 0.2 // of the nodes, at once
		defaultDowntime = 0.5 // s
	)
	nodes := float64(len(r.nodes))
	total := max(1, int(math.Ceil(cmp.Or(f.Part, defaultShare)*nodes)))
	batch := max(1, int(math.Round(cmp.Or(f.Size, defaultBatch)*nodes)))
	rounds := (total + batch - 1) / batch
	for round := range rounds {
		var wg sync.WaitGroup
		for _, slot := range r.nodes[round*batch : min(total, (round+1)*batch)] {
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.restartNode(slot, cmp.Or(f.Extra, defaultDowntime))
			}()
		}
		wg.Wait()
		if !r.sleepUntil(f.At + f.Len*float64(round+1)/float64(rounds)) {
			return nil
		}
	}
	return nil
}

// randomNodeRestarts kills and restarts single nodes at random: Size of them a second, each down for Extra seconds.
func (r *run) randomNodeRestarts(f Fault) func() {
	const (
		defaultRate     = 0.5 // a second
		defaultDowntime = 0.3 // s
		stream          = 77  // of random numbers, apart from those of other faults
	)
	rng := rand.New(rand.NewPCG(r.script.Seed, stream))
	var wg sync.WaitGroup
	defer wg.Wait()
	for at := f.At; ; {
		at += rng.ExpFloat64() / cmp.Or(f.Size, defaultRate)
		slot := r.nodes[rng.IntN(len(r.nodes))]
		if at > f.At+f.Len || !r.sleepUntil(at) {
			return nil
		}
		if !r.claimRestart(slot) {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.restartNode(slot, cmp.Or(f.Extra, defaultDowntime))
			r.mu.Lock()
			slot.restarting = false
			r.mu.Unlock()
		}()
	}
}

// claimRestart marks a node as restarting; it returns false where the node is restarting already, or down.
func (r *run) claimRestart(slot *nodeSlot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := slot.restarting || slot.node == nil
	slot.restarting = true
	return !busy
}
