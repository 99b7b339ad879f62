package endpoints

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// longestWithoutResponse simulates nodes that poll a shared source, all of them at the same time at first, as after an outage. The source
// takes roundTime seconds to answer one call of each node, and rejects calls that would be queued for longer than 2 s. There is
// always a change, so that no watch waits. The function returns the longest time without a response to a node, from 20 s on.
func longestWithoutResponse(nodes int, roundTime float64, useInterval bool, seed uint64) (longest float64) {
	const from, until = 20.0, 80.0
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	pollers, respondedAt, queue := make([]*Poller, nodes), make([]float64, nodes), callQueue{}
	for i := range nodes {
		p := SharedPollPolicy(6, 10, rng.Float64)
		pollers[i] = p.NewPoller()
		if !useInterval {
			pollers[i].MaxInterval = 0
		}
		queue = append(queue, scheduledCall{0.1 * rng.Float64(), i})
	}
	heap.Init(&queue)
	cost, freeAt := roundTime/float64(nodes), 0.0
	for len(queue) > 0 {
		call := heap.Pop(&queue).(scheduledCall)
		if call.at > until {
			break
		}
		wait := max(0, freeAt-call.at)
		if wait > 2 {
			freeAt += rejectionCost * cost
			heap.Push(&queue, scheduledCall{pollers[call.node].AfterRejection(call.at), call.node})
			continue
		}
		freeAt = max(freeAt, call.at) + cost
		answered := call.at + wait + cost
		if answered > from {
			longest = max(longest, answered-max(from, respondedAt[call.node]))
		}
		respondedAt[call.node] = answered
		heap.Push(&queue, scheduledCall{pollers[call.node].AfterResponse(answered, wait+cost), call.node})
	}
	for _, at := range respondedAt {
		longest = max(longest, until-max(from, at))
	}
	return longest
}

// Any number of nodes poll a source that can answer each of them once in 3 s. There are always changes, and a rejected call costs
// the source nearly as much as an answered one. From 20 s after an outage on, each node gets a change within the 6 s after which
// it counts as notified.
func TestSharedSourceUpdatesArriveInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{2, 3, 24, 130, 300}).Draw(t, "nodes")
		roundTime := rapid.Float64Range(0.2, 3).Draw(t, "takes")
		if got := longestWithoutResponse(nodes, roundTime, true, rapid.Uint64().Draw(t, "seed")); got > 6 {
			t.Fatalf("%d nodes, %.2f s for a call of each: a node had no response for %.1f s, want at most 6 s", nodes, roundTime, got)
		}
	})
	if got := longestWithoutResponse(300, 3, false, 1); got <= 6 {
		t.Errorf("without a poll interval all nodes have a response within %.1f s: the simulated source is not overloaded", got)
	}
}
