package scheduler

// roles is the number of roles, for arrays that are indexed by Role.
const roles = 3

// engine is what the scheduler knows of one engine.
type engine struct {
	Engine
	role         Role
	memory       float64 // tokens; 0 = unknown
	discoveredAt float64 // when this start of the engine was first listed

	prefills []*request // requests whose prefill attempt is in flight here
	admitted []*request // requests that are admitted here to decode, until their stream ends

	prefillWait       gauge // seconds that a prefill takes beyond what the work sent from here explains
	firstTokenLatency gauge // seconds from a decode attempt's send to its first token
	prefixHit         gauge // share of a shared prefix that was found cached
	affinityWeight    float64
	rendezvousScore   float64 // score in the latest rendezvous order
	curve             uslCurve

	report    LoadReport
	reportAt  float64
	hasReport bool

	failureScore  float64
	ejectionTime  float64 // seconds of the latest ejection; doubles from one to the next
	ejectedUntil  float64
	fullUntil     float64 // until when it counts as full after a rejection
	lastSuccess   float64
	probeInFlight bool

	slowStartSends []slowStartSend
}

// kindStats pools what engines of one kind have shown.
type kindStats struct {
	prefillTime       linearFit // seconds of a prefill against its load in tokens
	prefillWait       gauge
	prefixHit         gauge
	firstTokenLatency gauge
	reportedStreams   gauge
	reportedMemory    gauge // share of memory that is taken
	curve             uslCurve
}

// classStats is what was learned of a class's requests.
type classStats struct {
	promptTokens gauge
	streamTimes  []float64 // seconds of the latest streams, scaled to the speed of a lone stream
	outputShare  float64   // mean share of its token limit that an answer has; 0 = not yet learned
}
