package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// UpstreamLimit is what the latest response of an upstream said of its rate limit.
type UpstreamLimit struct {
	// Limited is false once a response has no longer named a limit.
	Limited bool
	// PerSecond is the number of requests a second that the upstream takes from all gateways together.
	PerSecond float64
	// At is the time of the response.
	At time.Time
}

// LimitsReported holds the rate limits that another gateway knows.
type LimitsReported struct {
	Peer   identifier.Node
	Limits map[identifier.Upstream]UpstreamLimit
}

func (LimitsReported) event() {}
