package rules

import "dillroute/lab/record"

// Rule 2: an operation has its effect at most once, or as often as its class allows; and a client is told that a retry is harmless
// only where that is true.

// effectBegan takes the start of an operation's effect at an engine.
func (o *operationRules) effectBegan(r record.Record) {
	op := o.operationOf(r)
	a := op.attempt(r.Try)
	a.effectAt = r.Engine
	for _, response := range a.finalResponses {
		o.checkRetryHarmless(response, a)
	}
	if len(op.effects) > 0 {
		o.checkSecondEffect(r, op.effects[0])
	}
	op.effects = append(op.effects, r)
}

// checkRetryHarmless checks a rejection, which says that a retry is harmless, against the effect that the attempt has had.
func (o *operationRules) checkRetryHarmless(response record.Record, a *attempt) {
	class := o.config.Classes[response.Class]
	if class.Effect == "repeatable" || class.Effect == "by_key" && class.Group == "all" {
		return
	}
	if response.Outcome == record.Rejected && a.effectAt != "" {
		o.found.report(2, response.T, "%s try %d was refused, a retry being called harmless, though %s had run it",
			response.Op, response.Try, a.effectAt)
	}
}

// checkSecondEffect checks whether the class allows another effect after the first.
func (o *operationRules) checkSecondEffect(again, first record.Record) {
	class := o.config.Classes[again.Class]
	switch class.Effect {
	case "once":
		o.found.report(2, again.T, "%s ran at %s and again at %s", again.Op, first.Engine, again.Engine)
	case "by_key":
		expired := again.T-first.T > class.KeyTTL+o.config.Skew
		if expired || !o.sameGroup(class.Group, first.Engine, again.Engine) {
			o.found.report(2, again.T, "%s ran at %s and, outside its group or window, at %s", again.Op, first.Engine, again.Engine)
		}
	}
}

// sameGroup reports whether two engines share the keys of a group.
func (o *operationRules) sameGroup(group, first, second string) bool {
	a, b := o.config.Engines[first], o.config.Engines[second]
	switch group {
	case "zone":
		return a.Zone == b.Zone
	case "cell":
		return a.Cell == b.Cell
	}
	return true
}
