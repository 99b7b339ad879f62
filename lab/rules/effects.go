package rules

import "dillroute/lab/record"

// Rule 2: an operation takes effect at most once, unless its class allows more effects. A response may promise that a retry is
// harmless only if that is true.

// addEffect processes the start of an operation's effect at an engine.
func (o *operationRules) addEffect(r record.Record) {
	op := o.operationOf(r)
	a := op.attempt(r.Attempt)
	a.effectEngine = r.Engine
	for _, response := range a.finalResponses {
		o.checkRetryHarmless(response, a)
	}
	if len(op.effects) > 0 {
		o.checkSecondEffect(r, op.effects[0])
	}
	op.effects = append(op.effects, r)
}

// checkRetryHarmless reports a rejection of an attempt that has taken effect, because a rejection promises that a retry is harmless.
// It reports nothing if the class makes a second effect harmless at every engine.
func (o *operationRules) checkRetryHarmless(response record.Record, a *attempt) {
	class := o.config.Classes[response.Class]
	if class.Effect == "repeatable" || class.Effect == "by_key" && class.Group == "all" {
		return
	}
	if response.Outcome == record.Rejected && a.effectEngine != "" {
		o.findings.report(2, response.T, "%s attempt %d was rejected as harmless to retry, but had taken effect at %s",
			response.Op, response.Attempt, a.effectEngine)
	}
}

// checkSecondEffect reports a second effect that the class does not allow.
func (o *operationRules) checkSecondEffect(second, first record.Record) {
	class := o.config.Classes[second.Class]
	switch class.Effect {
	case "once":
		o.findings.report(2, second.T, "%s took effect at %s and again at %s", second.Op, first.Engine, second.Engine)
	case "by_key":
		expired := second.T-first.T > class.KeyTTL+o.config.Skew
		if expired || !o.sameGroup(class.Group, first.Engine, second.Engine) {
			o.findings.report(2, second.T, "%s took effect at %s and, outside its group or deduplication window, at %s",
				second.Op, first.Engine, second.Engine)
		}
	}
}

// sameGroup reports whether two engines share their deduplication keys. group says which engines share them: all engines, those of a
// zone or those of a cell.
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
