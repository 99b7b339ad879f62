package node

import (
	"math/rand/v2"
	"sync"

	"dillroute/internal/clock"
	"dillroute/internal/decide/overload"
)

// keeping is how the node keeps up, as internal/decide/overload judges it. The owner, the accepting goroutine and those
// of attempts tell it; a lock is enough, for each is told a few numbers.
type keeping struct {
	mu    sync.Mutex
	clock clock.Clock
	state *overload.Controller
}

func newKeeping(lim overload.Limits, c clock.Clock) *keeping {
	return &keeping{clock: c, state: overload.New(lim)}
}

// late files how late something was heard of.
func (k *keeping) late(now, lag float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.ObserveLag(now, lag)
}

// connections is how many clients may be connected now.
func (k *keeping) connections() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Connections(k.clock.Now())
}

// back says when a client that found no place may come again (s).
func (k *keeping) back() float64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.RetryAfter(k.clock.Now(), rand.Float64())
}

// short files that no descriptor was left.
func (k *keeping) short(open int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.state.ObserveDescriptorShortage(k.clock.Now(), open)
}

// take decides on a request.
func (k *keeping) take(now float64, q overload.Request) overload.Decision {
	q.Random = rand.Float64()
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.state.Admit(now, q)
}

// noteShortage is told that no descriptor was left: idle connections make room, above all for calls that let go of states.
func (n *Node) noteShortage(open int) {
	n.strain.short(open)
	n.caller.CloseIdle()
	n.metrics.shortages.Inc()
}
