package engineserver

import (
	"encoding/binary"
	"encoding/hex"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// TokenBytes is the width of every token, so that the length of a text tells the number of its tokens.
	TokenBytes     = 8
	defaultTokens  = 32
	tokenDigestLen = 4
	// separator keeps "ab"+"c" and "a"+"bc" apart in a digest.
	separator = 0
)

var tokensPattern = regexp.MustCompile(`tokens=(\d{1,7})`)

// Answer returns the first tokens of the answer to a prompt of a customer.
func Answer(customer identifier.Digest, prompt []byte, tokens int) []byte {
	seed := answerSeed(customer, prompt)
	out := make([]byte, 0, tokens*TokenBytes)
	for i := range tokens {
		out = append(out, tokenText(seed, i)...)
	}
	return out
}

// AnswerTokens returns the number of tokens of the whole answer to a prompt. maxTokens 0 sets no bound.
func AnswerTokens(prompt []byte, maxTokens int) int {
	n := defaultTokens
	if match := tokensPattern.FindSubmatch(prompt); match != nil {
		// The pattern admits only short numbers, which always parse.
		n, _ = strconv.Atoi(string(match[1]))
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

func answerSeed(customer identifier.Digest, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(customer))
	_, _ = d.Write([]byte{separator})
	_, _ = d.Write(prompt)
	return d.Sum64()
}

// tokenText returns a token of hexadecimal digits, of which the last is replaced by a space.
func tokenText(seed uint64, index int) []byte {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(index))
	var digest [8]byte
	binary.BigEndian.PutUint64(digest[:], xxhash.Sum64(raw[:]))
	text := hex.AppendEncode(nil, digest[:tokenDigestLen])
	text[TokenBytes-1] = ' '
	return text
}
