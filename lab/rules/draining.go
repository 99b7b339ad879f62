package rules

import "dillroute/lab/record"

// stateReady is the endpoint list's state of an engine that accepts requests.
const stateReady = "ready"

// drainRule checks rule 3: if a node's endpoint list has shown an engine as draining or gone for longer than the grace period, the
// node sends nothing to this engine.
type drainRule struct {
	config    Config
	findings  *findings
	delivered map[nodeEngine]record.Record // the first delivery of the current state of the engine in the node's list
}

func (d *drainRule) observe(r record.Record) {
	key := nodeEngine{r.Node, r.Engine}
	switch r.Kind {
	case record.ListDelivered:
		if d.delivered[key].State != r.State {
			d.delivered[key] = r
		}
	case record.AttemptArrived:
		delivery, known := d.delivered[key]
		allowed := d.config.DrainGrace + d.config.ListLag + d.config.Skew
		if known && delivery.State != stateReady && r.T > delivery.T+allowed {
			d.findings.report(3, r.T, "%s received %s from %s %.3f s after that node's endpoint list gave its state as %s",
				r.Engine, r.Op, r.Node, r.T-delivery.T, delivery.State)
		}
	}
}
