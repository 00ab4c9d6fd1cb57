package requester

// statusClassIndex is the index of the first digit of the status in the first line of a response.
const statusClassIndex = len("HTTP/1.1 ")

// headScanner looks for a folded line in the bytes of a response: one that begins with a blank and continues the field
// before it, as old versions of HTTP allowed. net/http joins such lines, so that a field whose name begins with a blank
// becomes part of another one. The scanner stops at the end of the final head.
type headScanner struct {
	// column is the number of bytes of the current line so far.
	column int
	// inFields is set after the first line of a head.
	inFields bool
	// isInformational is set if another head follows the current one.
	isInformational bool
	// isDone is set after the final head, and isFolded at the first folded line.
	isDone   bool
	isFolded bool
}

// scan reads the next bytes of the response.
func (s *headScanner) scan(p []byte) {
	for _, b := range p {
		switch {
		case s.isDone, s.isFolded:
			return
		case b == '\r':
		case b == '\n' && s.column == 0 && s.isInformational:
			*s = headScanner{}
		case b == '\n' && s.column == 0:
			s.isDone = true
		case b == '\n':
			s.column, s.inFields = 0, true
		case s.inFields && s.column == 0 && (b == ' ' || b == '\t'):
			s.isFolded = true
		default:
			if !s.inFields && s.column == statusClassIndex {
				s.isInformational = b == '1'
			}
			s.column++
		}
	}
}
