package cataloguer

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Upstream is one live entry of an upstream in the platform's list.
type Upstream struct {
	// ID names one incarnation of the upstream.
	ID            identifier.Upstream
	Service       identifier.Service
	Address       string
	FailureDomain identifier.FailureDomain
	// Slots is the number of requests that run at the same time.
	Slots int
	// Draining upstreams take no new requests.
	Draining bool
	// ColdLeft is how much longer the upstream bears only the cold rate of its service, as of this version of the entry.
	ColdLeft time.Duration
	// Version tells apart successive versions of the entry.
	Version uint64
}

// Fleet is what the platform's tables say at one moment.
type Fleet struct {
	// Catalogue is nil until a configuration is known.
	Catalogue *Catalogue
	Upstreams []Upstream
	// Evacuated holds the failure domains whose upstreams get no requests.
	Evacuated map[identifier.FailureDomain]bool
}
