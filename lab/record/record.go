// Package record stores the events of a run's sockets, as clients, engines and discovery sources observed them. The rule checker
// (lab/rules) uses no other data.
package record

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Kind is the type of an event.
type Kind string

// Events observed by clients.
const (
	// RequestSent is a complete request of a client.
	RequestSent Kind = "ask"
	// FirstToken is the arrival of a response's first token.
	FirstToken Kind = "first"
	// FinalResponse is the end of a response; Outcome classifies it.
	FinalResponse Kind = "answer"
	// ClientDisconnected is a disconnect initiated by the client.
	ClientDisconnected Kind = "hangup"
	// ExtraResponse is a second final response, or any other data after the first. The engines of lab/platform also record a request
	// whose id no client sent as an ExtraResponse.
	ExtraResponse Kind = "more"
)

// Events observed by engines.
const (
	// AttemptArrived is the arrival of an attempt whose request the engine has received completely.
	AttemptArrived Kind = "arrive"
	// AttemptRejected is an attempt that the engine rejected.
	AttemptRejected Kind = "turned"
	// EffectStarted is the start of an attempt's effect: the engine begins to generate the response.
	EffectStarted Kind = "run"
	// AttemptEnded is the end of an attempt at its engine.
	AttemptEnded Kind = "end"
	// StateReserved is the reservation of a prefilled state, which the engine stores until it is fetched, released or lost.
	StateReserved Kind = "parsed"
	// StateEnded is the end of a state: it was fetched, released or lost.
	StateEnded Kind = "state_end"
	// EngineStarted is the start of an engine, cold if Tokens is 1.
	EngineStarted Kind = "boot"
	// EngineStopped is the stop of an engine.
	EngineStopped Kind = "died"
)

// Events observed by the source of the endpoint list and by the launcher of the nodes.
const (
	// ListDelivered is the delivery of an endpoint list to a node; State is the state of Engine in the list.
	ListDelivered Kind = "told"
	// NodeStarted is a node that has become ready.
	NodeStarted Kind = "node_up"
	// NodeKilled is the kill of a node's process.
	NodeKilled Kind = "node_kill"
	// RecordEnded is the end of the recording; later events were not recorded.
	RecordEnded Kind = "close"
)

// Outcome classifies how a request ended for its client.
type Outcome string

// Outcomes of a request.
const (
	// Served is a complete response.
	Served Outcome = "served"
	// Rejected is a rejection that promises that a retry is harmless.
	Rejected Outcome = "refused"
	// Failed is an error response or an incomplete stream.
	Failed Outcome = "failed"
	// ConnectionLost is a connection that broke without a final response.
	ConnectionLost Outcome = "cut"
	// Unreachable is a node that accepted no connection.
	Unreachable Outcome = "unmet"
	// TimedOut is a request for which no first token arrived while its client waited.
	TimedOut Outcome = "overdue"
)

// Record is one event. Which fields are set depends on Kind.
type Record struct {
	T          float64 // time (Unix seconds)
	Kind       Kind
	Op         string // id of the operation: a unit of work requested by a user, including the client's retries
	Attempt    int    // number of the client's attempt, from 0
	Class      string
	Tenant     string
	Node       string
	Engine     string
	State      string // id of a state, or the state of an engine in an endpoint list
	Outcome    Outcome
	Tokens     float64 // number of tokens; RequestSent: the client's patience (s); EngineStarted: 1 = cold start
	Work       float64 // AttemptArrived: tokens of the prompt to process, or of the response to generate
	StatedTime float64 // AttemptArrived: the client's remaining time as stated to the engine (s); 0 = not stated
	Note       string
	OK         bool // FinalResponse: the text is correct
}

// Log collects records. It is safe for concurrent use. A nil Log discards them.
type Log struct {
	// Sink, if set, receives each record, one at a time, and the log stores none. It must not call the log.
	Sink func(Record)

	mu      sync.Mutex
	records []Record
	count   int
}

// Now returns the current time in the unit of records.
func Now() float64 { return float64(time.Now().UnixNano()) / 1e9 }

// Add adds a record. A record without a time gets the current time.
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

// WithLock runs f while no record is added, so that f may read data that the Sink writes.
func (l *Log) WithLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// Len returns the number of records added, including those passed to the Sink.
func (l *Log) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.count
}

// All returns the stored records, ordered by time.
func (l *Log) All() []Record {
	l.mu.Lock()
	records := slices.Clone(l.records)
	l.mu.Unlock()
	slices.SortStableFunc(records, func(a, b Record) int { return cmp.Compare(a.T, b.T) })
	return records
}

// ResponseLost is the note of a StateReserved record if the engine answered the prefill on a connection that no longer carries data. The
// attempt is in flight until its node closes that connection, which ends the attempt.
const ResponseLost = "response lost"

// StateFetched is the note of a StateEnded record if an attempt has fetched the state.
const StateFetched = "fetched"
