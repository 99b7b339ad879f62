package outcome

import "dillroute/scheduler"

// Response is a final response that the node itself gives to a client.
type Response struct {
	HTTPStatus  int
	Code        string
	RetryIsSafe bool // the response promises that a retry cannot make an effect happen twice
}

// RejectedResponse returns the response to a request that no engine could serve before its client's deadline.
func RejectedResponse() Response {
	return Response{HTTPStatus: 503, Code: "no_capacity", RetryIsSafe: true}
}

// FailedResponse returns the response to a request that may have run; it does not promise that a retry is safe.
func FailedResponse() Response {
	return Response{HTTPStatus: 500, Code: "may_have_run"}
}

// StreamBrokenResponse returns the response for a stream that ended before it was complete.
func StreamBrokenResponse(effect scheduler.Effect, scope scheduler.DedupScope) Response {
	return Response{HTTPStatus: 502, Code: "stream_broken", RetryIsSafe: RepeatAllowed(effect, scope, true)}
}

// DeadlineResponse returns the response if one that is not streamed is still incomplete at its client's deadline.
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
