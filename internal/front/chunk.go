package front

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Chunk is what the node reads of an event of a streamed response.
type Chunk struct {
	Token bool // it holds output
	Done  bool // the end mark [DONE]
	Err   *ErrorBody
}

// ErrorBody is the error object of the API.
type ErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

var doneMark = []byte("[DONE]")

// ReadChunk reads the data of an event. An error means that it is no chunk of a chat response.
func ReadChunk(data []byte) (Chunk, error) {
	if bytes.Equal(data, doneMark) {
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
		json.Unmarshal(c.Error, e) // an error of another shape still is one
		return Chunk{Err: e}, nil
	}
	if c.Choices == nil {
		return Chunk{}, fmt.Errorf("event has no choices")
	}
	k := Chunk{}
	for _, choice := range c.Choices {
		k.Token = k.Token || choice.Finish != nil
		for name, v := range choice.Delta {
			k.Token = k.Token || name != "role" && string(v) != `""` && string(v) != "null"
		}
	}
	return k, nil
}

// errorMember begins an error in a chunk. Within a string its quotes would be escaped.
var errorMember = []byte(`"error"`)

// InspectEvent looks at an event of a running stream without parsing it. end tells that it is the end mark; read, that it has to be
// parsed, since it may hold an error or is no object.
func InspectEvent(data []byte) (end, read bool) {
	if bytes.Equal(data, doneMark) {
		return true, false
	}
	n := len(data)
	return false, n < 2 || data[0] != '{' || data[n-1] != '}' || bytes.Contains(data, errorMember)
}
