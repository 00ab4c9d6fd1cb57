// Package identifier defines the named types for identifiers and units that the whole program shares.
package identifier

import (
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Node names one process of the fleet, an entry or an agent.
	Node string
	// Upstream names a back end, a model runner or a service runner.
	Upstream string
	// FailureDomain names a failure domain.
	FailureDomain string
	// Customer names a customer.
	Customer string
	// ModelGroup names a group of ranks that run in lock-step.
	ModelGroup string
	// Model names a model.
	Model string
	// Service names a plain service.
	Service string
	// Key is a caller's Idempotency-Key.
	Key string
	// Crash names one death of one upstream, so that reports of the same death count once.
	Crash string
	// Digest is a hex digest that stands in for content that must not be stored or logged.
	Digest string
)

type (
	// Incarnation tells apart successive lives of a process under the same node name.
	Incarnation uint64
	// Boot tells apart successive lives of an upstream.
	Boot string
	// Revision numbers the states of the whole configuration.
	Revision uint64
	// Fence is the fencing number of a lease.
	Fence uint64
	// MapVersion numbers the expert maps of a group.
	MapVersion uint64
	// Step numbers the lock-step iterations of a group.
	Step uint64
	// Rank is the position of a runner in its group.
	Rank int
	// Expert is the index of an expert.
	Expert int
	// Serial numbers the grants of an agent incarnation.
	Serial uint64
	// Attempt numbers the dispatches of one request, from 1.
	Attempt uint32
)

type (
	// Credits counts requests that may be sent or are running.
	Credits int
	// Bytes is an amount of data.
	Bytes int64
	// Tokens is an amount of generated or prompt tokens.
	Tokens int64
	// Share is a customer's relative weight.
	Share float64
	// Priority orders requests at an engine; the engine serves higher values first.
	Priority int
)

// Role tells what a node does.
type Role string

// The roles of a node.
const (
	RoleEntry    Role = "entry"
	RoleAgent    Role = "agent"
	RoleOperator Role = "operator"
)

const requestBytes = 16

// Request identifies a caller's request with 128 random bits, so that it cannot be guessed.
type Request [requestBytes]byte

// NewRequest returns a random request identifier.
func NewRequest() Request {
	var r Request
	// rand.Read never returns an error.
	_, _ = rand.Read(r[:])
	return r
}

// ParseRequest reads the hexadecimal form of a request identifier.
func ParseRequest(s string) (Request, error) {
	var r Request
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != requestBytes {
		return r, errors.Newf("request id %q is not 32 hexadecimal digits; copy it from the Currantledge-Request header", s)
	}
	copy(r[:], raw)
	return r, nil
}

// String returns the hexadecimal form.
func (r Request) String() string {
	return hex.EncodeToString(r[:])
}

// NewIncarnation returns the incarnation of a process that starts at the given time.
// Nanoseconds keep it larger than that of every earlier process with the same name.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}
