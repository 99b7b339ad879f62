package ledger

import (
	"testing"

	"dillroute/brain"
	"dillroute/internal/decide/ending"
)

// An engine was sent a whole request and never said what became of it. While its client can come again it is refused, a read
// having no effect; when the client's time is up a refusal is of no use, and a class that must not run twice fails.
func TestAtTheEndOfItsTimeWhatWasNotHeardOfFails(t *testing.T) {
	unheard := ending.Facts{Progress: ending.Written, Cause: ending.Expired}
	for _, c := range []struct {
		name  string
		class int
		facts ending.Facts
		at    float64 // of 6
		retry bool
	}{
		{"once, time left", 1, unheard, 3, true}, {"once, none left", 1, unheard, 5.98, false},
		{"keyed, none left", 3, unheard, 5.98, false}, {"repeatable, none left", 0, unheard, 5.98, true},
		{"once, never written", 1, ending.Facts{Progress: ending.Connected, Cause: ending.Broken}, 5.98, true},
		{"once, turned away", 1, ending.Facts{Progress: ending.Headed, Cause: ending.Answered, Meaning: ending.Turned}, 5.98, true},
	} {
		for _, how := range []string{"by the module", "by the book"} {
			l := newBook()
			l.Request(1, request("a", c.class), 0)
			n := decode(t, l, 1, "a", "r0") // r0 reads: nothing can have run
			l.Ended(2, "a", n, c.facts, nil)
			if how == "by the module" {
				l.Apply(c.at, brain.Refuse{ID: "a"})
			} else {
				l.EndAll(c.at)
			}
			xs := find[Answer](l)
			if len(xs) != 1 || xs[0].Answer.Retry != c.retry {
				t.Errorf("%s, %s: %+v", c.name, how, xs)
			}
		}
	}
}
