package rules

import (
	"maps"
	"slices"

	"dillroute/lab/record"
)

// operation is a unit of work requested by a user; the client's retries belong to the same operation.
type operation struct {
	attempts     map[int]*attempt
	effects      []record.Record // one record for each start of its effect at an engine
	lastRecordAt float64         // Unix seconds
}

// attempt is one request of a client to a node.
type attempt struct {
	request           record.Record // zero until the record of the request has been processed
	finalResponses    []record.Record
	firstTokenAt      float64 // Unix seconds; 0 = no token has arrived
	effectEngine      string  // engine at which its effect began; "" = none
	reportedAsMissing bool    // a missing final response has been reported
}

// operationRules checks rule 1 (one final response before the client's patience ends, and nothing after it) and rule 2 (no second
// effect) on the operations that clients and engines recorded.
type operationRules struct {
	config     Config
	findings   *findings
	kills      *nodeKills
	operations map[string]*operation
}

func (o *operationRules) observe(r record.Record) {
	switch r.Kind {
	case record.RequestSent:
		o.attemptOf(r).request = r
	case record.FirstToken:
		o.attemptOf(r).firstTokenAt = r.T
	case record.EffectStarted:
		o.addEffect(r)
	case record.FinalResponse, record.ClientDisconnected, record.ExtraResponse:
		o.addFinalResponse(r)
	case record.AttemptArrived:
		if r.Op != "" {
			o.checkArrival(r)
		}
	}
}

// operationOf returns the operation of a record, creating it if needed, and updates the time of its last record.
func (o *operationRules) operationOf(r record.Record) *operation {
	op := o.operations[r.Op]
	if op == nil {
		op = &operation{attempts: map[int]*attempt{}}
		o.operations[r.Op] = op
	}
	op.lastRecordAt = max(op.lastRecordAt, r.T)
	return op
}

func (o *operationRules) attemptOf(r record.Record) *attempt {
	return o.operationOf(r).attempt(r.Attempt)
}

func (op *operation) attempt(number int) *attempt {
	a := op.attempts[number]
	if a == nil {
		a = &attempt{}
		op.attempts[number] = a
	}
	return a
}

// sweep deletes the operations that had no record within the horizon and whose clients no longer wait. It first reports their missing
// final responses.
func (o *operationRules) sweep(now float64) {
	for _, id := range slices.Sorted(maps.Keys(o.operations)) {
		op := o.operations[id]
		if now > op.lastRecordAt+horizon && !op.awaitsResponse(now) {
			o.reportMissing(id, op)
			delete(o.operations, id)
		}
	}
}

// awaitsResponse reports whether an attempt has neither a first token nor a final response, and its client's patience ended less than
// the horizon ago or has not ended.
func (op *operation) awaitsResponse(now float64) bool {
	for _, a := range op.attempts {
		if len(a.finalResponses) == 0 && a.firstTokenAt == 0 && now < a.request.T+patienceOf(a.request)+horizon {
			return true
		}
	}
	return false
}

// close reports the final responses that are missing at the end of the run.
func (o *operationRules) close() {
	for _, id := range slices.Sorted(maps.Keys(o.operations)) {
		o.reportMissing(id, o.operations[id])
	}
}

// patienceOf returns how long the client of a request waits for the first token (s). The record of a request stores it in Tokens. If it
// is 0, the checker reports no late response to the request.
func patienceOf(request record.Record) float64 { return request.Tokens }
