package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
)

const (
	// demandWindow is the time constant of the average rate of requests.
	demandWindow = 5 * time.Second
	// minDemandDivisor sets the least share of a gateway in a limit: an equal share, divided by this number. With it, a
	// gateway whose clients arrive late gets some.
	minDemandDivisor = 4
)

// demand is the exponentially weighted rate of requests for a service.
type demand struct {
	perSecond float64
	at        time.Time
}

func (d *demand) record(now time.Time) {
	d.perSecond = d.rate(now) + 1/demandWindow.Seconds()
	d.at = now
}

func (d *demand) rate(now time.Time) float64 {
	if d.perSecond == 0 {
		return 0
	}
	return d.perSecond * math.Exp(-now.Sub(d.at).Seconds()/demandWindow.Seconds())
}

// peerDemand is the rate of requests for a service at other gateways.
type peerDemand struct {
	perSecond float64
	// gateways is the number of gateways that the rate includes.
	gateways int
}

// RecordLimit records the rate limit that a response of an upstream names, or that it names none. It reports whether that
// is news.
func (a *Admitter) RecordLimit(now time.Time, id identifier.Upstream, limited bool, perSecond float64) bool {
	a.mu.Lock()
	defer a.unlock()
	return a.limiter.Record(now, id, limited, perSecond)
}

// MergeLimits applies the rate limits that another gateway knows and returns the upstreams for which that is news.
func (a *Admitter) MergeLimits(now time.Time, reported map[identifier.Upstream]federator.UpstreamLimit) []identifier.Upstream {
	a.mu.Lock()
	defer a.unlock()
	known := map[identifier.Upstream]federator.UpstreamLimit{}
	for id, r := range reported {
		if _, found := a.upstreams[id]; found {
			known[id] = r
		}
	}
	return a.limiter.Merge(now, known)
}

// Limits returns the rate limits of upstreams, and the demand for the services that have limited upstreams.
func (a *Admitter) Limits(now time.Time) (map[identifier.Upstream]federator.UpstreamLimit, map[identifier.Service]float64) {
	a.mu.Lock()
	defer a.unlock()
	demands := map[identifier.Service]float64{}
	for id, u := range a.upstreams {
		if _, limited := a.limiter.Limit(id); limited {
			demands[u.Service] = a.service(u.Service).demand.rate(now)
		}
	}
	return a.limiter.Report(), demands
}

// SetPeerDemand replaces the sums of the demands of other gateways. gateways is the number of gateways in each sum.
func (a *Admitter) SetPeerDemand(sums map[identifier.Service]float64, gateways int) {
	a.mu.Lock()
	defer a.unlock()
	for name, s := range a.services {
		s.peerDemand = peerDemand{perSecond: sums[name], gateways: gateways}
		if _, reported := sums[name]; !reported {
			s.peerDemand = peerDemand{}
		}
	}
}

// demandShare returns the share of this gateway in the demand for a service. Gateways whose demand is not known count as
// the average of the others.
func (a *Admitter) demandShare(now time.Time, s *service) float64 {
	least := 1 / float64(a.gateways)
	own := s.demand.rate(now)
	known := own + s.peerDemand.perSecond
	if known == 0 {
		return least
	}
	total := known * float64(max(a.gateways, 1+s.peerDemand.gateways)) / float64(1+s.peerDemand.gateways)
	return max(own/total, least/minDemandDivisor)
}

// usableSlots returns the number of requests that an upstream can run at a time: its slots, or fewer if its rate limit does
// not fill them.
func (a *Admitter) usableSlots(s *service, u *upstream) int {
	perSecond, limited := a.limiter.Limit(u.ID)
	if !limited {
		return u.Slots
	}
	return min(u.Slots, max(1, int(math.Ceil(perSecond*s.serviceTime.Seconds()))))
}
