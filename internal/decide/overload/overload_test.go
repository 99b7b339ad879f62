package overload

import (
	"testing"

	"pgregory.net/rapid"
)

var limits = Limits{Files: 1024, Connections: 20000, Bytes: 1 << 20, Slack: 0.05}

func TestNodeThatKeepsUpTakesAllAndHidesNothingOfTheTime(t *testing.T) {
	s := New(limits)
	for i := range 1000 {
		s.Late(float64(i)/100, 0.0002)
	}
	v := s.Take(10, Request{Patience: 4, Spent: 0.01})
	if !v.OK || v.TimeLeft < 3.98 {
		t.Fatalf("%+v", v)
	}
}

// Nodes at 900 requests a second on a full machine answered after their clients had gone.
func TestNodeThatHearsLateRefusesEarlyAndTakesAgainWhenItHasCaughtUp(t *testing.T) {
	s := New(limits)
	for i := range 40 {
		s.Late(float64(i)/10, 1.5)
	}
	v := s.Take(4, Request{Patience: 4, Draw: 0.5})
	if v.OK || v.Why != "lag" || v.RetryAfter <= 0 {
		t.Fatalf("%+v, lag %g", v, s.Lag(4))
	}
	if v := s.Take(60, Request{Patience: 4}); !v.OK {
		t.Fatalf("still refused a minute later: %+v", v)
	}
}

func TestTheAnswerIsDueEarlierByTheLag(t *testing.T) {
	s := New(limits)
	for i := range 100 {
		s.Late(float64(i)/10, 0.3)
	}
	if v := s.Take(10, Request{Patience: 10, Spent: 1}); !v.OK || v.TimeLeft > 8.8 || v.TimeLeft < 7.5 {
		t.Fatalf("%+v", v)
	}
}

func TestFileTableBoundsConnections(t *testing.T) {
	s := New(limits)
	if n := s.Connections(0); n*perRequest+fileReserve > 1024 || n < 400 {
		t.Fatalf("%d connections in a table of 1024", n)
	}
	s.Short(1, 300)
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
		lim := Limits{Files: rapid.IntRange(0, 4096).Draw(t, "files"), Connections: rapid.IntRange(leastConns, 30000).Draw(t, "connections"),
			Bytes: 1000, Slack: rapid.Float64Range(0, 0.2).Draw(t, "slack")}
		s, now := New(lim), 0.0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.Float64Range(0, 3).Draw(t, "dt")
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				s.Late(now, rapid.Float64Range(-1, 10).Draw(t, "lag"))
			case 1:
				s.Short(now, rapid.IntRange(0, 30000).Draw(t, "open"))
			default:
				q := Request{Patience: rapid.Float64Range(0, 20).Draw(t, "patience"), Spent: rapid.Float64Range(0, 20).Draw(t, "spent"),
					Held: rapid.Int64Range(0, 2000).Draw(t, "held"), Draw: rapid.Float64Range(0, 0.999).Draw(t, "draw")}
				v := s.Take(now, q)
				if v.OK && (v.TimeLeft <= s.Lag(now) || v.TimeLeft > q.Patience-q.Spent || q.Held > 900) {
					t.Fatalf("%+v was taken: %+v, lag %g", q, v, s.Lag(now))
				}
				if !v.OK && (v.RetryAfter <= 0 || v.RetryAfter > mostReturn || v.Why == "") {
					t.Fatalf("refused without a time or a cause: %+v", v)
				}
			}
			if n := s.Connections(now); n < leastConns || n > lim.Connections || s.Lag(now) < 0 {
				t.Fatalf("%d connections, lag %g", n, s.Lag(now))
			}
		}
	})
}
