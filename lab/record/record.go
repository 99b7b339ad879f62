// Package record keeps what passed on the sockets of a run, as clients, engines and list sources saw it. The rule
// checker judges by nothing else.
package record

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind names what was seen.
type Kind string

// What clients see.
const (
	RequestSent        Kind = "ask"    // a request was sent whole
	FirstToken         Kind = "first"  // the first piece of an answer came
	FinalResponse      Kind = "answer" // the answer ended; Outcome says how
	ClientDisconnected Kind = "hangup" // the client left by its own choice
	// ExtraResponse is a second final answer, or anything after the final one.
	ExtraResponse Kind = "more"
)

// What engines see.
const (
	Arrive          Kind = "arrive"    // a whole request came in
	AttemptRejected Kind = "turned"    // it was turned away
	Run             Kind = "run"       // its effect began: the answer is being made
	AttemptEnded    Kind = "end"       // the attempt ended at the engine
	StateReserved   Kind = "parsed"    // a state waits from now on
	StateEnded      Kind = "state_end" // it was fetched, released, or lost
	EngineStarted   Kind = "boot"      // the engine started, cold if Tokens is 1
	EngineStopped   Kind = "died"
)

// What the source of the list and the keeper of the nodes see.
const (
	ListDelivered Kind = "told" // a node was given a list that says State of Engine
	NodeStarted   Kind = "node_up"
	NodeKilled    Kind = "node_kill"
	// RecordEnded ends the record: until then things were watched.
	RecordEnded Kind = "close"
)

// Outcome says how an answer ended for the client.
type Outcome string

// Outcomes.
const (
	Served      Outcome = "served"
	Rejected    Outcome = "refused" // with the word that a retry is harmless
	Failed      Outcome = "failed"
	Cut         Outcome = "cut"     // the connection broke without a final answer
	Unreachable Outcome = "unmet"   // the node could not be reached
	TimedOut    Outcome = "overdue" // nothing came in time
)

// Record is one thing seen. Which fields are set depends on Kind.
type Record struct {
	T          float64 // Unix seconds
	Kind       Kind
	Op         string // what the user wants done; its tries share it
	Try        int
	Class      string
	Tenant     string
	Node       string
	Engine     string
	State      string // id of a state, or the state of an engine in a list
	Outcome    Outcome
	Tokens     float64 // of the prompt, or of the answer made
	Work       float64 // Arrive: tokens to be read, or to be made
	StatedTime float64 // Arrive: for how long its client waits, as the engine was told (s); 0 = it was not
	Note       string
	OK         bool // Answer: the text is what it should be
}

// Log keeps records, or hands them on as they come. It is safe for concurrent use.
type Log struct {
	// Sink gets each record in place of its being kept, one at a time. It must not call the log.
	Sink func(Record)

	mu      sync.Mutex
	records []Record
	count   int
}

// Now is the time as records have it.
func Now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// Add files a record, at the present time if it has none.
func (l *Log) Add(r Record) {
	if l == nil {
		return
	}
	if r.T == 0 {
		r.T = Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.count++
	if l.Sink != nil {
		l.Sink(r)
		return
	}
	l.records = append(l.records, r)
}

// Hold runs f while no record is taken, so that it may look at what the Sink has made.
func (l *Log) Hold(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Len returns how many records came.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// All returns the records that are kept, in order of time.
func (l *Log) All() []Record {
	l.mu.Lock()
	rs := slices.Clone(l.records)
	l.mu.Unlock()
	slices.SortStableFunc(rs, func(a, b Record) int { return cmp.Compare(a.T, b.T) })
	return rs
}
