package engine

import (
	"encoding/json"

	"dillroute/internal/decide/outcome"
	"dillroute/internal/http1"
)

// Error codes with which an engine responds if the state to fetch does not exist, or if the request names no state.
const (
	codeStateNotFound = "kv_state_not_found"
	codeStateRequired = "kv_state_required"
)

// responseKind classifies a response that is not a success. The statuses of an invalid request are those of RFC 9110, section 15.5,
// that concern the request and not the server.
func responseKind(status int, code string) outcome.ResponseKind {
	if code == codeStateNotFound || code == codeStateRequired {
		return outcome.StateMissing
	}
	switch status {
	case 429, 503:
		return outcome.EngineRejected
	case 400, 404, 405, 411, 413, 414, 415, 422, 431:
		return outcome.InvalidRequest
	}
	return outcome.EngineError
}

// readCompleteResponse reads a response that is not streamed: that of a prefill, or an error, whose body, status and kind it records in
// result.
func (a *Attempt) readCompleteResponse(conn *http1.ClientConn, response *http1.Response, result *Result) {
	body, err := response.ReadAll(maxResponse)
	a.Detach()
	if err != nil {
		conn.Close()
		result.Err, result.Evidence.Cause = err, a.CauseOf(err, outcome.AttemptTimedOut)
		return
	}
	if response.Status == 200 {
		readPrefillResponse(body, result)
	}
	conn.CompletedPrefill = conn.CompletedPrefill || result.Evidence.ResponseKind == outcome.PrefillDone
	a.Client.Pool.PutAfter(conn, response)
	if response.Status != 200 {
		var e struct {
			Error struct {
				Code string `json:"code"`
			} `json:"error"`
		}
		json.Unmarshal(body, &e) // an error in another format has no code
		result.ErrorBody = body
		result.Evidence.ResponseKind, result.Evidence.Code = responseKind(response.Status, e.Error.Code), response.Status
	}
}
