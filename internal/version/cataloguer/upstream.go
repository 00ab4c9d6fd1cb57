package cataloguer

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Upstream is the row of an upstream in the platform's table of upstreams.
type Upstream struct {
	// ID identifies one incarnation of the upstream.
	ID            identifier.Upstream
	Service       identifier.Service
	Address       string
	FailureDomain identifier.FailureDomain
	// Group is the group of which the upstream is a rank; empty if it is not known or the service has none.
	Group identifier.ModelGroup
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Draining is set if the upstream accepts no new requests.
	Draining bool
	// ColdLeft is how much longer the rate limit for cold upstreams applies, counted from this version of the row.
	ColdLeft time.Duration
	// Generation rises with each start of the upstream under its id; 0 if it is not known.
	Generation uint64
	// Version is the version of the row, which increases with each change.
	Version uint64
}

// Fleet is a snapshot of the platform's tables.
type Fleet struct {
	// Catalogue is nil until a configuration has been received.
	Catalogue *Catalogue
	Upstreams []Upstream
	// Evacuated holds the failure domains whose upstreams receive no requests.
	Evacuated map[identifier.FailureDomain]bool
}
