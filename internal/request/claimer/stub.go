// Package claimer will claim idempotency keys. Until then it refuses every claim, so that no keyed call runs.
package claimer

import (
	"context"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Config sets up a Claimer.
type Config struct {
	Table       any
	Objects     any
	Node        identifier.Node
	Incarnation identifier.Incarnation
}

// Claimer refuses every claim.
type Claimer struct{}

// Call names a keyed call.
type Call struct {
	Customer identifier.Customer
	Key      identifier.Key
	Request  identifier.Request
	Attempt  identifier.Attempt
	Digest   identifier.Digest
}

// Verdict is the result of a claim.
type Verdict interface{ verdict() }

type (
	// Won means that the call may run.
	Won struct{}
	// Held means that another attempt holds the claim.
	Held struct {
		Node        identifier.Node
		Incarnation identifier.Incarnation
	}
	// Recorded means that the answer is on record.
	Recorded struct{}
	// Mismatch means that the key was used for another request.
	Mismatch struct{}
)

func (Won) verdict()      {}
func (Held) verdict()     {}
func (Recorded) verdict() {}
func (Mismatch) verdict() {}

// Answer is a recorded answer.
type Answer struct {
	Status  int
	Headers []messenger.Header
	Body    []byte
}

// New returns a Claimer.
func New(Config) *Claimer { return &Claimer{} }

// Run waits until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Claim refuses.
func (c *Claimer) Claim(context.Context, Call) (Verdict, error) {
	return nil, errors.New("claims are not available yet; send the call without Idempotency-Key")
}

// Record does nothing.
func (c *Claimer) Record(context.Context, Call, Answer) error { return nil }

// Release does nothing.
func (c *Claimer) Release(context.Context, Call) error { return nil }
