package overload

import (
	"testing"

	"pgregory.net/rapid"
)

// The shares never exceed the limits, clients get at least a third of the descriptors, and no share is zero.
func TestBudgetFitsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		descriptors := rapid.IntRange(64, 1<<16).Draw(t, "descriptors")
		memory := rapid.Int64Range(32<<20, 1<<34).Draw(t, "memory")
		budget := DivideLimits(descriptors, memory)
		if used := budget.Clients + budget.RejectionQueue + budget.Engines; used > descriptors-descriptors/20 {
			t.Fatalf("%d of %d descriptors are assigned", used, descriptors)
		}
		if budget.Clients < descriptors/3 || budget.RejectionQueue < 1 || budget.Engines < 1 || budget.BodyBytes < 1 ||
			budget.BodyBytes+budget.HeapLimit > memory {
			t.Fatalf("got %+v of %d descriptors and %d bytes: a share is too small, or the sum too large", budget, descriptors, memory)
		}
	})
}
