package benchwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxQuotedChars is the number of bytes of input that an error message quotes at most.
const maxQuotedChars = 60

// Whether a field must be there.
const (
	required = true
	optional = false
)

// record is one line, split into its fields. It keeps the first error that is met while its fields are read.
type record struct {
	line   int
	name   string
	fields map[string]string
	err    error
}

func parseRecord(text string, line int) (*record, error) {
	name, rest, _ := strings.Cut(text, "\t")
	r := &record{line: line, name: name, fields: map[string]string{}}
	for rest != "" {
		part, more, _ := strings.Cut(rest, "\t")
		key, value, ok := strings.Cut(part, "=")
		if !ok {
			return nil, fmt.Errorf("line %d: %s: part %q has no '='", line, name, clip(part))
		}
		if key == "facts" || key == "body_text" { // these texts extend to the end of the line
			_, value, _ = strings.Cut(rest, "=")
			more = ""
		}
		r.fields[key] = value
		rest = more
	}
	return r, nil
}

// clip shortens input for an error message.
func clip(text string) string {
	if len(text) > maxQuotedChars {
		return text[:maxQuotedChars] + "..."
	}
	return text
}

// fail keeps the error of a field, unless there is one already.
func (r *record) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("line %d: %s: field %s: %s", r.line, r.name, field, fmt.Sprintf(format, args...))
	}
}

// text returns a field that must be there and not be empty.
func (r *record) text(field string) string {
	value := r.fields[field]
	if value == "" {
		r.fail(field, "missing")
	}
	return value
}

// number returns a finite number, or 0 where an optional field is missing.
func (r *record) number(field string, must bool) float64 {
	value, ok := r.fields[field]
	if !ok {
		if must {
			r.fail(field, "missing")
		}
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) || math.IsInf(number, 0) {
		r.fail(field, "%q is not a number", clip(value))
	}
	return number
}

// integer returns a whole number of at least 0, or 0 where an optional field is missing.
func (r *record) integer(field string, must bool) int {
	value, ok := r.fields[field]
	if !ok {
		if must {
			r.fail(field, "missing")
		}
		return 0
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		r.fail(field, "%q is not a whole number", clip(value))
	}
	return int(number)
}

// index returns a whole number below n.
func (r *record) index(field string, n int) int {
	index := r.integer(field, optional)
	if r.err == nil && index >= n {
		r.fail(field, "%d is out of range, there are %d", index, n)
	}
	return index
}

// amount returns a number of at least 0.
func (r *record) amount(field string) float64 {
	amount := r.number(field, optional)
	if amount < 0 {
		r.fail(field, "%g is negative", amount)
	}
	return amount
}

// flag returns whether a field is 1; it may be missing, empty or 0 otherwise.
func (r *record) flag(field string) bool {
	switch r.fields[field] {
	case "", "0":
		return false
	case "1":
		return true
	}
	r.fail(field, "%q is not 0 or 1", clip(r.fields[field]))
	return false
}

// lookup returns what a field's word stands for.
func lookup[T any](r *record, field string, words map[string]T) T {
	value, ok := words[r.fields[field]]
	if !ok {
		r.fail(field, "unknown word %q", clip(r.fields[field]))
	}
	return value
}
