// Package batching decides how often the routing module is asked. Asking at every event would let a burst spend all of
// the owner's time on passes that each see one event; asking seldom adds its wait to every request twice. It does no
// I/O and reads no clock.
package batching

// Share of the owner's time that decision passes may take.
const share = 0.25

// DispatchInterval is the pace of passes. Times are in seconds.
type DispatchInterval struct {
	Tick float64 // least time between the starts of two passes
	next float64
}

// Done is told when a pass began and how long it took.
func (b *DispatchInterval) Done(began, took float64) {
	b.next = began + max(b.Tick, took/share)
}

// Next returns the earliest time of the next pass.
func (b *DispatchInterval) Next() float64 { return b.next }
