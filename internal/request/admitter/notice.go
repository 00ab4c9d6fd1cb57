package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Notices returns what upstreams have said about further requests, for the other gateways.
func (a *Admitter) Notices(now time.Time) map[identifier.Upstream]federator.UpstreamNotice {
	a.mu.Lock()
	defer a.unlock()
	return a.pauser.Report(now)
}

// MergeNotices applies what upstreams have said to another gateway, and reports whether there is news among it.
func (a *Admitter) MergeNotices(now time.Time, reported map[identifier.Upstream]federator.UpstreamNotice) bool {
	a.mu.Lock()
	defer a.unlock()
	known := map[identifier.Upstream]federator.UpstreamNotice{}
	for id, notice := range reported {
		if _, found := a.upstreams[id]; found {
			known[id] = notice
		}
	}
	return a.pauser.Merge(now, known)
}
