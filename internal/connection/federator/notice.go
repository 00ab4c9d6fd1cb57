package federator

import (
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// UpstreamNotice is what an upstream last said to a gateway about further requests.
type UpstreamNotice struct {
	// Until is the end of a pause after the upstream has rejected a request; zero once it has accepted one.
	Until time.Time
	// Leaving is set once the upstream has announced that it leaves.
	Leaving bool
	// At is when the upstream said so.
	At time.Time
}

// NoticesReported holds what upstreams have said to another gateway.
type NoticesReported struct {
	Peer    identifier.Node
	Notices map[identifier.Upstream]UpstreamNotice
}

func (NoticesReported) event() {}
