package benchwire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// maxQuotedBytes is the maximum number of bytes of input that an error message quotes.
const maxQuotedBytes = 60

// Whether a field must be present.
const (
	required = true
	optional = false
)

// record is one line, split into its fields. It stores the first error that occurs when its fields are read.
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
			return nil, fmt.Errorf("line %d: %s: field %q has no '='", line, name, clip(part))
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
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}

// fail stores the error of a field, unless an earlier one is stored.
func (r *record) fail(field, format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("line %d: %s: field %s: %s", r.line, r.name, field, fmt.Sprintf(format, args...))
	}
}

// text returns the text of a required field, which must not be empty.
func (r *record) text(field string) string {
	value := r.fields[field]
	if value == "" {
		r.fail(field, "missing")
	}
	return value
}

// number returns the finite number in a field, or 0 if an optional field is missing.
func (r *record) number(field string, mustExist bool) float64 {
	value, ok := r.fields[field]
	if !ok {
		if mustExist {
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

// integer returns the non-negative integer in a field, or 0 if an optional field is missing.
func (r *record) integer(field string, mustExist bool) int {
	value, ok := r.fields[field]
	if !ok {
		if mustExist {
			r.fail(field, "missing")
		}
		return 0
	}
	number, err := strconv.ParseInt(value, 10, 64)
	if err != nil || number < 0 {
		r.fail(field, "%q is not a non-negative integer", clip(value))
	}
	return int(number)
}

// index returns the integer in an optional field, which must be from 0 to n-1, or 0 if the field is missing.
func (r *record) index(field string, n int) int {
	index := r.integer(field, optional)
	if r.err == nil && index >= n {
		r.fail(field, "index %d is out of range, there are %d", index, n)
	}
	return index
}

// amount returns the non-negative number in an optional field, or 0 if the field is missing.
func (r *record) amount(field string) float64 {
	amount := r.number(field, optional)
	if amount < 0 {
		r.fail(field, "%g is negative", amount)
	}
	return amount
}

// flag reports whether a field is 1. Otherwise it must be 0, empty or missing.
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

// lookup returns the value that the word in a field stands for.
func lookup[T any](r *record, field string, words map[string]T) T {
	value, ok := words[r.fields[field]]
	if !ok {
		r.fail(field, "unknown value %q", clip(r.fields[field]))
	}
	return value
}
