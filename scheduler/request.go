package scheduler

// stage is the processing stage of a request.
type stage int

// Stages of a request. An attempt is in flight only in stagePrefilling, stageDecoding and stageStreaming.
const (
	stageQueued     stage = iota // not prefilled; waits for admission
	stagePrefilling              // an attempt is in flight at a prefill engine
	stagePrefilled               // its state waits at a prefill engine
	stageDecoding                // an attempt is in flight at a decode or mixed engine, before its first token
	stageStreaming               // the response streams
)

func (s stage) String() string {
	return enumName(int(s), "queued", "prefilling", "prefilled", "decoding", "streaming")
}

// request is an open request, or one that has ended while its attempt is still in flight.
type request struct {
	Request
	class *Class

	arrived          float64
	firstTokenDue    float64 // when the first token is due by the latency objective
	deadline         float64 // when the client's timeout ends
	finalResponseDue float64 // when the final response must be given

	overQuota bool // exceeds its tenant's quota
	lowTier   bool // can no longer meet its first-token objective
	done      bool // has its final response, or its client has disconnected
	stage     stage

	attemptsSent     int
	exemptAttempts   int             // attempts in attemptsSent that don't count towards MaxAttempts
	inFlight         *attempt        // nil if there is none
	possibleEffect   *possibleEffect // nil while no attempt can have run
	lastFailedEngine *engine         // engine of its latest failed attempt, or of a later rejection despite spare capacity

	prefillEngine *engine        // engine of its latest prefill attempt
	decodeEngine  *engine        // engine to which it is admitted for decoding; nil if there is none
	reserved      *reservedState // nil if no engine reserves a state or a slot for it
	prefill       prefillPrediction
	cachedTokens  float64 // predicted prefix tokens in the cache of its prefill engine
	stream        streamStart
}

// attempt is an attempt that is in flight.
type attempt struct {
	number           int
	engine           *engine
	sentAt           float64
	predictedSeconds float64 // predicted time to its outcome or first token
	cancelRequested  bool
	usesReservation  bool    // uses a state or a slot that was reserved for the request when the attempt was sent
	stateReleased    bool    // that state was released during the attempt
	roleChanged      bool    // the endpoint list has changed the role of its engine during the prefill
	overtakenBy      int     // number of attempts that were sent to its engine later and answered earlier
	transferTokens   float64 // tokens of its state in transit on the link out of the prefill engine's cell; 0 = none
}

// possibleEffect is the first attempt of a request that may have run. Each later attempt may have a second effect.
type possibleEffect struct {
	sentAt float64
	engine *engine
}

// reservedState is a prefilled state, or a slot at a decode engine, that an engine reserves for a request until its release.
type reservedState struct {
	since float64 // start of its time limit
}

// streamStart is the start of a request's latest stream; startedAt is 0 until one has started.
type streamStart struct {
	startedAt   float64
	concurrency float64 // estimated streams at the engine at that time
}

// hasInFlight reports whether the attempt with that number is in flight.
func (req *request) hasInFlight(number int) bool {
	return req.inFlight != nil && req.inFlight.number == number
}

// prefillsWithDecode reports whether the request's attempt in flight prefills and decodes at one engine.
func (req *request) prefillsWithDecode() bool {
	return req.stage == stageDecoding && !req.inFlight.usesReservation
}

// without returns the requests except removed. It leaves the given slice unchanged.
func without(requests []*request, removed *request) []*request {
	for i, req := range requests {
		if req == removed {
			return append(requests[:i:i], requests[i+1:]...)
		}
	}
	return requests
}
