// Package limiter keeps the rate limits that upstreams name and spaces the requests of one gateway so that all gateways
// together keep to them. It answers one load: an upstream in need names the requests a second that it takes from the whole
// fleet, while dozens of gateways send to it.
//
// Each gateway gets the share of a limit that it has of the demand. Its requests have slots, spaced evenly from a random
// time on, and a slot that is not used in time is lost: if gateways saved them, a burst at all of them would exceed the
// limit many times.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package limiter

import (
	"maps"
	"math/rand/v2"
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// slotLife is how long a slot can be used.
	slotLife = 500 * time.Millisecond
	// lateDelay is how long a slot is reserved for requests that can still be on time.
	lateDelay = 250 * time.Millisecond
	// minRate is the least rate that is used, so that the end of a limit of nothing at all is noticed.
	minRate = 0.1
	// endedLife is how long the end of a limit is remembered, so that a gateway which was suspended or cut off does not
	// bring the limit back.
	endedLife = time.Minute
	// refreshAge is how much newer a report of the same limit has to be to count. A copy that returns from another gateway
	// appears newer by its time on the network.
	refreshAge = time.Second
)

// Config sets up a Limiter.
type Config struct {
	// Draw returns uniform random numbers in [0, 1); math/rand/v2 if it is nil.
	Draw func() float64
}

// limit is the state of the rate limit of one upstream.
type limit struct {
	federator.UpstreamLimit
	nextSlot time.Time
}

// Limiter holds the rate limits of upstreams as a gateway knows them.
type Limiter struct {
	draw   func() float64
	limits map[identifier.Upstream]*limit
}

// New returns a Limiter without limits.
func New(cfg Config) *Limiter {
	if cfg.Draw == nil {
		cfg.Draw = rand.Float64
	}
	return &Limiter{draw: cfg.Draw, limits: map[identifier.Upstream]*limit{}}
}

// Clone returns an independent copy that draws from another source.
func (l *Limiter) Clone(draw func() float64) *Limiter {
	out := New(Config{Draw: draw})
	for id, known := range l.limits {
		copied := *known
		out.limits[id] = &copied
	}
	return out
}

// Record records what a response of an upstream says: its limit in requests a second, or that it has none. It reports
// whether that is news.
func (l *Limiter) Record(now time.Time, id identifier.Upstream, limited bool, perSecond float64) bool {
	known, found := l.limits[id]
	if !limited && (!found || !known.Limited) {
		return false
	}
	news := !found || known.Limited != limited || known.PerSecond != perSecond
	l.set(id, federator.UpstreamLimit{Limited: limited, PerSecond: perSecond, At: now})
	return news
}

// set applies a newer observation of a limit. The next slot of a limit that was not known is set by Slot.
func (l *Limiter) set(id identifier.Upstream, observed federator.UpstreamLimit) {
	known, found := l.limits[id]
	if !found || !known.Limited {
		l.limits[id] = &limit{UpstreamLimit: observed}
		return
	}
	known.UpstreamLimit = observed
}

// Merge applies the limits that another gateway knows and returns the upstreams for which that is news.
func (l *Limiter) Merge(now time.Time, reported map[identifier.Upstream]federator.UpstreamLimit) []identifier.Upstream {
	var news []identifier.Upstream
	for id, r := range reported {
		known, found := l.limits[id]
		same := found && known.Limited == r.Limited && known.PerSecond == r.PerSecond
		switch {
		case !r.Limited && (!found || now.Sub(r.At) > endedLife):
		case found && !r.At.After(known.At):
		case same && r.At.Sub(known.At) < refreshAge:
		default:
			l.set(id, r)
			if !same {
				news = append(news, id)
			}
		}
	}
	return news
}

// Report returns what is to be sent to the other gateways.
func (l *Limiter) Report() map[identifier.Upstream]federator.UpstreamLimit {
	out := make(map[identifier.Upstream]federator.UpstreamLimit, len(l.limits))
	for id, known := range l.limits {
		out[id] = known.UpstreamLimit
	}
	return out
}

// Limit returns the limit of an upstream in requests a second, and whether it has one.
func (l *Limiter) Limit(id identifier.Upstream) (float64, bool) {
	known, found := l.limits[id]
	if !found || !known.Limited {
		return 0, false
	}
	return max(known.PerSecond, minRate), true
}

// IsEmpty reports whether no limit of an upstream is known.
func (l *Limiter) IsEmpty() bool {
	return len(l.limits) == 0
}

// Allows reports whether this gateway may send a request to an upstream now, given its share of the fleet's demand. late is
// set for a request that can no longer be on time.
func (l *Limiter) Allows(now time.Time, id identifier.Upstream, share float64, late bool) bool {
	perSecond, limited := l.Limit(id)
	if !limited {
		return true
	}
	known := l.limits[id]
	period := time.Duration(float64(time.Second) / (perSecond * share))
	switch age := now.Sub(known.nextSlot); {
	case known.nextSlot.IsZero() || -age > period:
		// The limit is new, or the share has grown since the slot was set.
		known.nextSlot = now.Add(time.Duration(l.draw() * float64(period)))
	case age > slotLife:
		lost := (age-slotLife)/period + 1
		known.nextSlot = known.nextSlot.Add(lost * period)
	}
	if late {
		now = now.Add(-lateDelay)
	}
	return !now.Before(known.nextSlot)
}

// Take uses the slot that Allows has found.
func (l *Limiter) Take(id identifier.Upstream, share float64) {
	if perSecond, limited := l.Limit(id); limited {
		known := l.limits[id]
		known.nextSlot = known.nextSlot.Add(time.Duration(float64(time.Second) / (perSecond * share)))
	}
}

// Retain removes the limits of upstreams for which keep returns false, and ends that are no longer needed.
func (l *Limiter) Retain(now time.Time, keep func(identifier.Upstream) bool) {
	maps.DeleteFunc(l.limits, func(id identifier.Upstream, known *limit) bool {
		return !keep(id) || !known.Limited && now.Sub(known.At) > endedLife
	})
}
