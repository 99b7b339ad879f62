package scheduler

import "testing"

// Nothing was sent to prefill engines that had been slow once, so nothing was learned of them, and nothing was sent.
func TestLearnedWaitsFadeWhileNothingIsPrefilled(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	sched.now = 1
	for _, e := range sched.engineList {
		e.prefillWait.add(1, 3, 1)
	}
	sched.kinds[0].prefillWait.add(1, 3, 1)
	noAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	onlyAction[Send](t, sched.Step(41, []Event{testRequest("b", 0)}))
}
