//go:build review

package main

import (
	"fmt"
	"time"
)

func init() { cases["comment"] = commentCase }

// Times of the case.
const (
	commentLength   = 5 * time.Second
	commentInterval = 100 * time.Millisecond
)

// commentCase lets the engines end their streams with the load report as a comment line alone, with no empty line behind it. The rule: a
// stream that its engine has written to its last chunk reaches the client to its end.
func commentCase(w *world, trouble bool) ([]string, error) {
	var all []*engine
	for _, box := range []struct{ id, kind string }{{"r1", reader}, {"r2", reader}, {"w1", writer}, {"w2", writer}} {
		e, err := w.startEngine(box.id, box.kind)
		if err != nil {
			return nil, err
		}
		e.bareEnd = trouble
		all = append(all, e)
	}
	d, err := w.startDiscovery(all...)
	if err != nil {
		return nil, err
	}
	s := settings()
	s["family_info"].(map[string]any)["resume"] = false // clients do not ask for the rest of a stream
	known, _, _ := d.since(-1)
	if err := w.startNode(s, d.address, known); err != nil {
		return nil, err
	}
	c := newClients(w)
	for end := time.Now().Add(commentLength); time.Now().Before(end); time.Sleep(commentInterval) {
		c.send(chat, 5)
		c.send(commit, 15)
	}
	results := c.wait()
	var broken []string
	for _, r := range results {
		if r.status == 200 && r.done && !r.whole {
			broken = append(broken, fmt.Sprintf("%s (%s): its engine wrote the whole stream, but the client's answer was cut off: %v",
				r.id, r.class, r.err))
		}
	}
	w.note("%d requests, %d served", len(results), served(results))
	if len(broken) == 0 && served(results) < len(results)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served(results), len(results))
	}
	return broken, nil
}
