package parser

import (
	"fmt"
	"strings"
)

// Problem is one error in a text that an operator wrote.
type Problem struct {
	File   string
	Line   int
	Column int
	// Field is the path of the field, for example models[0].name. It is empty for a syntax error.
	Field string
	// Value is the invalid value as written, shortened, or a description of it. It never contains a secret.
	Value string
	// Remedy is what the operator has to change.
	Remedy string
}

// String returns the problem on one line, which begins with the position.
func (p Problem) String() string {
	var b strings.Builder
	if p.File != "" {
		fmt.Fprintf(&b, "%s:", p.File)
	}
	if p.Line > 0 {
		fmt.Fprintf(&b, "%d:%d:", p.Line, p.Column)
	}
	if b.Len() > 0 {
		b.WriteByte(' ')
	}
	if p.Field != "" {
		fmt.Fprintf(&b, "field %s", p.Field)
		if p.Value != "" {
			fmt.Fprintf(&b, " has the value %s", p.Value)
		}
		b.WriteString(": ")
	}
	b.WriteString(p.Remedy)
	return b.String()
}

// InvalidError lists all problems of a text.
type InvalidError struct {
	problems []Problem
}

// NewInvalidError returns an *InvalidError with the problems, or nil if there are none.
func NewInvalidError(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{problems: problems}
}

// Error returns all problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, p := range e.problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Problems returns a copy of all problems, in the order that NewInvalidError received.
func (e *InvalidError) Problems() []Problem {
	return append([]Problem(nil), e.problems...)
}
