package overload

import (
	"testing"

	"pgregory.net/rapid"
)

var limits = Limits{Descriptors: 1024, Connections: 20000, Bytes: 1 << 20, ResponseSlack: 0.05}

func TestNodeThatKeepsUpTakesAllAndHidesNothingOfTheTime(t *testing.T) {
	s := New(limits)
	for i := range 1000 {
		s.ObserveLag(float64(i)/100, 0.0002)
	}
	v := s.Admit(10, Request{ClientTimeout: 4, Elapsed: 0.01})
	if !v.Admitted || v.ClientTimeLeft < 3.98 {
		t.Fatalf("%+v", v)
	}
}

// Nodes at 900 requests a second on a full machine answered after their clients had gone.
func TestNodeThatHearsLateRefusesEarlyAndTakesAgainWhenItHasCaughtUp(t *testing.T) {
	s := New(limits)
	for i := range 40 {
		s.ObserveLag(float64(i)/10, 1.5)
	}
	v := s.Admit(4, Request{ClientTimeout: 4, Draw: 0.5})
	if v.Admitted || v.Reason != "lag" || v.RetryAfter <= 0 {
		t.Fatalf("%+v, lag %g", v, s.Lag(4))
	}
	if v := s.Admit(60, Request{ClientTimeout: 4}); !v.Admitted {
		t.Fatalf("still refused a minute later: %+v", v)
	}
}

func TestTheAnswerIsDueEarlierByTheLag(t *testing.T) {
	s := New(limits)
	for i := range 100 {
		s.ObserveLag(float64(i)/10, 0.3)
	}
	if v := s.Admit(10, Request{ClientTimeout: 10, Elapsed: 1}); !v.Admitted || v.ClientTimeLeft > 8.8 || v.ClientTimeLeft < 7.5 {
		t.Fatalf("%+v", v)
	}
}

func TestFileTableBoundsConnections(t *testing.T) {
	s := New(limits)
	if n := s.Connections(0); n*perRequest+fileReserve > 1024 || n < 400 {
		t.Fatalf("%d connections in a table of 1024", n)
	}
	s.ObserveDescriptorShortage(1, 300)
	if n := s.Connections(1); n > 210 {
		t.Fatalf("%d connections after the table was full at 300", n)
	}
	if n := s.Connections(60); n < 400 {
		t.Fatalf("%d connections a minute later", n)
	}
}

// Whatever is seen, in any order: what is taken has time for its lag, what is refused is told when to come, nothing
// goes below its least or beyond what the limits allow.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lim := Limits{Descriptors: rapid.IntRange(0, 4096).Draw(t, "files"), Connections: rapid.IntRange(leastConns, 30000).Draw(t, "connections"),
			Bytes: 1000, ResponseSlack: rapid.Float64Range(0, 0.2).Draw(t, "slack")}
		s, now := New(lim), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 3).Draw(t, "dt")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				s.ObserveLag(now, rapid.Float64Range(-1, 10).Draw(t, "lag"))
			case 1:
				s.ObserveDescriptorShortage(now, rapid.IntRange(0, 30000).Draw(t, "open"))
			default:
				q := Request{ClientTimeout: rapid.Float64Range(0, 20).Draw(t, "patience"), Elapsed: rapid.Float64Range(0, 20).Draw(t, "spent"),
					HeldBytes: rapid.Int64Range(0, 2000).Draw(t, "held"), Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw")}
				v := s.Admit(now, q)
				if v.Admitted && (v.ClientTimeLeft <= s.Lag(now) || v.ClientTimeLeft > q.ClientTimeout-q.Elapsed || q.HeldBytes > 900) {
					t.Fatalf("%+v was taken: %+v, lag %g", q, v, s.Lag(now))
				}
				if !v.Admitted && (v.RetryAfter <= 0 || v.RetryAfter > mostReturn || v.Reason == "") {
					t.Fatalf("refused without a time or a cause: %+v", v)
				}
			}
			if n := s.Connections(now); n < leastConns || n > lim.Connections || s.Lag(now) < 0 {
				t.Fatalf("%d connections, lag %g", n, s.Lag(now))
			}
		}
	})
}
