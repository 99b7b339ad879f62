// Package letgo decides when a call that lets go of a state is made again. A state must be gone within a stated time
// (rule 5), a call may be lost, and an engine that answered, or cannot be there any more, needs no second one.
// It does no I/O and reads no clock.
package letgo

// Plan is one state that is to be let go of. Times are in seconds.
type Plan struct {
	By    float64 // the latest time at which it may still be held
	Tries int     // calls made so far
}

// Outcome is what a call came to.
type Outcome int

// Outcomes of a call.
const (
	Answered Outcome = iota // the engine answered, with whatever status: it has let go, or lacks the call
	Lost                    // no connection, or none that lasted: it may not have heard
)

const (
	firstWait = 0.04 // s before the second call,
	growth    = 2    // times as long before each further one,
	mostTries = 6    // calls in all: an engine that hears none of them is down, and its states with it
)

// Next is told what a call came to and says when to call again; again is false where there is no use. The last call
// may come at the time By but not after it.
func (p *Plan) Next(now float64, o Outcome) (at float64, again bool) {
	p.Tries++
	if o == Answered || p.Tries >= mostTries || now >= p.By {
		return 0, false
	}
	wait := firstWait
	for range p.Tries - 1 {
		wait *= growth
	}
	return min(now+wait, p.By), true
}
