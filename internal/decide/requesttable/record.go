package requesttable

import (
	"slices"

	"dillroute/internal/decide/outcome"
	"dillroute/scheduler"
)

// requestRecord is one request, from AddRequest until it has ended and no attempt is in flight.
type requestRecord struct {
	class           *scheduler.Class
	addedAt         float64
	deadline        float64 // when the client stops waiting for the response to begin
	wholeResponseBy float64 // when a response that is not streamed must be complete; 0 = the response is streamed
	response        responseState

	attempts []attempt // those that were started, in the order of their numbers
	sends    int       // scheduler.Send actions so far, including those that were not allowed
	inFlight int       // attempts that have not ended

	evidence       attemptEvidence
	effect         *possibleEffect // nil = none of the ended attempts may have run
	state          heldState
	hold           holdTime
	deferred       deferredReleases
	lastUnanswered UnansweredAttempt // the latest attempt that ended without a response; zero once a response has begun

	// releaseDuringDecode is a release that was made at the limit while decode attempts were in flight. It may have freed nothing, because
	// such an attempt may have been waiting for the state. nil = there was none, an attempt has responded, or all of them have ended.
	releaseDuringDecode *ReleaseState

	pendingResponse *Respond // final response to issue once the streaming attempt has ended; nil = none
}

// responseState is the state of the response to a request.
type responseState int

// States of a response.
const (
	responseQueued          responseState = iota // no response has begun
	responseStreaming                            // one attempt writes its response to the client
	responseEnded                                // the request ended before the response of an attempt began
	responseEndedAfterStart                      // the request ended after the response of an attempt had begun
)

// started reports whether the response of an attempt has begun, also if the request has ended since.
func (s responseState) started() bool { return s == responseStreaming || s == responseEndedAfterStart }

// ended reports whether the client has its final response or has disconnected.
func (s responseState) ended() bool { return s == responseEnded || s == responseEndedAfterStart }

// open reports whether the request has not ended.
func (s responseState) open() bool { return !s.ended() }

// queued reports whether the request waits for its response to begin.
func (s responseState) queued() bool { return s == responseQueued }

// end returns the state after the end of the request.
func (s responseState) end() responseState {
	if s.started() {
		return responseEndedAfterStart
	}
	return responseEnded
}

// attempt is one attempt of a request.
type attempt struct {
	number       int // position among the scheduler.Send actions for this request, from 0
	engine       string
	stage        outcome.Stage
	sentAt       float64
	state        attemptState
	fetchesState bool
	stateAttempt int // number of the attempt whose state this one fetches
}

// attemptState is the state of an attempt.
type attemptState int

// States of an attempt.
const (
	attemptRunning         attemptState = iota // no token has been received
	attemptCanceling                           // canceled before the first token; its end has not been reported
	attemptStreaming                           // its response is passed to the client
	attemptCancelingStream                     // canceled while streaming; its end has not been reported
	attemptEnded
)

func (a *attempt) isInFlight() bool { return a.state != attemptEnded }
func (a *attempt) isStreaming() bool {
	return a.state == attemptStreaming || a.state == attemptCancelingStream
}
func (a *attempt) isCanceling() bool {
	return a.state == attemptCanceling || a.state == attemptCancelingStream
}

// markCanceling records the cancellation of an attempt in flight.
func (a *attempt) markCanceling() {
	if a.isStreaming() {
		a.state = attemptCancelingStream
	} else {
		a.state = attemptCanceling
	}
}

// fetches reports whether the attempt was started to fetch the state that the record holds.
func (a *attempt) fetches(state heldState) bool {
	return a.fetchesState && a.stateAttempt == state.attempt
}

// attemptEvidence summarizes what the ended attempts of a request prove.
type attemptEvidence struct {
	outcomeUnknown     bool // an attempt was written completely and ended without a response
	notRunUnproven     bool // for one attempt, the bytes exchanged do not prove that it has not run
	unsentAttempts     int  // attempts that ended before their request was written
	invalidRequestCode int  // code with which one engine has reported the request as invalid; 0 = none has
}

// possibleEffect is the first attempt that has ended and may have run.
type possibleEffect struct {
	engine string
	sentAt float64
}

// heldState is the state that a prefill left at its engine. The attempt number stays set after the state is gone, because it
// identifies the latest state.
type heldState struct {
	engine  string // "" = no state is held
	attempt int    // number of the prefill attempt that made the latest state
}

func (s *heldState) isHeld() bool { return s.engine != "" }
func (s *heldState) clear()       { s.engine = "" }

// holdTime holds the times from which the limit on held states (rule 5) is computed; see heldstate.go.
type holdTime struct {
	heldSince      float64 // start of the current period in which engines always hold, or may hold, a state; 0 = no state is held
	lastResponseAt float64 // when an engine last responded to an attempt of the request
	lastSendAt     float64 // when the latest attempt was started
	checkAt        float64 // time of the next CheckHeldState that has been issued; 0 = none is pending
	repeatAt       float64 // when releaseDuringDecode is repeated; 0 = its call has not been acknowledged, or there is none
}

// limitStart returns when the limit began to run (s). The limit starts again at each response, because only a response proves that
// its attempt reached a running engine. An attempt that was written and ended without a response may have reached no engine.
func (h *holdTime) limitStart() float64 { return max(h.heldSince, h.lastResponseAt) }

// deferredReleases are the releases that wait until no attempt is in flight and no state is needed
// (Config.ReleaseFreesAllStates); nil = none is deferred.
type deferredReleases struct {
	heldState          *ReleaseState // of a state that an engine holds
	interruptedAttempt *ReleaseState // of the state that an interrupted attempt may have left
}

// attempt returns the attempt with a number, or nil if it was never started.
func (r *requestRecord) attempt(number int) *attempt {
	for i := range r.attempts {
		if r.attempts[i].number == number {
			return &r.attempts[i]
		}
	}
	return nil
}

func (r *requestRecord) decodeInFlight() bool { return r.stageInFlight(outcome.Decode) }

func (r *requestRecord) prefillInFlight() bool { return r.stageInFlight(outcome.Prefill) }

// stageInFlight reports whether an attempt of a stage is in flight.
func (r *requestRecord) stageInFlight(stage outcome.Stage) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.isInFlight() && a.stage == stage })
}

// clearReleaseDuringDecode ends the repeats of a release that was made during decode attempts.
func (r *requestRecord) clearReleaseDuringDecode() {
	r.releaseDuringDecode = nil
	r.hold.repeatAt = 0
}

// streamingAttempt returns the attempt that streams to the client, or nil.
func (r *requestRecord) streamingAttempt() *attempt {
	for i := range r.attempts {
		if r.attempts[i].isStreaming() {
			return &r.attempts[i]
		}
	}
	return nil
}

// possibleEffect returns the first attempt that may have run or may still run, or nil.
func (r *requestRecord) possibleEffect() *possibleEffect {
	if r.effect != nil {
		return r.effect
	}
	for i := range r.attempts {
		if a := &r.attempts[i]; a.isInFlight() {
			return &possibleEffect{engine: a.engine, sentAt: a.sentAt}
		}
	}
	return nil
}

// provenNotRun reports whether the bytes of every attempt prove that it has not run: it has ended, and either its request was
// not written completely or its engine responded that it did not run. Earlier responses of its engine are no such proof.
func (r *requestRecord) provenNotRun() bool {
	return r.effect == nil && !r.evidence.notRunUnproven && r.inFlight == 0
}
