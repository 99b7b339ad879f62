package front

import (
	"encoding/json"
	"math"
	"strconv"

	"dillroute/internal/http1"
)

// errorType returns the API's error type for a status.
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

// ErrorJSON returns the body of an error response, which is also the data of an error event.
func ErrorJSON(status int, code, param, message string) []byte {
	e := ErrorBody{Message: message, Type: errorType(status), Code: code}
	if param != "" {
		e.Param = &param
	}
	b, _ := json.Marshal(map[string]ErrorBody{"error": e}) // strings always encode
	return b
}

// JSONType is the Content-Type field of responses that are not streamed.
var JSONType = http1.Field{Name: "Content-Type", Value: "application/json"}

// RetryFields returns the header fields that tell client libraries whether to retry, and after how many seconds; 0 = not stated.
func RetryFields(retry bool, after float64) []http1.Field {
	fields := []http1.Field{{Name: "X-Should-Retry", Value: strconv.FormatBool(retry)}}
	if retry && after > 0 {
		fields = append(fields, http1.Field{Name: "Retry-After", Value: strconv.Itoa(int(math.Ceil(after)))},
			http1.Field{Name: "Retry-After-Ms", Value: strconv.Itoa(int(math.Ceil(after * 1000)))})
	}
	return fields
}
