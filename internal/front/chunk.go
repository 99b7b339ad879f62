package front

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Chunk holds the parts of an event of a streamed response that the node reads.
type Chunk struct {
	Token bool       // the event holds output
	Done  bool       // the event is the end marker [DONE]
	Err   *ErrorBody // nil = the event holds no error
}

// ErrorBody is the error object of the API.
type ErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

var doneMarker = []byte("[DONE]")

// ReadChunk parses the data of an event. An error means that the data is not a chunk of a chat response.
func ReadChunk(data []byte) (Chunk, error) {
	if bytes.Equal(data, doneMarker) {
		return Chunk{Done: true}, nil
	}
	var c struct {
		Error   json.RawMessage `json:"error"`
		Choices []struct {
			Delta  map[string]json.RawMessage `json:"delta"`
			Finish *string                    `json:"finish_reason"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return Chunk{}, fmt.Errorf("event is not a chunk: %v", err)
	}
	if len(c.Error) > 0 && string(c.Error) != "null" {
		e := &ErrorBody{Message: truncate(string(c.Error))}
		json.Unmarshal(c.Error, e) // an error in another format still counts as one
		return Chunk{Err: e}, nil
	}
	if c.Choices == nil {
		return Chunk{}, fmt.Errorf("event has no choices")
	}
	chunk := Chunk{}
	for _, choice := range c.Choices {
		chunk.Token = chunk.Token || choice.Finish != nil
		for name, v := range choice.Delta {
			chunk.Token = chunk.Token || name != "role" && string(v) != `""` && string(v) != "null"
		}
	}
	return chunk, nil
}

// errorMember is the quoted name of the error member in a chunk. Inside a string value its quotes would be escaped.
var errorMember = []byte(`"error"`)

// InspectEvent checks an event of a running stream without parsing it. end reports whether the event is the end marker; mustParse
// reports whether it has to be parsed, because it may hold an error or is not an object.
func InspectEvent(data []byte) (end, mustParse bool) {
	if bytes.Equal(data, doneMarker) {
		return true, false
	}
	n := len(data)
	return false, n < 2 || data[0] != '{' || data[n-1] != '}' || bytes.Contains(data, errorMember)
}
