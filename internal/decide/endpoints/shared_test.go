package endpoints

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// scheduledCall is a node and when it calls.
type scheduledCall struct {
	at   float64
	node int
}

type callQueue []scheduledCall

func (c callQueue) Len() int           { return len(c) }
func (c callQueue) Less(i, k int) bool { return c[i].at < c[k].at }
func (c callQueue) Swap(i, k int)      { c[i], c[k] = c[k], c[i] }

// Push and Pop are those of container/heap.
func (c *callQueue) Push(x any) { *c = append(*c, x.(scheduledCall)) }

func (c *callQueue) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// rejectionCost is what a call costs that is turned away, as a part of one that is answered: it takes no lines of the list.
const rejectionCost = 0.7

// nodesWithList is how many of so many nodes that start together have a list by a time, from a source that takes one call of each in
// takes seconds, at which an answer waits for 2 s at most: what would wait longer is turned away.
func nodesWithList(nodes int, takes, by float64, policy func(draw func() float64) PollPolicy) (n int) {
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	pollers, queue := make([]*Poller, nodes), callQueue{}
	for i := range nodes {
		p := policy(rng.Float64)
		pollers[i] = p.NewPoller()
		queue = append(queue, scheduledCall{p.FirstCallSpread * rng.Float64(), i})
	}
	heap.Init(&queue)
	cost, free := takes/float64(nodes), 0.0
	for len(queue) > 0 {
		d := heap.Pop(&queue).(scheduledCall)
		if d.at > by {
			break
		}
		if wait := max(0, free-d.at); wait <= 2 {
			free = max(free, d.at) + cost
			n++
			continue
		}
		free += rejectionCost * cost
		heap.Push(&queue, scheduledCall{pollers[d.node].AfterRejection(d.at), d.node})
	}
	return n
}

// Nodes that start together are all answered soon by a source that they share, though it cannot answer them at once. At the
// pace for a source of one's own they would keep it overloaded.
func TestSharedPollPolicyEndsSourceOverload(t *testing.T) {
	shared := func(draw func() float64) PollPolicy { return SharedPollPolicy(6, 10, draw) }
	for _, nodes := range []int{2, 32, 300} {
		for _, takes := range []float64{2, 4, 8} {
			if n := nodesWithList(nodes, takes, 30, shared); n < nodes {
				t.Errorf("%d nodes, %g s for a call of each: %d have a list after 30 s", nodes, takes, n)
			}
		}
	}
	own := func(draw func() float64) PollPolicy { return AgentPollPolicy(6, draw) }
	if n := nodesWithList(300, 8, 30, own); n >= 300 {
		t.Errorf("at the other pace %d of 300 have a list: this test shows nothing", n)
	}
}

// A watch that falls silent, its end and a queued answer fit into the time after which a change counts as told, and so do the first
// call and any wait after a call that failed: an outage is no overload.
func TestSharedPollPolicyFitsNotificationTime(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	if got := policy.CallDeadline(policy.WatchDeadline(0), 1); got >= 6 {
		t.Errorf("asked, and answered by a queue of the longest, %g s after the watch fell silent", got)
	}
	if policy.FirstCallSpread+policy.FirstByte >= 6 {
		t.Errorf("the first call may come %g s after the start, and be queued", policy.FirstCallSpread)
	}
	poller := policy.NewPoller()
	now := 100.0
	for i := range 20 {
		at := poller.AfterCall(now, false)
		if wait := at - now; wait+policy.FirstByte >= 6 {
			t.Errorf("after %d calls that failed %g s are waited: with a queued answer a change would be heard too late", i+1, wait)
		}
		now = at
	}
}

// A node that has had a list and is then turned away twice or thrice asks again within the time in which a change counts as told.
func TestBackoffOfRejectedCallsAfterResponse(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	poller := policy.NewPoller()
	now := poller.AfterCall(100, true)
	for i := range rejectionsAfterResponse - 1 {
		at := poller.AfterRejection(now)
		if wait := at - now; wait+policy.FirstByte >= 6 {
			t.Errorf("turned away %d times %g s are waited", i+1, wait)
		}
		now = at
	}
	if at := poller.AfterRejection(now); at-now < policy.NewPoller().MaxBackoff {
		t.Errorf("turned away without end %g s are waited, want a time that ends an overload", at-now)
	}
}
