// Package pauser decides when an upstream that has rejected requests gets the next ones. It answers two loads: an upstream
// names a time for which it wants no requests, and an upstream with free slots rejects what it gets. Since a rejection
// takes no time, such an upstream seems to be the least loaded, and would draw the requests and retries of all gateways.
//
// After a pause one request is tried; the upstream gets others once that one has been accepted. What other gateways have
// heard of an upstream is advice only: it decides between upstreams that can accept a request.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package pauser

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// minPause is the first pause after a rejection that names none. It doubles with each further one up to maxPause.
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
	// maxNamedPause bounds the pause that an upstream names. A mistake there takes it out of use for this long.
	maxNamedPause = 5 * time.Minute
	// spreadDivisor sets the part of a pause by which its end is delayed at random, so that gateways return at different
	// times. maxSpread bounds the delay.
	spreadDivisor = 8
	maxSpread     = 500 * time.Millisecond
	// maxAdvice is how long a notice of another gateway counts.
	maxAdvice = 10 * time.Second
	// acceptedLife is how long the end of a pause is remembered, so that a late notice of the pause does not count.
	acceptedLife = 2 * time.Second
	// refreshAge is how much newer a notice has to be to count. A copy that returns from another gateway appears newer by
	// its time on the network.
	refreshAge = 100 * time.Millisecond
	// maxReported bounds the notices in a report, which a datagram has to hold.
	maxReported = 256
)

// Config sets up a Pauser.
type Config struct {
	// Draw returns uniform random numbers in [0, 1); math/rand/v2 if it is nil.
	Draw func() float64
}

// pause is the state of an upstream that has rejected a request and not accepted one since.
type pause struct {
	// until is the end of the pause, and length the pause after a rejection that names none.
	until  time.Time
	length time.Duration
	// rejectedAt is when the upstream last rejected a request.
	rejectedAt time.Time
	// named is set if the upstream has named the pause.
	named bool
	// tried is the number of requests that run on the upstream since the end of the pause.
	tried int
}

// Pauser holds the pauses of upstreams as one gateway knows them.
type Pauser struct {
	draw   func() float64
	pauses map[identifier.Upstream]*pause
	// notices holds the latest notice of each upstream, heard from it or from another gateway.
	notices map[identifier.Upstream]federator.UpstreamNotice
}

// New returns a Pauser without pauses.
func New(cfg Config) *Pauser {
	if cfg.Draw == nil {
		cfg.Draw = rand.Float64
	}
	return &Pauser{
		draw: cfg.Draw, pauses: map[identifier.Upstream]*pause{}, notices: map[identifier.Upstream]federator.UpstreamNotice{},
	}
}

// Clone returns an independent copy that draws from another source.
func (p *Pauser) Clone(draw func() float64) *Pauser {
	out := New(Config{Draw: draw})
	for id, known := range p.pauses {
		copied := *known
		out.pauses[id] = &copied
	}
	maps.Copy(out.notices, p.notices)
	return out
}

// Reject records that an upstream has rejected a request, and the pause that it has named, or 0. Of two pauses the later
// end counts.
func (p *Pauser) Reject(now time.Time, id identifier.Upstream, named time.Duration) {
	known, found := p.pauses[id]
	if !found {
		known = &pause{}
		p.pauses[id] = known
	}
	known.rejectedAt = now
	known.length = min(max(2*known.length, minPause), maxPause)
	length := known.length
	if named > 0 {
		length = min(named, maxNamedPause)
	}
	if end := now.Add(length + p.spread(length)); end.After(known.until) {
		known.until, known.named = end, named > 0
	}
	p.notices[id] = federator.UpstreamNotice{Until: known.until, At: now, Leaving: p.notices[id].Leaving}
}

func (p *Pauser) spread(length time.Duration) time.Duration {
	return time.Duration(p.draw() * float64(min(length/spreadDivisor, maxSpread)))
}

// Accept records that an upstream has accepted the request that was tried after a pause.
func (p *Pauser) Accept(now time.Time, id identifier.Upstream) {
	if known, found := p.pauses[id]; found && (!known.named || !now.Before(known.until)) {
		delete(p.pauses, id)
	}
	if notice, found := p.notices[id]; found && !notice.Until.IsZero() && p.pauses[id] == nil {
		p.notices[id] = federator.UpstreamNotice{At: now, Leaving: notice.Leaving}
	}
}

// Leave records that an upstream has announced that it leaves, for the other gateways. The announcement counts for the
// caller itself without the Pauser.
func (p *Pauser) Leave(now time.Time, id identifier.Upstream) {
	p.notices[id] = federator.UpstreamNotice{Until: p.notices[id].Until, At: now, Leaving: true}
}

// IsDiscouraged reports whether other gateways have heard that an upstream wants no requests now.
func (p *Pauser) IsDiscouraged(now time.Time, id identifier.Upstream) bool {
	notice, found := p.notices[id]
	return found && now.Sub(notice.At) < maxAdvice && (notice.Leaving || now.Before(notice.Until))
}

// Merge applies the notices that another gateway has and returns the upstreams for which they are news. The news that an
// upstream accepts requests again ends a pause that the upstream has not named.
func (p *Pauser) Merge(now time.Time, reported map[identifier.Upstream]federator.UpstreamNotice) []identifier.Upstream {
	var news []identifier.Upstream
	for id, r := range reported {
		known, found := p.notices[id]
		if r.At.After(now) {
			r.At = now
		}
		if now.Sub(r.At) >= maxAdvice || found && r.At.Sub(known.At) < refreshAge {
			continue
		}
		r.Leaving = r.Leaving || known.Leaving
		if known.Until.IsZero() != r.Until.IsZero() || known.Leaving != r.Leaving {
			news = append(news, id)
		}
		p.notices[id] = r
		if own, paused := p.pauses[id]; paused && !own.named && r.Until.IsZero() && r.At.After(own.rejectedAt) {
			own.until = now
		}
	}
	return news
}

// Report returns the notices that are to be sent to the other gateways, the newest if there are many.
func (p *Pauser) Report(now time.Time) map[identifier.Upstream]federator.UpstreamNotice {
	p.expire(now)
	out := maps.Clone(p.notices)
	if len(out) <= maxReported {
		return out
	}
	ids := slices.SortedFunc(maps.Keys(out), func(x, y identifier.Upstream) int { return out[y].At.Compare(out[x].At) })
	for _, id := range ids[maxReported:] {
		delete(out, id)
	}
	return out
}

// expire removes the notices that no longer count.
func (p *Pauser) expire(now time.Time) {
	maps.DeleteFunc(p.notices, func(_ identifier.Upstream, n federator.UpstreamNotice) bool {
		age := now.Sub(n.At)
		return age >= maxAdvice || !n.Leaving && !now.Before(n.Until) && age >= acceptedLife
	})
}

// Allows reports whether an upstream may get a request now.
func (p *Pauser) Allows(now time.Time, id identifier.Upstream) bool {
	known, found := p.pauses[id]
	return !found || !now.Before(known.until) && known.tried == 0
}

// IsEmpty reports whether no upstream has a pause.
func (p *Pauser) IsEmpty() bool {
	return len(p.pauses) == 0
}

// Until returns the end of the pause that an upstream has named; zero if it has named none or the pause has ended.
func (p *Pauser) Until(now time.Time, id identifier.Upstream) time.Time {
	if known, found := p.pauses[id]; found && known.named && now.Before(known.until) {
		return known.until
	}
	return time.Time{}
}

// Take records that an upstream gets a request, and reports whether that is the one tried after a pause. If so, Release has
// to be called at its end.
func (p *Pauser) Take(id identifier.Upstream) bool {
	known, found := p.pauses[id]
	if found {
		known.tried++
	}
	return found
}

// Release records the end of a request for which Take reported true.
func (p *Pauser) Release(id identifier.Upstream) {
	if known, found := p.pauses[id]; found && known.tried > 0 {
		known.tried--
	}
}

// Forget removes the pause of an upstream that has started again.
func (p *Pauser) Forget(id identifier.Upstream) {
	delete(p.pauses, id)
	delete(p.notices, id)
}

// Retain removes the pauses of upstreams for which keep returns false.
func (p *Pauser) Retain(keep func(identifier.Upstream) bool) {
	maps.DeleteFunc(p.pauses, func(id identifier.Upstream, _ *pause) bool { return !keep(id) })
	maps.DeleteFunc(p.notices, func(id identifier.Upstream, _ federator.UpstreamNotice) bool { return !keep(id) })
}
