package requesttable

import (
	"math"
	"testing"

	"dillroute/scheduler"
)

// Guards against a scheduler that counts a client's time from its own step: a request that has waited for the step, for example behind a
// long pass, would get its final response from the table at the deadline, or an attempt that begins after its client's time.
func TestTimeLeftIsReducedByTheWaitForTheScheduler(t *testing.T) {
	for _, c := range []struct{ step, want float64 }{{1, 5}, {1.5, 4.5}, {7, 0}} {
		table := newTable()
		table.AddRequest(1, newRequest("a", idempotent), 0)
		events, _ := table.Drain(c.step)
		request, ok := events[0].(scheduler.Request)
		if !ok || math.Abs(request.ClientTimeLeft-c.want) > 1e-9 {
			t.Errorf("step at %g s: got %+v, want %g s left", c.step, events[0], c.want)
		}
	}
}
