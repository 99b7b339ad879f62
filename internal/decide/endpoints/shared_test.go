package endpoints

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// due is a node and when it calls.
type due struct {
	at   float64
	node int
}

type calendar []due

func (c calendar) Len() int           { return len(c) }
func (c calendar) Less(i, k int) bool { return c[i].at < c[k].at }
func (c calendar) Swap(i, k int)      { c[i], c[k] = c[k], c[i] }

// Push and Pop are those of container/heap.
func (c *calendar) Push(x any) { *c = append(*c, x.(due)) }

func (c *calendar) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// turnedAwayCost is what a call costs that is turned away, as a part of one that is answered: it takes no lines of the list.
const turnedAwayCost = 0.7

// listed is how many of so many nodes that start together have a list by a time, from a source that takes one call of each in
// takes seconds, at which an answer waits for 2 s at most: what would wait longer is turned away.
func listed(nodes int, takes, by float64, pace func(draw func() float64) Pace) (n int) {
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	askers, when := make([]*Asker, nodes), calendar{}
	for i := range nodes {
		p := pace(rng.Float64)
		askers[i] = p.Asker()
		when = append(when, due{p.Spread * rng.Float64(), i})
	}
	heap.Init(&when)
	cost, free := takes/float64(nodes), 0.0
	for len(when) > 0 {
		d := heap.Pop(&when).(due)
		if d.at > by {
			break
		}
		if wait := max(0, free-d.at); wait <= 2 {
			free = max(free, d.at) + cost
			n++
			continue
		}
		free += turnedAwayCost * cost
		heap.Push(&when, due{askers[d.node].TurnedAway(d.at), d.node})
	}
	return n
}

// Nodes that start together are all answered soon by a source that they share, though it cannot answer them at once. At the
// pace for a source of one's own they would keep it overloaded.
func TestSharedSourceIsNotKeptOverloaded(t *testing.T) {
	shared := func(draw func() float64) Pace { return SharedPace(6, 10, draw) }
	for _, nodes := range []int{2, 32, 300} {
		for _, takes := range []float64{2, 4, 8} {
			if n := listed(nodes, takes, 30, shared); n < nodes {
				t.Errorf("%d nodes, %g s for a call of each: %d have a list after 30 s", nodes, takes, n)
			}
		}
	}
	own := func(draw func() float64) Pace { return AgentPace(6, draw) }
	if n := listed(300, 8, 30, own); n >= 300 {
		t.Errorf("at the other pace %d of 300 have a list: this test shows nothing", n)
	}
}

// A watch that falls silent, its end and a queued answer fit into the time after which a change counts as told, and so do the first
// call and any wait after a call that failed: an outage is no overload.
func TestSharedPaceFitsItsClock(t *testing.T) {
	p := SharedPace(6, 10, func() float64 { return 0.999 })
	if got := p.Patience(p.Silent(0), 1); got >= 6 {
		t.Errorf("asked, and answered by a queue of the longest, %g s after the watch fell silent", got)
	}
	if p.Spread+p.First >= 6 {
		t.Errorf("the first call may come %g s after the start, and be queued", p.Spread)
	}
	a := p.Asker()
	now := 100.0
	for i := range 20 {
		at := a.After(now, false)
		if wait := at - now; wait+p.First >= 6 {
			t.Errorf("after %d calls that failed %g s are waited: with a queued answer a change would be heard too late", i+1, wait)
		}
		now = at
	}
}

// A node that has had a list and is then turned away twice or thrice asks again within the time in which a change counts as told.
func TestTurnedAwaySinceAnAnswer(t *testing.T) {
	p := SharedPace(6, 10, func() float64 { return 0.999 })
	a := p.Asker()
	now := a.After(100, true)
	for i := range overloadedSince - 1 {
		at := a.TurnedAway(now)
		if wait := at - now; wait+p.First >= 6 {
			t.Errorf("turned away %d times %g s are waited", i+1, wait)
		}
		now = at
	}
	if at := a.TurnedAway(now); at-now < p.Asker().Most {
		t.Errorf("turned away without end %g s are waited, want a time that ends an overload", at-now)
	}
}
