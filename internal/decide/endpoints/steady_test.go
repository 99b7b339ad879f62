package endpoints

import (
	"container/heap"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// longestWithoutResponse simulates nodes that poll a shared source, all of them at once at first, as after an outage. The source
// answers one call of each node in takes seconds, and rejects calls that would be queued for longer than 2 s. There is always a
// change, so that no watch waits. It returns the longest time without a response to a node, from 20 s on.
func longestWithoutResponse(nodes int, takes float64, paced bool, seed uint64) (longest float64) {
	const from, until = 20.0, 80.0
	rng := rand.New(rand.NewPCG(seed, uint64(nodes)))
	pollers, respondedAt, queue := make([]*Poller, nodes), make([]float64, nodes), callQueue{}
	for i := range nodes {
		p := SharedPollPolicy(6, 10, rng.Float64)
		pollers[i] = p.NewPoller()
		if !paced {
			pollers[i].MaxInterval = 0
		}
		queue = append(queue, scheduledCall{0.1 * rng.Float64(), i})
	}
	heap.Init(&queue)
	cost, free := takes/float64(nodes), 0.0
	for len(queue) > 0 {
		d := heap.Pop(&queue).(scheduledCall)
		if d.at > until {
			break
		}
		wait := max(0, free-d.at)
		if wait > 2 {
			free += rejectionCost * cost
			heap.Push(&queue, scheduledCall{pollers[d.node].AfterRejection(d.at), d.node})
			continue
		}
		free = max(free, d.at) + cost
		answered := d.at + wait + cost
		if answered > from {
			longest = max(longest, answered-max(from, respondedAt[d.node]))
		}
		respondedAt[d.node] = answered
		heap.Push(&queue, scheduledCall{pollers[d.node].AfterResponse(answered, wait+cost), d.node})
	}
	for _, at := range respondedAt {
		longest = max(longest, until-max(from, at))
	}
	return longest
}

// However many nodes poll a source that can answer each of them once in 3 s, with changes without end and rejected calls that
// cost most of an answered one: from 20 s after an outage on, each gets a change within the 6 s after which it counts as notified.
func TestSharedSourceUpdatesArriveInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.SampledFrom([]int{2, 3, 24, 130, 300}).Draw(t, "nodes")
		takes := rapid.Float64Range(0.2, 3).Draw(t, "takes")
		if got := longestWithoutResponse(nodes, takes, true, rapid.Uint64().Draw(t, "seed")); got > 6 {
			t.Fatalf("%d nodes, %.2f s for a call of each: one had no response for %.1f s", nodes, takes, got)
		}
	})
	if got := longestWithoutResponse(300, 3, false, 1); got <= 6 {
		t.Errorf("without a poll interval all have a response within %.1f s: this test shows nothing", got)
	}
}
