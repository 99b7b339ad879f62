// Package config reads the program's JSON files and checks them against their published schemas. All that is
// wrong is told at once, each with the JSON pointer of its place.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"github.com/santhosh-tekuri/jsonschema/v6/kind"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Problem is one thing that is wrong with a file.
type Problem struct {
	Pointer string // JSON pointer (RFC 6901); "" = the whole
	Text    string
}

// Problems is all that is wrong with a file; it is an error.
type Problems []Problem

func (ps Problems) Error() string {
	var b strings.Builder
	for i, p := range ps {
		if i > 0 {
			b.WriteByte('\n')
		}
		where := p.Pointer
		if where == "" {
			where = "/"
		}
		fmt.Fprintf(&b, "%s: %s", where, p.Text)
	}
	return b.String()
}

// Schema is a compiled schema.
type Schema struct{ compiled *jsonschema.Schema }

// MustSchema compiles an embedded schema.
func MustSchema(text []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		panic(err)
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("schema.json", doc); err != nil {
		panic(err)
	}
	s, err := c.Compile("schema.json")
	if err != nil {
		panic(err)
	}
	return &Schema{s}
}

// Decode checks a text against the schema and decodes it. The error is Problems.
func (s *Schema) Decode(text []byte, into any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Problems{{"", "not valid JSON: " + place(text, err)}}
	}
	if err := s.compiled.Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if !errors.As(err, &v) {
			return Problems{{"", err.Error()}}
		}
		var ps Problems
		s.flatten(v, &ps)
		slices.SortStableFunc(ps, func(a, b Problem) int { return strings.Compare(a.Pointer, b.Pointer) })
		return slices.Compact(ps)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return Problems{{"", err.Error()}}
	}
	return nil
}

// DecodeFile reads, checks and decodes a file.
func (s *Schema) DecodeFile(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return s.Decode(text, into)
}

// place adds the line and column where JSON is broken.
func place(text []byte, err error) string {
	var e *json.SyntaxError
	if !errors.As(err, &e) {
		return err.Error()
	}
	before := text[:min(int(e.Offset), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n') - 1
	return fmt.Sprintf("%v at line %d, column %d", err, line, column)
}

var printer = message.NewPrinter(language.English)

// flatten gathers the causes that have no further cause.
func (s *Schema) flatten(v *jsonschema.ValidationError, ps *Problems) {
	if len(v.Causes) > 0 {
		for _, c := range v.Causes {
			s.flatten(c, ps)
		}
		return
	}
	at := pointer(v.InstanceLocation)
	switch k := v.ErrorKind.(type) {
	case *kind.AdditionalProperties:
		known := s.known(v)
		for _, name := range k.Properties {
			text := "unknown field"
			if near := nearest(name, known); near != "" {
				text += fmt.Sprintf("; did you mean %q?", near)
			} else if len(known) > 0 {
				text += "; known are " + strings.Join(known, ", ")
			}
			*ps = append(*ps, Problem{at + pointer([]string{name}), text})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			*ps = append(*ps, Problem{at + pointer([]string{name}), "is missing"})
		}
	default:
		*ps = append(*ps, Problem{at, v.ErrorKind.LocalizedString(printer)})
	}
}

// known lists the fields that the schema has at the place of an error.
func (s *Schema) known(v *jsonschema.ValidationError) []string {
	var names []string
	if at := locate(s.compiled, v.InstanceLocation); at != nil {
		for name := range at.Properties {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// locate walks the schema along a pointer.
func locate(s *jsonschema.Schema, path []string) *jsonschema.Schema {
	for s != nil && s.Ref != nil {
		s = s.Ref
	}
	if s == nil || len(path) == 0 {
		return s
	}
	if p, ok := s.Properties[path[0]]; ok {
		return locate(p, path[1:])
	}
	if items, ok := s.Items.(*jsonschema.Schema); ok {
		return locate(items, path[1:])
	}
	return locate(s.Items2020, path[1:])
}

func pointer(path []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	p := ""
	for _, part := range path {
		p += "/" + escape.Replace(part)
	}
	return p
}

// nearest returns the known name within two edits, or a third of its length.
func nearest(name string, known []string) string {
	best, least := "", max(2, len(name)/3)+1
	for _, k := range known {
		if d := edits(name, k); d < least {
			best, least = k, d
		}
	}
	return best
}

// edits is the Levenshtein distance.
func edits(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}
