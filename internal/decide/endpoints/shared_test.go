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

// rejectionCost is the cost of a rejected call as a share of one that is answered: it sends no list.
const rejectionCost = 0.7

// nodesWithList returns how many of the nodes that start together have a list by a time. The source answers one call of each
// node in takes seconds, queues a response for 2 s at most, and rejects calls that would be queued for longer.
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

// Nodes that start together are all answered soon by a source that they share, though it cannot answer them at once. With the
// policy for an agent they would keep it overloaded.
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
		t.Errorf("with the agent policy %d of 300 have a list: this test shows nothing", n)
	}
}

// A silent watch, its deadline and a queued response fit into the time after which a change counts as notified, and so do the
// first call and any backoff after a failed call: an outage is no overload.
func TestSharedPollPolicyFitsNotificationTime(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	if got := policy.CallDeadline(policy.WatchDeadline(0), 1); got >= 6 {
		t.Errorf("polled, and answered after the longest queue, %g s after the watch became silent", got)
	}
	if policy.FirstCallSpread+policy.FirstByte >= 6 {
		t.Errorf("the first call may come %g s after the start, and be queued", policy.FirstCallSpread)
	}
	poller := policy.NewPoller()
	now := 100.0
	for i := range 20 {
		at := poller.AfterCall(now, false)
		if wait := at - now; wait+policy.FirstByte >= 6 {
			t.Errorf("backoff after %d failed calls is %g s: with a queued response a change would arrive too late", i+1, wait)
		}
		now = at
	}
}

// A node that has a list and is then rejected two or three times calls again before a change counts as notified.
func TestBackoffOfRejectedCallsAfterResponse(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	poller := policy.NewPoller()
	now := poller.AfterCall(100, true)
	for i := range rejectionsAfterResponse - 1 {
		at := poller.AfterRejection(now)
		if wait := at - now; wait+policy.FirstByte >= 6 {
			t.Errorf("backoff after %d rejections is %g s", i+1, wait)
		}
		now = at
	}
	if at := poller.AfterRejection(now); at-now < policy.NewPoller().MaxBackoff {
		t.Errorf("backoff after further rejections is %g s, want a time that ends an overload", at-now)
	}
}
