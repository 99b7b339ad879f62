package scheduler

import (
	"fmt"
	"testing"
)

// BenchmarkStep measures a step without events, with 100 full engines and 1,000 waiting requests.
func BenchmarkStep(b *testing.B) {
	sched, err := New(testConfig(), 1)
	if err != nil {
		b.Fatal(err)
	}
	endpoints := listOf()
	for i := range 100 {
		endpoints.Engines = append(endpoints.Engines, testEngine(fmt.Sprint("e", i), i%2, i/2%10))
	}
	now, waiting := 1.0, 0
	sched.Step(now, []Event{endpoints})
	for i := 0; waiting < 1000; i++ {
		if i == 1000 {
			b.Fatalf("got %d waiting requests, want 1000", waiting)
		}
		var events []Event
		for j := range min(100, 1000-waiting) {
			req := testRequest(fmt.Sprint("q", i, "-", j), j%3)
			req.ClientTimeLeft = 1e6
			events = append(events, req)
		}
		now += 1e-7
		waiting += len(events) - len(actionsOf[Send](sched.Step(now, events)))
	}
	b.ReportAllocs()
	b.ResetTimer()
	sends := 0
	for range b.N {
		now += 1e-9
		sends += len(actionsOf[Send](sched.Step(now, nil)))
	}
	b.ReportMetric(float64(waiting-sends), "waiting")
}
