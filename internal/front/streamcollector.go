package front

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// StreamCollector combines the chunks of a stream into the complete response that the client requested: strings are concatenated, lists
// are merged by index, and any other member has its last value.
type StreamCollector struct {
	topLevel map[string]any
	choices  map[int]map[string]any
	size     int // bytes of chunks so far
	max      int // limit of size
}

// NewStreamCollector returns a StreamCollector that accepts at most max bytes of chunks.
func NewStreamCollector(max int) *StreamCollector {
	return &StreamCollector{choices: map[int]map[string]any{}, max: max}
}

// Add adds the data of one chunk.
func (collector *StreamCollector) Add(data []byte) error {
	if collector.size += len(data); collector.size > collector.max {
		return fmt.Errorf("response exceeds %d bytes", collector.max)
	}
	var c map[string]any
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	if err := dec.Decode(&c); err != nil {
		return err
	}
	choices, _ := c["choices"].([]any)
	delete(c, "choices")
	if collector.topLevel == nil {
		collector.topLevel = map[string]any{}
	}
	for k, v := range c {
		if _, exists := collector.topLevel[k]; !exists || v != nil {
			collector.topLevel[k] = v
		}
	}
	for _, x := range choices {
		choice, ok := x.(map[string]any)
		if !ok {
			return fmt.Errorf("choice is not an object")
		}
		i := choiceIndex(choice)
		if collector.choices[i] == nil {
			collector.choices[i] = map[string]any{"index": json.Number(fmt.Sprint(i))}
		}
		if delta, ok := choice["delta"].(map[string]any); ok {
			choice["message"] = delta
		}
		delete(choice, "delta")
		delete(choice, "index")
		merge(collector.choices[i], choice)
	}
	return nil
}

func choiceIndex(x map[string]any) int {
	n, _ := x["index"].(json.Number)
	i, _ := n.Int64()
	return int(i)
}

// merge merges the members of a chunk's object, piece, into the collected object, into.
func merge(into, piece map[string]any) {
	for k, v := range piece {
		old, exists := into[k]
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
			if !exists || v != nil {
				into[k] = v
			}
		}
	}
}

// mergeList merges elements that have an index (tool calls) and appends the others (log probabilities).
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

// Bytes returns the complete response as JSON.
func (collector *StreamCollector) Bytes() ([]byte, error) {
	out := map[string]any{}
	for k, v := range collector.topLevel {
		out[k] = v
	}
	out["object"] = "chat.completion"
	choices := []any{}
	for i := range len(collector.choices) {
		c, ok := collector.choices[i]
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

// dropIndexes removes the index members from tool calls, because only streams have them.
func dropIndexes(m map[string]any) {
	calls, _ := m["tool_calls"].([]any)
	for _, c := range calls {
		if call, ok := c.(map[string]any); ok {
			delete(call, "index")
		}
	}
}
