package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Rule checks a text value.
type Rule struct {
	// Check returns a remedy if the value is not acceptable, otherwise an empty string.
	Check func(value string) string
	// Secret values are never repeated in problems.
	Secret bool
}

type member struct {
	// path is the path of the field where it is written.
	path       string
	nameOffset int
	value      hujson.Value
	read       bool
}

// Object is an object whose fields are read one by one. Close reports the fields that nothing has read.
type Object struct {
	document *Document
	path     string
	offset   int
	order    []string
	members  map[string]*member
}

func (d *Document) object(path string, offset int, source *hujson.Object) *Object {
	o := &Object{document: d, path: path, offset: offset, members: map[string]*member{}}
	for _, m := range source.Members {
		name := literal(m.Name).String()
		if _, exists := o.members[name]; exists {
			d.report(m.Name.StartOffset, o.at(name), "", "the field is given twice; keep one")
			continue
		}
		o.order = append(o.order, name)
		o.members[name] = &member{path: join(path, name), nameOffset: m.Name.StartOffset, value: m.Value}
	}
	return o
}

// Over returns an object with the fields of o and, for fields that o lacks, those of base. Both belong to the same
// document, so that positions stay correct.
func (o *Object) Over(base *Object) *Object {
	merged := &Object{document: o.document, path: o.path, offset: o.offset, members: map[string]*member{}}
	for _, source := range []*Object{o, base} {
		for _, name := range source.order {
			if _, exists := merged.members[name]; exists {
				continue
			}
			m := *source.members[name]
			merged.order = append(merged.order, name)
			merged.members[name] = &m
		}
	}
	return merged
}

// Has tells whether the field is given.
func (o *Object) Has(field string) bool {
	return o.members[field] != nil
}

// Names returns the names of all fields in their order.
func (o *Object) Names() []string {
	return slices.Clone(o.order)
}

// Report adds a problem at the position of a field, or of the object if the field is absent.
func (o *Object) Report(field, value, remedy string) {
	offset := o.offset
	if m := o.members[field]; m != nil {
		offset = m.value.StartOffset
	}
	o.document.report(offset, o.at(field), value, remedy)
}

// Text reads a required text.
func (o *Object) Text(field string, rule Rule) string {
	if !o.require(field) {
		return ""
	}
	return o.OptionalText(field, "", rule)
}

// OptionalText reads a text that may be absent.
func (o *Object) OptionalText(field, absent string, rule Rule) string {
	value, ok := o.take(field)
	if !ok {
		return absent
	}
	return o.text(value, o.at(field), rule)
}

// Choice reads one of several texts. Without an absent value the field is required.
func (o *Object) Choice(field, absent string, choices ...string) string {
	rule := Rule{Check: func(value string) string {
		if slices.Contains(choices, value) {
			return ""
		}
		return "write one of " + strings.Join(choices, ", ")
	}}
	if absent == "" {
		return o.Text(field, rule)
	}
	return o.OptionalText(field, absent, rule)
}

// Integer reads a required whole number within bounds.
func (o *Object) Integer(field string, least, most int64) int64 {
	if !o.require(field) {
		return 0
	}
	value, _ := o.take(field)
	remedy := fmt.Sprintf("write a whole number from %d to %d", least, most)
	raw := literal(value)
	number, err := strconv.ParseInt(string(raw), 10, 64)
	if raw.Kind() != '0' || err != nil || number < least || number > most {
		o.document.report(value.StartOffset, o.at(field), describe(value), remedy)
		return 0
	}
	return number
}

// Number reads a required number within bounds.
func (o *Object) Number(field string, least, most float64) float64 {
	if !o.require(field) {
		return 0
	}
	value, _ := o.take(field)
	remedy := fmt.Sprintf("write a number from %v to %v", least, most)
	raw := literal(value)
	number, err := strconv.ParseFloat(string(raw), 64)
	if raw.Kind() != '0' || err != nil || number < least || number > most {
		o.document.report(value.StartOffset, o.at(field), describe(value), remedy)
		return 0
	}
	return number
}

// Bool reads a truth value, false if absent.
func (o *Object) Bool(field string) bool {
	value, ok := o.take(field)
	if !ok {
		return false
	}
	raw := literal(value)
	if raw.Kind() != 't' && raw.Kind() != 'f' {
		o.document.report(value.StartOffset, o.at(field), describe(value), "write true or false")
		return false
	}
	return raw.Bool()
}

// Texts reads an array of different texts with at least the given number of elements. With least 0 it may be absent.
func (o *Object) Texts(field string, least int, rule Rule) []string {
	elements, ok := o.array(field, least)
	if !ok {
		return nil
	}
	texts := make([]string, 0, len(elements))
	for i, e := range elements {
		path := fmt.Sprintf("%s[%d]", o.at(field), i)
		text := o.text(e, path, rule)
		if text != "" && slices.Contains(texts, text) {
			o.document.report(e.StartOffset, path, show(e, rule), "the element is given twice; keep one")
		}
		texts = append(texts, text)
	}
	return texts
}

// Objects reads an array of objects with at least the given number of elements. With least 0 it may be absent.
func (o *Object) Objects(field string, least int) []*Object {
	elements, ok := o.array(field, least)
	if !ok {
		return nil
	}
	var objects []*Object
	for i, e := range elements {
		path := fmt.Sprintf("%s[%d]", o.at(field), i)
		if object, ok := o.child(path, e); ok {
			objects = append(objects, object)
		}
	}
	return objects
}

// Object reads a required object. It is nil after a problem.
func (o *Object) Object(field string) *Object {
	if !o.require(field) {
		return nil
	}
	value, _ := o.take(field)
	object, _ := o.child(o.at(field), value)
	return object
}

// Close reports every field that was not read. Their values are not repeated, since a misplaced field may hold a key.
func (o *Object) Close() {
	for _, name := range o.order {
		if m := o.members[name]; !m.read {
			o.document.report(m.nameOffset, o.at(name), kindOf(m.value), "the field is unknown; remove it or correct its name")
		}
	}
}

func (o *Object) at(field string) string {
	if m := o.members[field]; m != nil {
		return m.path
	}
	return join(o.path, field)
}

func join(path, field string) string {
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

func (o *Object) require(field string) bool {
	if o.Has(field) {
		return true
	}
	o.Report(field, "", "the field is missing; add it")
	return false
}

func (o *Object) take(field string) (hujson.Value, bool) {
	m := o.members[field]
	if m == nil {
		return hujson.Value{}, false
	}
	m.read = true
	return m.value, true
}

func (o *Object) text(value hujson.Value, path string, rule Rule) string {
	raw := literal(value)
	if raw.Kind() != '"' {
		o.document.report(value.StartOffset, path, show(value, rule), "write a text in double quotes")
		return ""
	}
	if rule.Check == nil {
		return raw.String()
	}
	if remedy := rule.Check(raw.String()); remedy != "" {
		o.document.report(value.StartOffset, path, show(value, rule), remedy)
		return ""
	}
	return raw.String()
}

func (o *Object) array(field string, least int) ([]hujson.Value, bool) {
	if least > 0 && !o.require(field) {
		return nil, false
	}
	value, ok := o.take(field)
	if !ok {
		return nil, false
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.document.report(value.StartOffset, o.at(field), kindOf(value), "write an array: [ ... ]")
		return nil, false
	}
	if len(array.Elements) < least {
		o.document.report(value.StartOffset, o.at(field), kindOf(value), fmt.Sprintf("write an array with %d or more elements", least))
		return nil, false
	}
	return array.Elements, true
}

func (o *Object) child(path string, value hujson.Value) (*Object, bool) {
	source, ok := value.Value.(*hujson.Object)
	if !ok {
		o.document.report(value.StartOffset, path, kindOf(value), "write an object: { ... }")
		return nil, false
	}
	return o.document.object(path, value.StartOffset, source), true
}

func literal(value hujson.Value) hujson.Literal {
	raw, _ := value.Value.(hujson.Literal)
	return raw
}

func show(value hujson.Value, rule Rule) string {
	if rule.Secret {
		return kindOf(value)
	}
	return describe(value)
}

const shownBytes = 80

// describe returns the value as written, shortened.
func describe(value hujson.Value) string {
	raw := literal(value)
	if raw == nil {
		return kindOf(value)
	}
	if len(raw) > shownBytes {
		return strings.ToValidUTF8(string(raw[:shownBytes]), "") + "..."
	}
	return string(raw)
}

func kindOf(value hujson.Value) string {
	switch value.Value.Kind() {
	case '"':
		return fmt.Sprintf("(a text of %d characters)", len([]rune(literal(value).String())))
	case '0':
		return "(a number)"
	case 't', 'f':
		return "(a truth value)"
	case 'n':
		return "(null)"
	case '[':
		return "(an array)"
	default:
		return "(an object)"
	}
}
