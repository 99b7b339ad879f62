package http1

import "time"

// stallDeadlineShare is the divisor of the stall timeout that gives the minimum time between two moves of the deadline. Moving it for each
// event would cost more than forwarding the event.
const stallDeadlineShare = 256

// StallDeadline moves the deadline of a connection while an event stream on it makes progress. An event that arrives slowly is progress,
// for MaxEvent at most. It is not safe for concurrent use.
type StallDeadline struct {
	Conn     *ClientConn
	Stall    time.Duration // longest time without a byte of an event
	MaxEvent time.Duration // longest time from the end of an event to the end of the next one

	eventDeadline time.Time // of the event that is being read; zero before the first one has ended
	movedAt       time.Time
	capped        bool // the deadline is eventDeadline
}

// EventEnded is called when an event has been read.
func (d *StallDeadline) EventEnded() {
	now := time.Now()
	d.eventDeadline = now.Add(d.MaxEvent)
	if d.capped || now.Sub(d.movedAt) > d.Stall/stallDeadlineShare {
		d.move(now)
	}
}

// Progress is called when bytes of an event have arrived. Before the first event has ended, it does nothing: that event has a deadline of
// its own.
func (d *StallDeadline) Progress() {
	if d.eventDeadline.IsZero() {
		return
	}
	if now := time.Now(); now.Sub(d.movedAt) > d.Stall/stallDeadlineShare {
		d.move(now)
	}
}

func (d *StallDeadline) move(now time.Time) {
	deadline := now.Add(d.Stall)
	d.capped = d.eventDeadline.Before(deadline)
	if d.capped {
		deadline = d.eventDeadline
	}
	d.movedAt = now
	d.Conn.SetDeadline(deadline)
}
