package forwarder

import (
	"net/http"
	"strconv"
	"strings"

	"currantledge.example/currantledge/internal/request/workmeter"
)

// maxStatedTokens is more than any model can read or generate. Larger numbers count as invalid.
const maxStatedTokens = 1 << 24

// statedSize returns what the header of a request states of its size.
func (f *Forwarder) statedSize(h http.Header) workmeter.Stated {
	var out workmeter.Stated
	prompt, response, found := strings.Cut(h.Get(f.cfg.Names.Tokens), ",")
	if n, most := parseTokens(prompt), parseTokens(response); found && n > 0 && most > 0 {
		out.Prompt, out.MaxResponse = n, most
	}
	out.Response = parseTokens(h.Get(f.cfg.Names.Length))
	return out
}

// parseTokens parses a number of tokens. It returns 0 for an invalid one.
func parseTokens(text string) int {
	n, err := strconv.Atoi(strings.TrimSpace(text))
	if err != nil || n < 0 || n > maxStatedTokens {
		return 0
	}
	return n
}

// recordLength records the length of a complete stream. That of a stream that began with an earlier request of the client
// is not known.
func (f *Forwarder) recordLength(c *call, s *stream) {
	if c.engine != nil && !c.resumed {
		f.cfg.Works.Record(c.route.Name, c.engine, c.stated, c.work, s.events)
	}
}
