package node_test

import (
	"sync"
	"testing"

	"dillroute/lab/record"
)

// Many clients connect to a node with few file descriptors. Some must be served and the others rejected with Retry-After; no connection may
// be cut and no rule violated. Without the connection limit the file table of a fleet became full.
func TestChatOverloadWithFewDescriptorsIsRejected(t *testing.T) {
	harness := newChatHarness(t, emulators(1, 1, 0, nil), withLimits(map[string]any{"files": 64}))
	var mu sync.Mutex
	var wg sync.WaitGroup
	seen := map[record.Outcome]int{}
	withoutRetryAfter := 0
	for i := range 300 {
		request := harness.newRequest([]string{"chat", "commit"}[i%2], 10)
		wg.Add(1)
		go func() {
			defer wg.Done()
			result := harness.send(request)
			mu.Lock()
			defer mu.Unlock()
			seen[result.Outcome]++
			if result.Outcome == record.Rejected && result.Code == "node_full" && result.RetryAfter <= 0 {
				withoutRetryAfter++
			}
			if result.Outcome != record.Served && result.Outcome != record.Rejected {
				t.Errorf("got %s (%v), want it served or rejected", result.Outcome, result.Err)
			}
		}()
	}
	wg.Wait()
	t.Log(seen)
	if seen[record.Served] == 0 || seen[record.Served]+seen[record.Rejected] != 300 || withoutRetryAfter > 0 {
		t.Errorf("got %v and %d rejections without Retry-After, want all served or rejected, and none without", seen, withoutRetryAfter)
	}
	harness.requireNoViolations()
}
