//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["slowlist"] = slowListCase }

// Times of the case.
const (
	slowWarmUp   = 6 * time.Second         // the node has asked for the list by then
	slowPause    = time.Second             // between the head and the body of an answer of the slow discovery
	slowLead     = 1500 * time.Millisecond // from the beginning of the slowness to the drain
	slowDrain    = 12 * time.Second        // from the drain to the end of the load
	slowInterval = 100 * time.Millisecond

	// toldAfter is when a change counts as told at the latest (STANDING); socketSlack is added to each limit of the settings (PROTOCOL).
	toldAfter   = 6.0
	drainGrace  = 0.25
	socketSlack = 0.05
)

// slowListCase lets an engine drain while discovery answers slowly. The rule: the engine gets nothing new once the grace has passed
// after the drain counts as told.
func slowListCase(w *world, trouble bool) ([]string, error) {
	var all []*engine
	for _, box := range []struct{ id, kind string }{{"r1", reader}, {"r2", reader}, {"w1", writer}, {"w2", writer}} {
		e, err := w.startEngine(box.id, box.kind)
		if err != nil {
			return nil, err
		}
		all = append(all, e)
	}
	d, err := w.startDiscovery(all...)
	if err != nil {
		return nil, err
	}
	s := settings()
	s["registry_mode"] = "on_request"
	known, _, _ := d.since(-1)
	if err := w.startNode(s, d.address, known); err != nil {
		return nil, err
	}
	c := newClients(w)
	load := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(slowInterval) {
			c.send(chat, 5)
		}
	}
	load(slowWarmUp)
	if trouble {
		d.setPause(slowPause)
	}
	load(slowLead)
	drained := all[2]
	drained.setDraining()
	d.change(drained.id, func(e *entry) { e.State = "draining" })
	drainedAt := w.now()
	load(slowDrain)
	results := c.wait()
	if served(results) < len(results)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served(results), len(results))
	}
	limit := drainedAt + toldAfter + drainGrace + socketSlack
	var broken []string
	for _, a := range drained.received() {
		if a.at > limit {
			broken = append(broken, fmt.Sprintf("%s was sent to %s at %.3f s, %.3f s after discovery had its drain; %.3f s are allowed",
				a.id, drained.id, a.at, a.at-drainedAt, limit-drainedAt))
		}
	}
	w.note("%d requests, %d served", len(results), served(results))
	return broken, nil
}
