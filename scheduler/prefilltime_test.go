package scheduler

import "testing"

// If learned waits did not decay, prefill engines that were slow once would get no requests. Without requests there would be no new
// measurements of them, so they would never get requests again.
func TestLearnedWaitsDecayWhileNothingIsPrefilled(t *testing.T) {
	sched := startScheduler(t, testConfig(), testFleet())
	sched.now = 1
	for _, e := range sched.engineList {
		e.prefillWait.add(1, 3, 1)
	}
	sched.kinds[0].prefillWait.add(1, 3, 1)
	noAction[Send](t, sched.Step(1, []Event{testRequest("a", 0)}))
	onlyAction[Send](t, sched.Step(41, []Event{testRequest("b", 0)}))
}
