package front

import (
	"encoding/json"
	"math"
	"strconv"

	"dillroute/internal/http1"
)

// types names the published error type that goes with a status.
func errorType(status int) string {
	switch {
	case status == 401:
		return "authentication_error"
	case status == 429:
		return "rate_limit_error"
	case status >= 500:
		return "server_error"
	}
	return "invalid_request_error"
}

// ErrorJSON is the body of an error answer, and the data of an error event.
func ErrorJSON(status int, code, param, message string) []byte {
	e := ErrorBody{Message: message, Type: errorType(status), Code: code}
	if param != "" {
		e.Param = &param
	}
	b, _ := json.Marshal(map[string]ErrorBody{"error": e}) // strings always encode
	return b
}

// JSONType is the content type of whole answers.
var JSONType = http1.Field{Name: "Content-Type", Value: "application/json"}

// RetryFields tell published clients whether to come again, and when (s; 0 = no advice).
func RetryFields(retry bool, after float64) []http1.Field {
	fields := []http1.Field{{Name: "X-Should-Retry", Value: strconv.FormatBool(retry)}}
	if retry && after > 0 {
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(after)))},
			http1.Field{Name: "Retry-After-Ms", Value: strconv.Itoa(int(math.Ceil(after * 1000)))})
	}
	return fields
}
