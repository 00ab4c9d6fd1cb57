// Package quarantiner will judge the request digests suspected of crashing upstreams.
package quarantiner

import (
	"time"

	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Config sets up a Quarantiner.
type Config struct{ Expiry time.Duration }

// Quarantiner holds suspicions.
type Quarantiner struct{}

// Verdict tells what may be done with a request digest.
type Verdict int

// The verdicts.
const (
	VerdictClear Verdict = iota
	VerdictAlone
	VerdictRefuse
)

// New returns an empty Quarantiner.
func New(Config) *Quarantiner { return &Quarantiner{} }

// Crashed records a crash.
func (q *Quarantiner) Crashed(time.Time, []identifier.Digest) {}

// Merge takes the suspicions of a peer.
func (q *Quarantiner) Merge(time.Time, []messenger.Suspicion) {}

// Verdict judges a digest.
func (q *Quarantiner) Verdict(time.Time, identifier.Digest) Verdict { return VerdictClear }

// Suspicions returns all suspicions.
func (q *Quarantiner) Suspicions(time.Time) []messenger.Suspicion { return nil }
