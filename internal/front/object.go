// Package front reads and writes the JSON of the OpenAI-style API: the members of a request by which the node routes, the bodies that
// are sent to engines, chunks, errors and model lists. Members of a request that it does not know are forwarded byte for byte as the
// client wrote them. internal/openai and internal/engine use it.
package front

import (
	"bytes"
	"encoding/json"
	"fmt"
)

// Object is a JSON object whose members stay in order and unparsed.
type Object struct {
	names  []string
	values map[string]json.RawMessage
}

// ParseObject parses an object. A duplicate member is an error: an engine might read the other one.
func ParseObject(body []byte) (*Object, error) {
	dec := json.NewDecoder(bytes.NewReader(body))
	tok, err := dec.Token()
	if err != nil {
		return nil, syntaxError(err, dec)
	}
	if tok != json.Delim('{') {
		return nil, fmt.Errorf("the body is not a JSON object")
	}
	o := &Object{values: map[string]json.RawMessage{}}
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return nil, syntaxError(err, dec)
		}
		name := tok.(string) // the decoder allows no other token here
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return nil, syntaxError(err, dec)
		}
		if _, duplicate := o.values[name]; duplicate {
			return nil, fmt.Errorf("member %q is given twice", name)
		}
		o.names = append(o.names, name)
		o.values[name] = raw
	}
	if _, err := dec.Token(); err != nil {
		return nil, syntaxError(err, dec)
	}
	if dec.More() {
		return nil, fmt.Errorf("something follows the object at byte %d", dec.InputOffset())
	}
	return o, nil
}

func syntaxError(err error, dec *json.Decoder) error {
	return fmt.Errorf("not valid JSON near byte %d: %v", dec.InputOffset(), err)
}

// Get returns a member as it was written, or nil if it is absent or null.
func (o *Object) Get(name string) json.RawMessage {
	if v := o.values[name]; string(v) != "null" {
		return v
	}
	return nil
}

// With returns a copy with the given members set; a nil value removes the member.
func (o *Object) With(set ...Member) *Object {
	c := &Object{names: append([]string(nil), o.names...), values: make(map[string]json.RawMessage, len(o.values)+len(set))}
	for k, v := range o.values {
		c.values[k] = v
	}
	for _, m := range set {
		_, exists := c.values[m.Name]
		switch {
		case m.Value == nil:
			delete(c.values, m.Name)
		case !exists:
			c.names = append(c.names, m.Name)
			fallthrough
		default:
			c.values[m.Name] = m.Value
		}
	}
	return c
}

// Member is a member of an Object.
type Member struct {
	Name  string
	Value json.RawMessage
}

// Bytes returns the object as JSON.
func (o *Object) Bytes() []byte {
	b := []byte{'{'}
	for _, name := range o.names {
		v, ok := o.values[name]
		if !ok {
			continue
		}
		if len(b) > 1 {
			b = append(b, ',')
		}
		key, _ := json.Marshal(name) // a string always encodes
		b = append(append(append(b, key...), ':'), v...)
	}
	return append(b, '}')
}
