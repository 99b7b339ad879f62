package endpoints

import (
	"container/heap"
	"math/rand/v2"
	"testing"
)

// scheduledCall is the next call of a node.
type scheduledCall struct {
	at   float64
	node int
}

type callQueue []scheduledCall

func (c callQueue) Len() int           { return len(c) }
func (c callQueue) Less(i, k int) bool { return c[i].at < c[k].at }
func (c callQueue) Swap(i, k int)      { c[i], c[k] = c[k], c[i] }

// Push and Pop implement heap.Interface.
func (c *callQueue) Push(x any) { *c = append(*c, x.(scheduledCall)) }

func (c *callQueue) Pop() any {
	last := len(*c) - 1
	x := (*c)[last]
	*c = (*c)[:last]
	return x
}

// rejectionCost is the cost of a rejected call as a share of an answered one. It is lower because no list is sent.
const rejectionCost = 0.7

// nodesWithList simulates nodes that start together and returns how many of them have a list at the time by. The source takes
// roundTime seconds to answer one call of each node, queues a response for 2 s at most, and rejects calls that would be queued
// for longer.
func nodesWithList(nodes int, roundTime, by float64, policy func(draw func() float64) PollPolicy) (n int) {
	rng := rand.New(rand.NewPCG(1, uint64(nodes)))
	pollers, queue := make([]*Poller, nodes), callQueue{}
	for i := range nodes {
		p := policy(rng.Float64)
		pollers[i] = p.NewPoller()
		queue = append(queue, scheduledCall{p.FirstCallSpread * rng.Float64(), i})
	}
	heap.Init(&queue)
	cost, freeAt := roundTime/float64(nodes), 0.0
	for len(queue) > 0 {
		call := heap.Pop(&queue).(scheduledCall)
		if call.at > by {
			break
		}
		if wait := max(0, freeAt-call.at); wait <= 2 {
			freeAt = max(freeAt, call.at) + cost
			n++
			continue
		}
		freeAt += rejectionCost * cost
		heap.Push(&queue, scheduledCall{pollers[call.node].AfterRejection(call.at), call.node})
	}
	return n
}

// Nodes that start together all get a list soon from a source that they share, though it cannot answer all of them at the same time. With
// the policy for an agent they would keep it overloaded.
func TestSharedPollPolicyEndsSourceOverload(t *testing.T) {
	shared := func(draw func() float64) PollPolicy { return SharedPollPolicy(6, 10, draw) }
	for _, nodes := range []int{2, 32, 300} {
		for _, roundTime := range []float64{2, 4, 8} {
			if n := nodesWithList(nodes, roundTime, 30, shared); n < nodes {
				t.Errorf("%d nodes, %g s for a call of each: %d nodes have a list after 30 s", nodes, roundTime, n)
			}
		}
	}
	agent := func(draw func() float64) PollPolicy { return AgentPollPolicy(6, draw) }
	if n := nodesWithList(300, 8, 30, agent); n >= 300 {
		t.Errorf("with the agent policy %d of 300 nodes have a list, want fewer: the simulated source is not overloaded", n)
	}
}

// A silent watch up to its deadline and a queued response fit into the time after which a change counts as notified. So do the
// delay of the first call and any backoff after failed calls, because an outage is no overload.
func TestSharedPollPolicyFitsNotificationTime(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	if got := policy.CallDeadline(policy.WatchDeadline(0), 1); got >= 6 {
		t.Errorf("the call after a silent watch may be answered only %g s after the watch began, want less than 6 s", got)
	}
	if policy.FirstCallSpread+policy.FirstByte >= 6 {
		t.Errorf("the first call may be made %g s after the start: too late with a queued response", policy.FirstCallSpread)
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

// A node that has a list and is then rejected up to three times calls again before a change counts as notified.
func TestBackoffOfRejectedCallsAfterResponse(t *testing.T) {
	policy := SharedPollPolicy(6, 10, func() float64 { return 0.999 })
	poller := policy.NewPoller()
	now := poller.AfterCall(100, true)
	for i := range rejectionsAfterResponse - 1 {
		at := poller.AfterRejection(now)
		if wait := at - now; wait+policy.FirstByte >= 6 {
			t.Errorf("backoff after %d rejections is %g s: with a queued response a change would arrive too late", i+1, wait)
		}
		now = at
	}
	if at := poller.AfterRejection(now); at-now < policy.NewPoller().MaxBackoff {
		t.Errorf("backoff after further rejections is %g s, want a time that ends an overload", at-now)
	}
}
