package overload

import (
	"testing"

	"pgregory.net/rapid"
)

// The parts never come to more than the whole, clients get a third of the descriptors at least, and nobody gets none.
func TestPartsFitTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sockets, bytes := rapid.IntRange(64, 1<<16).Draw(t, "sockets"), rapid.Int64Range(32<<20, 1<<34).Draw(t, "bytes")
		p := DivideLimits(sockets, bytes)
		if used := p.Clients + p.RejectionQueue + p.Engines; used > sockets-sockets/20 {
			t.Fatalf("%d of %d descriptors", used, sockets)
		}
		if p.Clients < sockets/3 || p.RejectionQueue < 1 || p.Engines < 1 || p.BodyBytes < 1 || p.BodyBytes+p.HeapLimit > bytes {
			t.Fatalf("%+v of %d and %d", p, sockets, bytes)
		}
	})
}
