package parser

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Rule is a check of a string value.
type Rule struct {
	// Check returns a remedy if the value is invalid, otherwise an empty string. A nil Check accepts every value.
	Check func(value string) string
	// Secret keeps the value out of problems.
	Secret bool
}

// member is a field of an object with its value.
type member struct {
	// path is the path of the field in the text. After WithDefaults it may differ from the path in the object.
	path       string
	nameOffset int
	value      hujson.Value
	// read is set once the field has been read.
	read bool
}

// Object is a JSON object whose fields are read one by one. Invalid fields are reported as problems of the document, and
// their zero values are returned.
type Object struct {
	document *Document
	path     string
	offset   int
	names    []string
	members  map[string]*member
}

func (d *Document) object(path string, offset int, source *hujson.Object) *Object {
	o := &Object{document: d, path: path, offset: offset, members: map[string]*member{}}
	for _, m := range source.Members {
		name := literal(m.Name).String()
		if _, exists := o.members[name]; exists {
			d.report(m.Name.StartOffset, o.fieldPath(name), "", "the field is given twice; keep one")
			continue
		}
		o.names = append(o.names, name)
		o.members[name] = &member{path: joinPath(path, name), nameOffset: m.Name.StartOffset, value: m.Value}
	}
	return o
}

// WithDefaults returns an object with the fields of o and, where o lacks a field, those of base. Both must belong to the
// same document, so that positions remain correct. Fields that are read in the result do not count as read in o and base.
func (o *Object) WithDefaults(base *Object) *Object {
	merged := &Object{document: o.document, path: o.path, offset: o.offset, members: map[string]*member{}}
	for _, source := range []*Object{o, base} {
		for _, name := range source.names {
			if _, exists := merged.members[name]; exists {
				continue
			}
			m := *source.members[name]
			merged.names = append(merged.names, name)
			merged.members[name] = &m
		}
	}
	return merged
}

// Has reports whether the field is given.
func (o *Object) Has(field string) bool {
	return o.members[field] != nil
}

// Names returns the names of all fields in the order of the text.
func (o *Object) Names() []string {
	return slices.Clone(o.names)
}

// Report adds a problem at the position of a field's value, or of the object if the field is missing.
func (o *Object) Report(field, value, remedy string) {
	offset := o.offset
	if m := o.members[field]; m != nil {
		offset = m.value.StartOffset
	}
	o.document.report(offset, o.fieldPath(field), value, remedy)
}

// Text reads a required string.
func (o *Object) Text(field string, rule Rule) string {
	if !o.requireField(field) {
		return ""
	}
	return o.OptionalText(field, "", rule)
}

// OptionalText reads a string that defaults to defaultValue. The rule does not apply to the default.
func (o *Object) OptionalText(field, defaultValue string, rule Rule) string {
	value, ok := o.readField(field)
	if !ok {
		return defaultValue
	}
	return o.text(value, o.fieldPath(field), rule)
}

// Choice reads one of several strings, which defaults to defaultValue. If defaultValue is empty, the field is required.
func (o *Object) Choice(field, defaultValue string, choices ...string) string {
	rule := Rule{Check: func(value string) string {
		if slices.Contains(choices, value) {
			return ""
		}
		return "write one of " + strings.Join(choices, ", ")
	}}
	if defaultValue == "" {
		return o.Text(field, rule)
	}
	return o.OptionalText(field, defaultValue, rule)
}

// Integer reads a required integer from least to most.
func (o *Object) Integer(field string, least, most int64) int64 {
	if !o.requireField(field) {
		return 0
	}
	value, _ := o.readField(field)
	remedy := fmt.Sprintf("write a whole number from %d to %d", least, most)
	raw := literal(value)
	number, err := strconv.ParseInt(string(raw), 10, 64)
	if raw.Kind() != '0' || err != nil || number < least || number > most {
		o.document.report(value.StartOffset, o.fieldPath(field), describe(value), remedy)
		return 0
	}
	return number
}

// Number reads a required number from least to most.
func (o *Object) Number(field string, least, most float64) float64 {
	if !o.requireField(field) {
		return 0
	}
	value, _ := o.readField(field)
	remedy := fmt.Sprintf("write a number from %v to %v", least, most)
	raw := literal(value)
	number, err := strconv.ParseFloat(string(raw), 64)
	if raw.Kind() != '0' || err != nil || number < least || number > most {
		o.document.report(value.StartOffset, o.fieldPath(field), describe(value), remedy)
		return 0
	}
	return number
}

// Bool reads an optional boolean, which defaults to false.
func (o *Object) Bool(field string) bool {
	value, ok := o.readField(field)
	if !ok {
		return false
	}
	raw := literal(value)
	if raw.Kind() != 't' && raw.Kind() != 'f' {
		o.document.report(value.StartOffset, o.fieldPath(field), describe(value), "write true or false")
		return false
	}
	return raw.Bool()
}

// Texts reads an array of at least the given number of distinct strings. With least 0 the field is optional.
func (o *Object) Texts(field string, least int, rule Rule) []string {
	elements, ok := o.array(field, least)
	if !ok {
		return nil
	}
	texts := make([]string, 0, len(elements))
	for i, e := range elements {
		path := fmt.Sprintf("%s[%d]", o.fieldPath(field), i)
		text := o.text(e, path, rule)
		if text != "" && slices.Contains(texts, text) {
			o.document.report(e.StartOffset, path, displayValue(e, rule), "the element is given twice; keep one")
		}
		texts = append(texts, text)
	}
	return texts
}

// Objects reads an array of at least the given number of objects. With least 0 the field is optional.
func (o *Object) Objects(field string, least int) []*Object {
	elements, ok := o.array(field, least)
	if !ok {
		return nil
	}
	var objects []*Object
	for i, e := range elements {
		path := fmt.Sprintf("%s[%d]", o.fieldPath(field), i)
		if object, ok := o.asObject(path, e); ok {
			objects = append(objects, object)
		}
	}
	return objects
}

// Object reads a required object. It returns nil if there is a problem.
func (o *Object) Object(field string) *Object {
	if !o.requireField(field) {
		return nil
	}
	value, _ := o.readField(field)
	object, _ := o.asObject(o.fieldPath(field), value)
	return object
}

// ReportUnknown reports all fields that have not been read as unknown. It leaves out their values, since a misplaced
// field may hold a key.
func (o *Object) ReportUnknown() {
	for _, name := range o.names {
		if m := o.members[name]; !m.read {
			o.document.report(m.nameOffset, o.fieldPath(name), describeKind(m.value), "the field is unknown; remove it or correct its name")
		}
	}
}

// fieldPath returns the path of a field.
func (o *Object) fieldPath(field string) string {
	if m := o.members[field]; m != nil {
		return m.path
	}
	return joinPath(o.path, field)
}

func joinPath(path, field string) string {
	if path == "" || field == "" {
		return path + field
	}
	return path + "." + field
}

// requireField reports a problem if the field is missing, and returns whether it is given.
func (o *Object) requireField(field string) bool {
	if o.Has(field) {
		return true
	}
	o.Report(field, "", "the field is missing; add it")
	return false
}

// readField returns the value of a field and marks the field as read.
func (o *Object) readField(field string) (hujson.Value, bool) {
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
		o.document.report(value.StartOffset, path, displayValue(value, rule), "write a text in double quotes")
		return ""
	}
	if rule.Check == nil {
		return raw.String()
	}
	if remedy := rule.Check(raw.String()); remedy != "" {
		o.document.report(value.StartOffset, path, displayValue(value, rule), remedy)
		return ""
	}
	return raw.String()
}

func (o *Object) array(field string, least int) ([]hujson.Value, bool) {
	if least > 0 && !o.requireField(field) {
		return nil, false
	}
	value, ok := o.readField(field)
	if !ok {
		return nil, false
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		o.document.report(value.StartOffset, o.fieldPath(field), describeKind(value), "write an array: [ ... ]")
		return nil, false
	}
	if len(array.Elements) < least {
		o.document.report(value.StartOffset, o.fieldPath(field), describeKind(value), fmt.Sprintf("write an array with %d or more elements", least))
		return nil, false
	}
	return array.Elements, true
}

func (o *Object) asObject(path string, value hujson.Value) (*Object, bool) {
	source, ok := value.Value.(*hujson.Object)
	if !ok {
		o.document.report(value.StartOffset, path, describeKind(value), "write an object: { ... }")
		return nil, false
	}
	return o.document.object(path, value.StartOffset, source), true
}

// literal returns the literal of a value, or nil if the value is an array or object.
func literal(value hujson.Value) hujson.Literal {
	raw, _ := value.Value.(hujson.Literal)
	return raw
}

// displayValue returns the text for a value in a problem, without its content if that is secret.
func displayValue(value hujson.Value, rule Rule) string {
	if rule.Secret {
		return describeKind(value)
	}
	return describe(value)
}

// maxShownBytes is the length to which values are shortened in problems.
const maxShownBytes = 80

// describe returns a literal as written, shortened, or the kind of any other value.
func describe(value hujson.Value) string {
	raw := literal(value)
	if raw == nil {
		return describeKind(value)
	}
	if len(raw) > maxShownBytes {
		return strings.ToValidUTF8(string(raw[:maxShownBytes]), "") + "..."
	}
	return string(raw)
}

// describeKind describes the kind of a value without its content.
func describeKind(value hujson.Value) string {
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
