package permit

// Violation is a rule that was broken, or would have been judged broken by whoever sees the sockets.
type Violation struct {
	Rule   int
	Reason Reason
}

// What the pages allow beyond a limit: the time in which a node notices that a client has left, the time for which a node may be held up
// between its clock and its write, and how late an answer is lost rather than worth nothing.
const (
	noticeWithin = 0.1
	heldUp       = 0.15
	lostAfter    = 0.5
)

// Written is an attempt as it was written. Times are of its first byte; a time of 0 stands for never, or none.
type Written struct {
	At                   float64
	ClientDisconnectedAt float64 // when its client left
	ClientDeadline       float64 // when its client's time was over
	DedupWindowEnd       float64 // when the window of its repeats was over
	DrainingSince        float64 // when its engine was known to drain or be gone
	DrainGrace           float64
}

// Violations are the rules that the attempt broke.
func (w Written) Violations() (broken []Violation) {
	if w.ClientDisconnectedAt > 0 && w.At > w.ClientDisconnectedAt+noticeWithin {
		broken = append(broken, Violation{1, ClientDisconnected})
	}
	if w.ClientDeadline > 0 && w.At > w.ClientDeadline+heldUp {
		broken = append(broken, Violation{1, DeadlinePassed})
	}
	if w.DedupWindowEnd > 0 && w.At > w.DedupWindowEnd+heldUp {
		broken = append(broken, Violation{2, DedupWindowPassed})
	}
	if w.DrainingSince > 0 && w.At > w.DrainingSince+w.DrainGrace {
		broken = append(broken, Violation{3, EngineDraining})
	}
	return broken
}

// Responded is a final answer, or the first piece of one.
type Responded struct {
	At, DueBy float64
}

// Violations are the rules that the answer broke.
func (a Responded) Violations() []Violation {
	if a.DueBy > 0 && a.At > a.DueBy+lostAfter {
		return []Violation{{1, DeadlinePassed}}
	}
	return nil
}

// Closed is a client's connection that the node has closed.
type Closed struct {
	Unanswered         bool // a request was read on it and has no answer
	ClientDisconnected bool
}

// Violations are the rules that the close broke.
func (c Closed) Violations() []Violation {
	if c.Unanswered && !c.ClientDisconnected {
		return []Violation{{1, Unanswered}}
	}
	return nil
}

// HeldState is a state that an engine holds with no attempt out, after a call that was to release it. Times are in seconds.
type HeldState struct {
	Answered bool // an engine has answered the call
	At, By   float64
}

// Violations are the rules that the state breaks.
func (h HeldState) Violations() []Violation {
	if !h.Answered && h.At >= h.By {
		return []Violation{{5, StateNotReleased}}
	}
	return nil
}
