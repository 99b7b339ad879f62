// Package config reads the JSON files of the program and validates them against their published schemas (package api). It reports
// all problems of a file together, each with its JSON pointer. The command line and the chat node use it.
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

// Problem is one error in a file.
type Problem struct {
	Pointer string // JSON pointer (RFC 6901); "" = the whole file
	Text    string
}

// Problems are all errors in a file. They implement error.
type Problems []Problem

// Error lists the problems, one per line.
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

// Schema is a compiled JSON Schema.
type Schema struct{ compiled *jsonschema.Schema }

// MustSchema compiles an embedded schema and panics if it is invalid.
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

// Decode validates a text against the schema and decodes it. The error is of type Problems.
func (s *Schema) Decode(text []byte, into any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(text))
	if err != nil {
		return Problems{{Text: "not valid JSON: " + syntaxErrorPlace(text, err)}}
	}
	if err := s.compiled.Validate(doc); err != nil {
		var v *jsonschema.ValidationError
		if !errors.As(err, &v) {
			return Problems{{Text: err.Error()}}
		}
		var ps Problems
		s.flatten(v, &ps)
		slices.SortStableFunc(ps, func(a, b Problem) int { return strings.Compare(a.Pointer, b.Pointer) })
		return slices.Compact(ps)
	}
	if err := json.Unmarshal(text, into); err != nil {
		return Problems{{Text: err.Error()}}
	}
	return nil
}

// DecodeFile reads, validates and decodes a file. The error is of type Problems unless the file cannot be read.
func (s *Schema) DecodeFile(path string, into any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return s.Decode(text, into)
}

// syntaxErrorPlace returns the text of an error, with the line and column if it is a JSON syntax error.
func syntaxErrorPlace(text []byte, err error) string {
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

// flatten appends the innermost causes of an error as problems.
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
		known := s.knownFields(v)
		for _, name := range k.Properties {
			text := "unknown field"
			if suggestion := nearest(name, known); suggestion != "" {
				text += fmt.Sprintf("; did you mean %q?", suggestion)
			} else if len(known) > 0 {
				text += "; known fields are " + strings.Join(known, ", ")
			}
			*ps = append(*ps, Problem{Pointer: at + pointer([]string{name}), Text: text})
		}
	case *kind.Required:
		for _, name := range k.Missing {
			*ps = append(*ps, Problem{Pointer: at + pointer([]string{name}), Text: "is missing"})
		}
	default:
		*ps = append(*ps, Problem{Pointer: at, Text: v.ErrorKind.LocalizedString(printer)})
	}
}

// knownFields returns the names, sorted, of the fields that the schema allows at the location of an error.
func (s *Schema) knownFields(v *jsonschema.ValidationError) []string {
	var names []string
	if at := locate(s.compiled, v.InstanceLocation); at != nil {
		for name := range at.Properties {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// locate returns the subschema for a location in a document, or nil if there is none.
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

// pointer encodes a path as a JSON pointer (RFC 6901).
func pointer(path []string) string {
	escape := strings.NewReplacer("~", "~0", "/", "~1")
	p := ""
	for _, part := range path {
		p += "/" + escape.Replace(part)
	}
	return p
}
