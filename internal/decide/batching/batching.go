// Package batching decides how often the decision module runs a decision pass. If it ran one at every event, a burst would use up
// the event loop's time with passes that each handle one event. If passes were rare, every request would wait for one twice: before
// its prefill and before its decode. The package does no I/O and reads no clock; times are in seconds.
package batching

const (
	// maxTimeShare is the share of the event loop's time that decision passes may take, as long as maxPause allows it.
	maxTimeShare = 0.25
	// maxPause is the longest time from the end of a pass to the start of the next one, in seconds, unless a tick is longer. The scheduler
	// expires requests and continues interrupted passes, and has to run again before their deadlines.
	maxPause = 0.01
)

// DispatchInterval schedules decision passes. It is not safe for concurrent use.
type DispatchInterval struct {
	Tick     float64 // minimum time between the starts of two passes (s)
	nextPass float64
}

// RecordPass records when a pass started and how long it took.
func (d *DispatchInterval) RecordPass(started, took float64) {
	pause := min(took/maxTimeShare-took, maxPause)
	d.nextPass = started + max(d.Tick, took+pause)
}

// Next returns the earliest time of the next pass.
func (d *DispatchInterval) Next() float64 { return d.nextPass }
