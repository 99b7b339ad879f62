package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkStep takes a step without events, with 100 engines that are full and 1,000 requests that wait.
func BenchmarkStep(b *testing.B) {
	sched, err := New(testConfig(), 1)
	if err != nil {
		b.Fatal(err)
	}
	m := listOf()
	for i := range 100 {
		m.Engines = append(m.Engines, testEngine(fmt.Sprint("e", i), i%2, i/2%10))
	}
	now, waits := 1.0, 0
	sched.Step(now, []Event{m})
	for i := 0; waits < 1000; i++ {
		if i == 1000 {
			b.Fatalf("only %d requests wait", waits)
		}
		var evs []Event
		for j := range min(100, 1000-waits) {
			q := testRequest(fmt.Sprint("q", i, "-", j), j%3)
			q.ClientTimeLeft = 1e6
			evs = append(evs, q)
		}
		now += 1e-7
		waits += len(evs) - len(actionsOf[Send](sched.Step(now, evs)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	sends := 0
	for range b.N {
		now += 1e-9
		sends += len(actionsOf[Send](sched.Step(now, nil)))
	}
	b.ReportMetric(float64(waits-sends), "waiting")
}
