package permit

// Numbers of the rules that the audit checks.
const (
	ruleDeadlines    = 1
	ruleNoDuplicates = 2
	ruleDraining     = 3
	ruleStateRelease = 5
)

// Violation is a broken rule, as an observer of the sockets would report it.
type Violation struct {
	Rule   int // number of the rule
	Reason Reason
}

// Tolerances that the rules allow beyond a limit.
const (
	// disconnectNoticeTime is the time within which a node must notice that a client has disconnected (s).
	disconnectNoticeTime = 0.1
	// maxPause is how long a node may be paused between reading its clock and writing (s).
	maxPause = 0.15
	// responseLostAfter is the delay beyond which a late response counts as lost (s). With a shorter delay it only has no value.
	responseLostAfter = 0.5
)

// Written describes an attempt as it was written. At is the time of its first byte; the other times are 0 for never.
type Written struct {
	At                   float64
	ClientDisconnectedAt float64
	ClientDeadline       float64
	DedupWindowEnd       float64 // when engines stopped recognizing the attempt as a repeat
	DrainingSince        float64 // since when its engine was known to be draining or removed
	DrainGrace           float64
}

// Violations returns the rules that the attempt broke.
func (w Written) Violations() (broken []Violation) {
	if w.ClientDisconnectedAt > 0 && w.At > w.ClientDisconnectedAt+disconnectNoticeTime {
		broken = append(broken, Violation{Rule: ruleDeadlines, Reason: ClientDisconnected})
	}
	if w.ClientDeadline > 0 && w.At > w.ClientDeadline+maxPause {
		broken = append(broken, Violation{Rule: ruleDeadlines, Reason: DeadlinePassed})
	}
	if w.DedupWindowEnd > 0 && w.At > w.DedupWindowEnd+maxPause {
		broken = append(broken, Violation{Rule: ruleNoDuplicates, Reason: DedupWindowPassed})
	}
	if w.DrainingSince > 0 && w.At > w.DrainingSince+w.DrainGrace {
		broken = append(broken, Violation{Rule: ruleDraining, Reason: EngineDraining})
	}
	return broken
}

// Responded describes a final response, or the first piece of one.
type Responded struct {
	At    float64
	DueBy float64 // 0 = no deadline
}

// Violations returns the rules that the response broke.
func (r Responded) Violations() []Violation {
	if r.DueBy > 0 && r.At > r.DueBy+responseLostAfter {
		return []Violation{{Rule: ruleDeadlines, Reason: DeadlinePassed}}
	}
	return nil
}

// Closed describes a client connection that the node has closed.
type Closed struct {
	Unanswered         bool // a request was read on it and has no response
	ClientDisconnected bool
}

// Violations returns the rules that the close broke.
func (c Closed) Violations() []Violation {
	if c.Unanswered && !c.ClientDisconnected {
		return []Violation{{Rule: ruleDeadlines, Reason: Unanswered}}
	}
	return nil
}

// HeldState describes a state that an engine holds with no attempt in flight, after a call that was to release it.
type HeldState struct {
	Answered bool // an engine has acknowledged the call
	At       float64
	By       float64 // latest time at which the state may be held: its limit plus HeldStateSlack
}

// HeldStateSlack is how long a state may still be held beyond its limit (s).
const HeldStateSlack = 0.3

// Violations returns the rules that the state breaks.
func (h HeldState) Violations() []Violation {
	if h.At > h.By || !h.Answered && h.At == h.By {
		return []Violation{{Rule: ruleStateRelease, Reason: StateNotReleased}}
	}
	return nil
}
