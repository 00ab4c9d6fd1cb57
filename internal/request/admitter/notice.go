package admitter

import (
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

// leavingLife is how long an announcement to leave counts if the upstream neither ends nor starts again.
const leavingLife = 10 * time.Minute

// RecordLeaving records that a response of an upstream announces that the upstream leaves. It gets no further requests of
// this gateway unless it starts again, whatever the platform's list says.
func (a *Admitter) RecordLeaving(now time.Time, id identifier.Upstream) {
	a.mu.Lock()
	defer a.unlock()
	u, found := a.upstreams[id]
	if !found || u.isLeaving() {
		return
	}
	u.leavingSince = now
	a.pauser.Leave(now, id)
	a.countRanks()
}

// Notices returns what upstreams have said about further requests, for the other gateways.
func (a *Admitter) Notices(now time.Time) map[identifier.Upstream]federator.UpstreamNotice {
	a.mu.Lock()
	defer a.unlock()
	out := a.pauser.Report(now)
	for id, u := range a.upstreams {
		if u.isLeaving() {
			out[id] = federator.UpstreamNotice{Leaving: true, At: now}
		}
	}
	return out
}

// MergeNotices applies what upstreams have said to another gateway, and returns the upstreams for which that is news.
func (a *Admitter) MergeNotices(now time.Time, reported map[identifier.Upstream]federator.UpstreamNotice) []identifier.Upstream {
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
