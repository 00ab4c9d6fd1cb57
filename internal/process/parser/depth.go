package parser

import "bytes"

// maxDepth bounds the nesting of arrays and objects. hujson recurses for each level: a text of 1 MiB of opening brackets
// would exhaust the stack and end the process.
const maxDepth = 64

// tooDeep reports whether a text nests too deeply, and the offset of the first bracket beyond maxDepth. Brackets in
// strings and comments do not count.
func tooDeep(text []byte) (int, bool) {
	depth := 0
	for i := 0; i < len(text); i++ {
		switch text[i] {
		case '"':
			i = stringEnd(text, i)
		case '/':
			i = commentEnd(text, i)
		case '[', '{':
			depth++
		case ']', '}':
			depth--
		}
		if depth > maxDepth {
			return i, true
		}
	}
	return 0, false
}

// stringEnd returns the offset of the closing quote of the string that starts at i.
func stringEnd(text []byte, i int) int {
	for i++; i < len(text) && text[i] != '"'; i++ {
		if text[i] == '\\' {
			i++
		}
	}
	return i
}

// commentEnd returns the offset of the last byte of the comment that starts at i, or i if none starts there.
func commentEnd(text []byte, i int) int {
	var end string
	switch {
	case bytes.HasPrefix(text[i:], []byte("//")):
		end = "\n"
	case bytes.HasPrefix(text[i:], []byte("/*")):
		end = "*/"
	default:
		return i
	}
	const opening = 2
	length := bytes.Index(text[i+opening:], []byte(end))
	if length < 0 {
		return len(text)
	}
	return i + opening + length + len(end) - 1
}
