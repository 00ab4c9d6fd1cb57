// Package parser decodes settings and resources, which operators write as JSON with comments. It reads and checks one
// field at a time and collects all problems with their positions, so that one run reports every mistake.
package parser

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/tailscale/hujson"
)

// MaxBytes is the largest accepted size of a text.
const MaxBytes = 1 << 20

// Document is a text that is being decoded, with the problems found so far.
type Document struct {
	file     string
	text     []byte
	problems []Problem
}

// Parse parses a text whose top level is an object. The object is nil if the text is invalid; Err then returns the reason.
func Parse(file string, text []byte) (*Document, *Object) {
	d := &Document{file: file, text: text}
	if len(text) > MaxBytes {
		d.add(Problem{Line: 1, Column: 1, Remedy: fmt.Sprintf("the text has %d bytes; shorten it to at most %d", len(text), MaxBytes)})
		return d, nil
	}
	if offset, deep := tooDeep(text); deep {
		d.report(offset, "", "", fmt.Sprintf("the text nests more than %d levels; use fewer", maxDepth))
		return d, nil
	}
	value, err := hujson.Parse(text)
	if err != nil {
		d.add(syntaxProblem(err))
		return d, nil
	}
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(value.StartOffset, "", "", "the text is not an object; write it as { ... }")
		return d, nil
	}
	return d, d.object("", value.StartOffset, object)
}

// Err returns an *InvalidError with all problems found so far, sorted by position, or nil if there are none. A problem in
// a field that several objects share is listed once.
func (d *Document) Err() error {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(
			cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Field, b.Field), cmp.Compare(a.Remedy, b.Remedy),
		)
	})
	d.problems = slices.Compact(d.problems)
	return NewInvalidError(d.problems)
}

func (d *Document) add(p Problem) {
	p.File = d.file
	d.problems = append(d.problems, p)
}

func (d *Document) report(offset int, field, value, remedy string) {
	line, column := d.position(offset)
	d.add(Problem{Line: line, Column: column, Field: field, Value: value, Remedy: remedy})
}

// position returns the line and the column of an offset in bytes. Both start at 1; the column counts characters.
func (d *Document) position(offset int) (line, column int) {
	before := d.text[:offset]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = 1 + utf8.RuneCount(before[bytes.LastIndexByte(before, '\n')+1:])
	return line, column
}

// syntaxProblem converts an error of hujson, whose text begins with the position.
func syntaxProblem(err error) Problem {
	p := Problem{Line: 1, Column: 1}
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	if _, scanErr := fmt.Sscanf(text, "line %d, column %d:", &p.Line, &p.Column); scanErr == nil {
		_, text, _ = strings.Cut(text, ": ")
	}
	p.Remedy = "this is not JSON with comments: " + text
	return p
}
