// Package identifier defines the named types for identifiers and units that the whole program shares.
package identifier

import (
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

type (
	// Node names one process of the fleet: an entry, an agent or a gateway.
	Node string
	// Upstream names an upstream: one model engine or one instance of a plain service.
	Upstream string
	// FailureDomain names a set of VMs that may fail together.
	FailureDomain string
	// Customer names a customer, which authenticates its requests with API keys.
	Customer string
	// ModelGroup names a group of ranks that run their steps in lock-step.
	ModelGroup string
	// Model names a model that a group or a single engine serves.
	Model string
	// Service names a service; a plain service is one that does not run a model.
	Service string
	// Key is a caller's Idempotency-Key.
	Key string
	// Crash identifies one crash of one upstream, so that several reports of it count once.
	Crash string
	// PromptPart identifies one part of a prompt by its content; prompts that begin alike have parts in common.
	PromptPart string
	// Digest is a hexadecimal digest of content that must not be stored or logged itself.
	Digest string
)

type (
	// ContentHash is the hash of a request as a whole, which includes its customer, or of one part of its prompt.
	ContentHash uint64
	// CustomerHash is the hash of a customer's name; 0 stands for several customers.
	CustomerHash uint64
	// CrashSite is the hash of an upstream or, for the ranks of a group, which crash together, of the group.
	CrashSite uint64
)

type (
	// Incarnation identifies one run of a process with a node name; later runs have higher incarnations.
	Incarnation uint64
	// Boot identifies one run of an upstream.
	Boot string
	// Revision numbers the states of the configuration as a whole.
	Revision uint64
	// Fence is the fencing number of a lease.
	Fence uint64
	// MapVersion numbers the expert maps of a group.
	MapVersion uint64
	// Step numbers the lock-step iterations of a group.
	Step uint64
	// Rank is the position of an engine in its group.
	Rank int
	// Expert is the index of an expert.
	Expert int
	// Serial numbers the grants of an agent incarnation.
	Serial uint64
	// Attempt numbers the dispatches of one request, from 1.
	Attempt uint32
)

type (
	// Credits is a number of requests that may be dispatched or are running.
	Credits int
	// Bytes is a number of bytes.
	Bytes int64
	// Mbps is a bandwidth in megabits a second.
	Mbps float64
	// Tokens is a number of generated or prompt tokens.
	Tokens int64
	// Share is a customer's relative weight.
	Share float64
	// Priority orders the requests of entries at an engine; the engine serves higher values first. The priorities of
	// gateways have another type and the opposite order: 0 is served first.
	Priority int
)

// String returns the hash in hexadecimal digits.
func (h ContentHash) String() string {
	return strconv.FormatUint(uint64(h), 16)
}

// PartNames returns the parts of a prompt as texts.
func PartNames(parts []PromptPart) []string {
	names := make([]string, len(parts))
	for i, p := range parts {
		names[i] = string(p)
	}
	return names
}

// Role is the function of a node in the fleet.
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

// NewIncarnation returns the incarnation of a process that starts at the given time: the nanoseconds since the Unix
// epoch. It is higher than that of every earlier process with the same name.
func NewIncarnation(start time.Time) Incarnation {
	return Incarnation(start.UnixNano())
}
