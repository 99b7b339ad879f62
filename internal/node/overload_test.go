package node_test

import (
	"sync"
	"testing"

	"dillroute/lab/record"
)

// A crowd of clients at a node with few descriptors: some are served, the others read a refusal that tells when to come,
// none is cut off, and no rule is broken. Without the bound the file table of a fleet ran full.
func TestCrowdAtANodeWithFewDescriptors(t *testing.T) {
	r := newRig(t, engines(1, 1, 0, nil), limits(map[string]any{"files": 64}))
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[record.Outcome]int{}
	untold := 0
	for i := range 300 {
		a := r.ask([]string{"chat", "commit"}[i%2], 10)
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := r.do(a)
			mu.Lock()
			defer mu.Unlock()
			seen[res.Outcome]++
			if res.Outcome == record.Rejected && res.Code == "node_full" && res.RetryAfter <= 0 {
				untold++
			}
			if res.Outcome != record.Served && res.Outcome != record.Rejected {
				t.Errorf("%s: %v", res.Outcome, res.Err)
			}
		}()
	}
	wg.Wait()
	t.Log(seen)
	if seen[record.Served] == 0 || seen[record.Served]+seen[record.Rejected] != 300 || untold > 0 {
		t.Errorf("%v, %d refused without a time", seen, untold)
	}
	r.lawful()
}
