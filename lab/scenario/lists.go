package scenario

import (
	"fmt"
	"time"

	"dillroute/lab/fleet"
)

// deliverList delivers the current endpoint list to every node after the current list delay. It does not wait for the delivery.
func (r *run) deliverList() {
	list := r.fleet.List()
	r.mu.Lock()
	r.listSerial++
	serial := r.listSerial
	delay := r.script.List.Delay + r.extraListDelay
	r.mu.Unlock()
	if r.listServer != nil {
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.deliverToServer(list, serial, delay)
		}()
		return
	}
	for _, slot := range r.nodes {
		nodeDelay := seconds(r.nodeListDelay(slot, delay))
		r.tasks.Add(1)
		go func() {
			defer r.tasks.Done()
			r.deliverToNode(slot, list, serial, nodeDelay)
		}()
	}
}

// nodeListDelay returns a random delay for a node's list file (s): the list delay, varied by up to a quarter in either direction. The
// extra delay of odd nodes is added if the node's rank is odd.
func (r *run) nodeListDelay(slot *nodeSlot, delay float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	nodeDelay := delay * (0.75 + 0.5*r.rng.Float64())
	if slot.rank%2 == 1 {
		nodeDelay += r.extraDelayOfOddNodes
	}
	return nodeDelay
}

// deliverToServer sets the list of the list server after a delay (s), unless the server has a newer list by then.
func (r *run) deliverToServer(list fleet.Snapshot, serial int, delay float64) {
	if !r.sleepUntil(time.Since(r.start).Seconds() + delay) {
		return
	}
	r.serverMu.Lock()
	defer r.serverMu.Unlock()
	if r.servedSerial >= serial {
		return
	}
	r.servedSerial = serial
	r.fleet.UpdateListServer(list, r.listServer, r.nodeNames())
}

// deliverToNode writes a list to a node's list file after a delay, unless the file has a newer list by then.
func (r *run) deliverToNode(slot *nodeSlot, list fleet.Snapshot, serial int, delay time.Duration) {
	select {
	case <-time.After(delay):
	case <-r.ctx.Done():
		return
	}
	slot.listMu.Lock()
	defer slot.listMu.Unlock()
	if slot.listSerial >= serial {
		return
	}
	slot.listSerial = serial
	if err := r.fleet.WriteListFile(list, slot.name, r.listFile(slot)); err != nil {
		fmt.Fprintln(r.options.Out, "endpoint list not delivered to", slot.name, err)
	}
}
