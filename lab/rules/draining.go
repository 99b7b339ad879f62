package rules

import "dillroute/lab/record"

// stateReady is the state of an engine that may be sent requests, as endpoint lists give it.
const stateReady = "ready"

// drainRule checks rule 3: a node sends nothing to an engine once its endpoint list has said, for the grace, that the engine is
// draining or gone.
type drainRule struct {
	config    Config
	found     *findings
	delivered map[nodeEngine]record.Record // the first delivery of the present state
}

func (d *drainRule) observe(r record.Record) {
	key := nodeEngine{r.Node, r.Engine}
	switch r.Kind {
	case record.ListDelivered:
		if d.delivered[key].State != r.State {
			d.delivered[key] = r
		}
	case record.Arrive:
		delivery, known := d.delivered[key]
		allowed := d.config.DrainGrace + d.config.ListLag + d.config.Skew
		if known && delivery.State != stateReady && r.T > delivery.T+allowed {
			d.found.report(3, r.T, "%s was sent %s by %s %.3f s after it was told that it is %s",
				r.Engine, r.Op, r.Node, r.T-delivery.T, delivery.State)
		}
	}
}
