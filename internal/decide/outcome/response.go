package outcome

import "dillroute/scheduler"

// Response is a final response that the node itself gives to a client.
type Response struct {
	HTTPStatus  int
	Code        string
	RetryIsSafe bool // the response promises that a retry cannot make an effect happen twice
}

// RejectedResponse is given to a request that no engine could serve in time.
func RejectedResponse() Response {
	return Response{HTTPStatus: 503, Code: "no_capacity", RetryIsSafe: true}
}

// FailedResponse is given to a request that may have run; it does not promise that a retry is safe.
func FailedResponse() Response {
	return Response{HTTPStatus: 500, Code: "may_have_run"}
}

// StreamBrokenResponse is given if a stream ended before it was complete.
func StreamBrokenResponse(effect scheduler.Effect, scope scheduler.DedupScope) Response {
	return Response{HTTPStatus: 502, Code: "stream_broken", RetryIsSafe: RepeatAllowed(effect, scope, true)}
}

// DeadlineResponse is given if a response that is not streamed is incomplete at its client's deadline.
func DeadlineResponse(effect scheduler.Effect, scope scheduler.DedupScope) Response {
	return Response{HTTPStatus: 504, Code: "answer_too_slow", RetryIsSafe: RepeatAllowed(effect, scope, true)}
}

// RepeatAllowed reports whether a response may promise that a retry is safe (rule 2): always if nothing can have run, and
// otherwise if the request is idempotent or every engine of the fleet recognizes its idempotency key.
func RepeatAllowed(effect scheduler.Effect, scope scheduler.DedupScope, mayHaveRun bool) bool {
	switch {
	case !mayHaveRun, effect == scheduler.Idempotent:
		return true
	case effect == scheduler.IdempotentByKey:
		return scope == scheduler.DedupFleet
	}
	return false
}
