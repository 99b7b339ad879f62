package overload

import (
	"testing"

	"pgregory.net/rapid"
)

var limits = Limits{Descriptors: 1024, Connections: 20000, Bytes: 1 << 20, ResponseSlack: 0.05}

func TestNodeWithoutLagAdmitsWithFullTime(t *testing.T) {
	controller := New(limits)
	for i := range 1000 {
		controller.ObserveLag(float64(i)/100, 0.0002)
	}
	decision := controller.Admit(10, Request{ClientTimeout: 4, Elapsed: 0.01})
	if !decision.Admitted || decision.ClientTimeLeft < 3.98 {
		t.Fatalf("got %+v, want admission with nearly 4 s left", decision)
	}
}

// Without these rejections, nodes on a saturated machine responded after their clients had disconnected, at 900 requests a second.
func TestLaggingNodeRejectsUntilItRecovers(t *testing.T) {
	controller := New(limits)
	for i := range 40 {
		controller.ObserveLag(float64(i)/10, 1.5)
	}
	decision := controller.Admit(4, Request{ClientTimeout: 4, Random: 0.5})
	if decision.Admitted || decision.Reason != "lag" || decision.RetryAfter <= 0 {
		t.Fatalf("got %+v, want a rejection because of lag; lag %g", decision, controller.Lag(4))
	}
	if decision := controller.Admit(60, Request{ClientTimeout: 4}); !decision.Admitted {
		t.Fatalf("still rejected a minute later: %+v", decision)
	}
}

func TestResponseTimeIsReducedByLag(t *testing.T) {
	controller := New(limits)
	for i := range 100 {
		controller.ObserveLag(float64(i)/10, 0.3)
	}
	decision := controller.Admit(10, Request{ClientTimeout: 10, Elapsed: 1})
	if !decision.Admitted || decision.ClientTimeLeft > 8.8 || decision.ClientTimeLeft < 7.5 {
		t.Fatalf("got %+v, want admission with 7.5 to 8.8 s left", decision)
	}
}

func TestDescriptorLimitBoundsConnections(t *testing.T) {
	controller := New(limits)
	if n := controller.Connections(0); n*descriptorsPerRequest+reservedDescriptors > 1024 || n < 400 {
		t.Fatalf("the limit is %d connections with 1024 descriptors", n)
	}
	controller.ObserveDescriptorShortage(1, 300)
	if n := controller.Connections(1); n > 210 {
		t.Fatalf("the limit is %d connections after descriptors ran out at 300, want at most 210", n)
	}
	if n := controller.Connections(60); n < 400 {
		t.Fatalf("the limit is %d connections a minute later, want at least 400", n)
	}
}

// drawRequest generates a request for admission.
func drawRequest(t *rapid.T) Request {
	return Request{
		ClientTimeout: rapid.Float64Range(0, 20).Draw(t, "client timeout"),
		Elapsed:       rapid.Float64Range(0, 20).Draw(t, "elapsed"),
		HeldBytes:     rapid.Int64Range(0, 2000).Draw(t, "held bytes"),
		Random:        rapid.Float64Range(0, 0.999).Draw(t, "random"),
	}
}

// checkDecision checks the decision on a request, where requests may hold 1000 bytes.
func checkDecision(t *rapid.T, request Request, decision Decision, lag float64) {
	timeLeft := request.ClientTimeout - request.Elapsed
	if decision.Admitted && (decision.ClientTimeLeft <= lag || decision.ClientTimeLeft > timeLeft || request.HeldBytes > 900) {
		t.Fatalf("%+v was admitted: %+v, lag %g", request, decision, lag)
	}
	if !decision.Admitted && (decision.RetryAfter <= 0 || decision.RetryAfter > maxRetryAfter || decision.Reason == "") {
		t.Fatalf("rejected without a time or a reason: %+v", decision)
	}
}

// For any sequence of observations, an admitted request has more time left than the lag, a rejected one gets a time for its retry,
// and the connection limit stays between its minimum and its maximum.
func TestAdmissionInvariantsHoldForAnyObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Descriptors:   rapid.IntRange(0, 4096).Draw(t, "descriptors"),
			Connections:   rapid.IntRange(minConnections, 30000).Draw(t, "connections"),
			Bytes:         1000,
			ResponseSlack: rapid.Float64Range(0, 0.2).Draw(t, "slack"),
		}
		controller := New(limits)
		now := 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 3).Draw(t, "dt")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				controller.ObserveLag(now, rapid.Float64Range(-1, 10).Draw(t, "lag"))
			case 1:
				controller.ObserveDescriptorShortage(now, rapid.IntRange(0, 30000).Draw(t, "open"))
			default:
				request := drawRequest(t)
				decision := controller.Admit(now, request)
				checkDecision(t, request, decision, controller.Lag(now))
			}
			if n := controller.Connections(now); n < minConnections || n > limits.Connections || controller.Lag(now) < 0 {
				t.Fatalf("the limit of %d connections is out of bounds, or the lag %g is negative", n, controller.Lag(now))
			}
		}
	})
}
