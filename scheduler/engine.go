package scheduler

// roles is the number of roles, for arrays that are indexed by Role.
const roles = 3

// engine is the state of one engine in the scheduler's view.
type engine struct {
	Engine
	role         Role
	memory       float64 // tokens; 0 = unknown
	ringPosition float64 // in an engineSet
	discoveredAt float64 // when the engine was first listed since its latest start

	prefills []*request // requests with a prefill attempt in flight here
	admitted []*request // requests admitted here for decoding, until their stream ends

	prefillWait       decayingMean // seconds that a prefill takes beyond what the load from this node explains
	firstTokenLatency decayingMean // seconds from the send of a decode attempt to its first token
	prefixHitRate     decayingMean // share of a shared prefix that is found cached
	affinityWeight    float64
	rendezvousScore   float64 // score in the latest call of orderByRendezvous
	curve             uslCurve

	report     LoadReport
	reportedAt float64
	hasReport  bool

	failureScore     float64
	ejectionDuration float64 // seconds of the latest ejection; 0 once the engine is no longer on probation
	ejectedUntil     float64
	fullUntil        float64 // when it stops counting as full after a rejection
	lastSuccess      float64
	probeInFlight    bool

	slowStartSends []slowStartSend
}

// kindStats pools the statistics of all engines of one kind.
type kindStats struct {
	prefillTime       linearFit // seconds of a prefill as a function of its load in tokens
	prefillWait       decayingMean
	prefixHitRate     decayingMean
	firstTokenLatency decayingMean
	reportedStreams   decayingMean
	reportedMemory    decayingMean // share of memory in use
	curve             uslCurve
}

// classStats holds statistics of the requests of one class.
type classStats struct {
	promptTokens decayingMean
	streamTimes  []float64 // durations of the latest streams in seconds, scaled to the speed of a lone stream
	outputShare  float64   // mean ratio of a response's length to its token limit; 0 = not yet known
}
