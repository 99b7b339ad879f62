//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["role"] = roleCase }

// Times of the case.
const (
	roleWarmUp   = 3 * time.Second
	roleListLag  = 2 * time.Second // from the change of a box's role until the box list has it
	roleInterval = 100 * time.Millisecond
)

// roleCase changes the role of one box from reading to writing under steady load. The box list tells it roleListLag later. The rule:
// a request that must never run twice does not run twice.
func roleCase(w *world, trouble bool) ([]string, error) {
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
	known, _, _ := d.since(-1)
	if err := w.startNode(settings(), d.address, known); err != nil {
		return nil, err
	}
	c := newClients(w)
	load := func(length time.Duration) {
		for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(roleInterval) {
			c.send(commit, 15)
		}
	}
	load(roleWarmUp)
	if trouble {
		if err := all[0].restartAs(writer); err != nil {
			return nil, err
		}
		started := time.Now().UnixMilli()
		time.AfterFunc(roleListLag, func() {
			d.change("r1", func(e *entry) { e.Kind, e.Started = writer, started })
		})
	}
	load(roleListLag + 3*time.Second)
	results := c.wait()
	if served(results) < len(results)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served(results), len(results))
	}
	var broken []string
	for _, r := range results {
		w.mu.Lock()
		engines := w.ran[r.id]
		w.mu.Unlock()
		if r.class == commit && len(engines) > 1 {
			broken = append(broken, fmt.Sprintf("%s (%s, must never run twice) ran %d times, at %s", r.id, r.class, len(engines),
				strings.Join(engines, " and ")))
		}
	}
	w.note("%d requests, %d served", len(results), served(results))
	return broken, nil
}
