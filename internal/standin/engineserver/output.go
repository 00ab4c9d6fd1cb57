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
	// TokenBytes is the length of every token, so that the number of tokens in a text follows from its length.
	TokenBytes          = 8
	defaultOutputTokens = 32
	tokenDigestBytes    = 4
	// separator gives customer "ab" with prompt "c" another digest than customer "a" with prompt "bc".
	separator = 0
)

var tokensPattern = regexp.MustCompile(`tokens=(\d{1,7})`)

// Output returns the first tokens of the engine's output for a prompt of a customer.
func Output(customer identifier.Digest, prompt []byte, tokens int) []byte {
	seed := outputSeed(customer, prompt)
	out := make([]byte, 0, tokens*TokenBytes)
	for i := range tokens {
		out = append(out, tokenText(seed, i)...)
	}
	return out
}

// OutputTokens returns the number of tokens of the complete output for a prompt. A prompt selects it with "tokens=N".
// maxTokens 0 sets no bound.
func OutputTokens(prompt []byte, maxTokens int) int {
	n := defaultOutputTokens
	if match := tokensPattern.FindSubmatch(prompt); match != nil {
		// The pattern matches only numbers that fit an int.
		n, _ = strconv.Atoi(string(match[1]))
	}
	if maxTokens > 0 {
		n = min(n, maxTokens)
	}
	return n
}

// outputSeed returns a digest of customer and prompt, from which all tokens of the output follow.
func outputSeed(customer identifier.Digest, prompt []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a digest never fail.
	_, _ = d.WriteString(string(customer))
	_, _ = d.Write([]byte{separator})
	_, _ = d.Write(prompt)
	return d.Sum64()
}

// tokenText returns a token: hexadecimal digits, of which the last is replaced by a space.
func tokenText(seed uint64, index int) []byte {
	var raw [16]byte
	binary.BigEndian.PutUint64(raw[:8], seed)
	binary.BigEndian.PutUint64(raw[8:], uint64(index))
	var digest [8]byte
	binary.BigEndian.PutUint64(digest[:], xxhash.Sum64(raw[:]))
	text := hex.AppendEncode(nil, digest[:tokenDigestBytes])
	text[TokenBytes-1] = ' '
	return text
}
