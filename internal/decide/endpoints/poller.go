package endpoints

// Poller decides when a node asks the source of the list again. Hundreds of nodes ask the same source: after a failure
// each waits longer and by chance, and none asks more often than its budget, whatever the source answers. Times are in
// seconds.
type Poller struct {
	MinBackoff, MaxBackoff float64 // wait after a failure, at first and at last
	OverloadBackoff        float64 // half to all of it is waited once the source is overloaded (TurnedAway); 0 = never
	CallsPerSecond, Burst  float64 // budget of calls
	MaxInterval            float64 // the longest pause after an answer, while the source is congested; 0 = none is made
	CongestionDelay        float64 // by how much an answer of a congested source comes late
	Random                 func() float64
	pause                  float64 // after an answer, now
	wait                   float64
	tokens                 float64
	at                     float64
	begun                  bool
	turnedAway             int  // calls that were, in a row
	answered               bool // a call has been answered
}

// overloaded is how many calls in a row a source turns away that is taken to be overloaded by those who ask it, before it has
// answered one and since: who has had an answer comes back at another time than all others.
const (
	overloaded              = 2
	rejectionsAfterResponse = 4
)

// NewPoller returns one with our starting values. draw gives numbers from 0 up to 1, and is the only source of chance.
func NewPoller(draw func() float64) *Poller {
	return &Poller{MinBackoff: 0.25, MaxBackoff: 20, CallsPerSecond: 2, Burst: 4, Random: draw}
}

// NewAgentPoller returns one for a source that is the node's own (an agent on its machine): it need not be spared by chance
// over seconds, a watch goes on only if its next call comes within 0.2 s, and what the source has at its return may count
// as told at once.
func NewAgentPoller(draw func() float64) *Poller {
	return &Poller{MinBackoff: 0.05, MaxBackoff: 0.2, CallsPerSecond: 10, Burst: 20, Random: draw}
}

// FirstCall returns when the first call may be made: nodes that start together do not ask together.
func (a *Poller) FirstCall(now float64) float64 { return a.spend(now + a.MinBackoff*a.Random()) }

// AfterCall returns when to call again after a call that ended at now, in success or not. A good answer is asked after at
// once (the source holds the call until there is news), within the budget. A failure is waited out by decorrelated
// jitter (Brooker, "Exponential Backoff and Jitter", 2015).
func (a *Poller) AfterCall(now float64, good bool) float64 {
	if good {
		a.wait, a.turnedAway, a.answered = 0, 0, true
		return a.spend(now)
	}
	from := max(a.MinBackoff, a.wait)
	a.wait = min(a.MaxBackoff, a.MinBackoff+a.Random()*(3*from-a.MinBackoff))
	return a.spend(now + a.wait)
}

// AfterResponse returns when to call again after an answer that came so late (s): what all nodes ask has to fit what the source can
// answer. The pause after an answer doubles while the source is congested and shrinks bit by bit while it is not, as TCP's
// congestion avoidance does (Chiu and Jain, 1989). Of N nodes that each pause for p and then wait for their turn, of which the
// source answers C a second, none is turned away if N/C is at most p and the time for which a call may wait.
func (a *Poller) AfterResponse(now, late float64) float64 {
	a.congested(late > a.CongestionDelay)
	a.wait, a.turnedAway, a.answered = 0, 0, true
	return a.spend(now + a.pause*(1+a.Random())/2)
}

// leastPause is the first pause (s), and what is taken off at each answer in time is a part of it.
const (
	leastPause = 0.25
	pauseStep  = 0.25
)

func (a *Poller) congested(is bool) {
	if is {
		a.pause = min(a.MaxInterval, max(leastPause, 2*a.pause))
		return
	}
	a.pause = max(0, a.pause-pauseStep*leastPause)
}

// AfterRejection returns when to call again after the source has answered that it cannot: as after any failure at first, and then so
// late that the calls of all who were turned away do not keep it overloaded.
func (a *Poller) AfterRejection(now float64) float64 {
	a.congested(true)
	most := overloaded
	if a.answered {
		most = rejectionsAfterResponse
	}
	if a.turnedAway++; a.turnedAway < most || a.OverloadBackoff <= 0 {
		return a.AfterCall(now, false)
	}
	a.wait = a.OverloadBackoff * (1 + a.Random()) / 2
	return a.spend(now + a.wait)
}

// spend takes one call from the budget and returns when it may be made, not before the time given.
func (a *Poller) spend(at float64) float64 {
	if !a.begun {
		a.begun, a.tokens, a.at = true, a.Burst, at
	}
	if at > a.at {
		a.tokens, a.at = min(a.Burst, a.tokens+a.CallsPerSecond*(at-a.at)), at
	}
	a.tokens--
	if a.tokens >= 0 {
		return at
	}
	return at - a.tokens/a.CallsPerSecond
}
