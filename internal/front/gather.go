package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// Chunk is what the node reads of an event of an answer.
type Chunk struct {
	Token bool // it holds the first, or another, piece of the answer
	Done  bool // the mark of the end
	Err   *ErrorBody
}

// ErrorBody is the published shape of an error.
type ErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    string  `json:"code"`
}

var done = []byte("[DONE]")

// ReadChunk looks at the data of an event. An error means that it is no chunk of a chat answer.
func ReadChunk(data []byte) (Chunk, error) {
	if bytes.Equal(data, done) {
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
		e := &ErrorBody{Message: clip(string(c.Error))}
		json.Unmarshal(c.Error, e) // an error of another shape is still an error
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

// errorMember is how an error begins in a chunk. Within a text its quotes would be escaped.
var errorMember = []byte(`"error"`)

// PassChunk looks at an event of a running stream without reading it: is it the mark of the end, or has it to be
// read because it may tell of an error, or is no object.
func PassChunk(data []byte) (end, read bool) {
	if bytes.Equal(data, done) {
		return true, false
	}
	n := len(data)
	return false, n < 2 || data[0] != '{' || data[n-1] != '}' || bytes.Contains(data, errorMember)
}

// Gather puts the chunks of a stream together as the whole answer that the client asked for: texts are joined,
// lists merged by their index, and whatever else comes is kept as it came last.
type Gather struct {
	head    map[string]any
	choices map[int]map[string]any
	size    int
	max     int
}

// NewGather returns a Gather that takes at most max bytes of chunks.
func NewGather(max int) *Gather { return &Gather{choices: map[int]map[string]any{}, max: max} }

// Add takes the data of one chunk.
func (g *Gather) Add(data []byte) error {
	if g.size += len(data); g.size > g.max {
		return fmt.Errorf("answer exceeds %d bytes", g.max)
	}
	var c map[string]any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&c); err != nil {
		return err
	}
	choices, _ := c["choices"].([]any)
	delete(c, "choices")
	if g.head == nil {
		g.head = map[string]any{}
	}
	for k, v := range c {
		if _, had := g.head[k]; !had || v != nil {
			g.head[k] = v
		}
	}
	for _, x := range choices {
		choice, ok := x.(map[string]any)
		if !ok {
			return fmt.Errorf("choice is not an object")
		}
		i := index(choice)
		if g.choices[i] == nil {
			g.choices[i] = map[string]any{"index": json.Number(fmt.Sprint(i))}
		}
		if delta, ok := choice["delta"].(map[string]any); ok {
			choice["message"] = delta
		}
		delete(choice, "delta")
		delete(choice, "index")
		merge(g.choices[i], choice)
	}
	return nil
}

func index(x map[string]any) int {
	n, _ := x["index"].(json.Number)
	i, _ := n.Int64()
	return int(i)
}

// merge adds to into what one more piece holds.
func merge(into, piece map[string]any) {
	for k, v := range piece {
		old, had := into[k]
		switch v := v.(type) {
		case string:
			if s, ok := old.(string); ok && k != "role" && k != "id" && k != "type" && k != "finish_reason" {
				into[k] = s + v
			} else {
				into[k] = v
			}
		case map[string]any:
			m, ok := old.(map[string]any)
			if !ok {
				m = map[string]any{}
				into[k] = m
			}
			merge(m, v)
		case []any:
			list, _ := old.([]any)
			into[k] = mergeList(list, v)
		default:
			if !had || v != nil {
				into[k] = v
			}
		}
	}
}

// mergeList joins elements that carry an index (tool calls) and appends the others (log probabilities).
func mergeList(list, more []any) []any {
	for _, x := range more {
		m, ok := x.(map[string]any)
		if !ok || m["index"] == nil {
			list = append(list, x)
			continue
		}
		at := slices.IndexFunc(list, func(y any) bool {
			o, ok := y.(map[string]any)
			return ok && o["index"] == m["index"]
		})
		if at < 0 {
			list = append(list, map[string]any{})
			at = len(list) - 1
		}
		merge(list[at].(map[string]any), m)
	}
	return list
}

// Bytes writes the whole answer.
func (g *Gather) Bytes() ([]byte, error) {
	out := map[string]any{}
	for k, v := range g.head {
		out[k] = v
	}
	out["object"] = "chat.completion"
	choices := []any{}
	for i := range len(g.choices) {
		c, ok := g.choices[i]
		if !ok {
			return nil, fmt.Errorf("choice %d is missing", i)
		}
		if m, ok := c["message"].(map[string]any); ok {
			dropIndexes(m)
			if _, ok := m["content"]; !ok {
				m["content"] = nil
			}
		}
		choices = append(choices, c)
	}
	out["choices"] = choices
	return json.Marshal(out)
}

// dropIndexes takes the marks of streaming off tool calls.
func dropIndexes(m map[string]any) {
	calls, _ := m["tool_calls"].([]any)
	for _, c := range calls {
		if call, ok := c.(map[string]any); ok {
			delete(call, "index")
		}
	}
}
