package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// restartNode kills a node and restarts it after a downtime (s).
func (r *run) restartNode(slot *nodeSlot, downtime float64) {
	r.killNode(slot)
	time.Sleep(seconds(downtime))
	if err := r.startNode(slot); err != nil {
		fmt.Fprintln(r.options.Out, slot.name, "failed to restart:", err)
	}
}

// rollingRestart kills and restarts nodes in batches. Part is the share of all nodes that restart, Size the share in a batch, and Extra
// the downtime of each node (s).
func (r *run) rollingRestart(f Fault) func() {
	const (
		defaultShare    = 1.0 // share of the nodes that restart
		defaultBatch    = 0.2 // share of the nodes in a batch
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

// randomNodeRestarts kills and restarts single nodes at random, Size of them per second, each with a downtime of Extra seconds.
func (r *run) randomNodeRestarts(f Fault) func() {
	const (
		defaultRate     = 0.5 // restarts per second
		defaultDowntime = 0.3 // s
		rngStream       = 77  // PCG stream, different from those of other faults
	)
	rng := rand.New(rand.NewPCG(r.script.Seed, rngStream))
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

// claimRestart marks a node as restarting. It returns false if the node was already restarting or is down. A node that is down for another
// reason is marked too, and remains so: its later claims fail.
func (r *run) claimRestart(slot *nodeSlot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy := slot.restarting || slot.node == nil
	slot.restarting = true
	return !busy
}
