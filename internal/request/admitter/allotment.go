package admitter

import (
	"math"
	"time"

	"currantledge.example/currantledge/internal/request/apportioner"
	"currantledge.example/currantledge/internal/version/timekeeper"
)

const (
	// allotInterval is the shortest time between two allotments. The counts of peers may be this old, so the free slots that
	// all gateways see are divided only once within this time.
	allotInterval = 200 * time.Millisecond
	// minShareDivisor sets the number of slots that a gateway may always use: an equal share of all slots, divided by this
	// number. With it, a gateway whose clients arrive late gets slots while the others are busy.
	minShareDivisor = 4
	// onTimeReserve is the share of the capacity that late requests leave to those that can still be on time. A request
	// holds its slot for seconds: without a reserve, a request that can be on time waits too long for the next free slot
	// while the backlog of an outage is served.
	onTimeReserve = 0.1
	// lateDivisor is the number of allotments over which the capacity for late requests is spread, if there are other
	// gateways: the counts of those in other failure domains are several allotments old.
	lateDivisor = 3
	// minCapacity is the share of the slots that is used in any case, and until the first pass of a group that has opened.
	minCapacity = 0.25
	// maxTurnover is the largest share of its running requests that a gateway gives up in one allotment: what it knows of the
	// others is up to three allotments old.
	maxTurnover = 0.5
)

// allotment limits the requests that this gateway runs at a group. Near saturation all gateways see the same few free
// slots, some hundred milliseconds late; if each gateway took all of them, ranks would receive several times what they
// can run. A gateway may refill the slots that its own requests free. Of the free slots of each rank it takes a share
// equal to its share of the running requests, but at least that of one gateway, and none beyond the capacity of the group.
type allotment struct {
	// limit is the number of requests that the gateway may run, over all ranks.
	limit int
	// late is the number of late requests that may still start before the next allotment. They start only within the capacity
	// that requests which can be on time leave free: a gateway has few slots when it is one of many, so a reserve of its own
	// would be less than a slot.
	late int
	// capacity is the number of requests that may run on the group, over all gateways.
	capacity float64
	// byNeed is set if limit follows from what waits at all gateways, and part is limit before rounding and without the
	// least number of slots.
	byNeed bool
	part   float64
	// computedAt is zero until the first allotment since the group opened.
	computedAt time.Time
}

// allows reports whether one more request may run beside the running ones. It allows any before the first allotment, and
// any without running requests.
func (l *allotment) allows(running int, late bool) bool {
	if l.computedAt.IsZero() || running == 0 {
		return true
	}
	return running < l.limit && (!late || l.late > 0)
}

// allot recomputes the allotment of a group from the counts of peers, at most once per allotInterval.
func (a *Admitter) allot(now time.Time, s *service, g *group) {
	if s.Engine == nil || now.Sub(g.allotment.computedAt) < allotInterval {
		return
	}
	isRestricted := !a.isUnrestricted(now)
	usable := make([]*upstream, 0, len(g.upstreams))
	slots, usableSlots, free, own, peers, elsewhere := 0, 0, 0, 0, 0, 0
	for _, u := range g.upstreams {
		u.limit = 0
		if !u.isUsable || isRestricted && !a.allows(now, u) {
			elsewhere += u.running
			continue
		}
		usable = append(usable, u)
		own += u.running
		peers += u.peerRunning
		slots += u.Slots
		if isRestricted {
			usableSlots += a.usableSlots(s, u)
		} else {
			usableSlots += u.Slots
		}
		free += u.freeSlots()
	}
	g.allotment = allotment{computedAt: now}
	if len(usable) == 0 {
		return
	}
	running := float64(own + peers)
	g.load = running / float64(len(usable))
	capacity := s.capacity(g, slots, len(usable))
	g.allotment.capacity = capacity
	if a.needIsKnown(now, s) {
		a.allotByNeed(s, g, usable, apportioner.Input{
			Capacity: capacity, Free: free, OwnRunning: own, PeerRunning: peers,
			LateRoom: max(0, min(capacity, float64(usableSlots))*(1-onTimeReserve)-running),
		})
		g.allotment.limit += elsewhere
		return
	}
	share := 1 / float64(a.gateways)
	if running > 0 {
		share = max(share, float64(own)/running)
	}
	// Beyond the capacity, no free slots are used, and each gateway reduces its requests in proportion.
	used := max(0, min(1, (capacity-running)/float64(max(free, 1))))
	limit := 0
	for _, u := range usable {
		u.limit = u.running + a.round(share*used*float64(u.freeSlots()))
		limit += u.limit
	}
	if running > capacity {
		limit = a.round(float64(own) * capacity / running)
	}
	limit = a.ensureMinShare(usable, capacity, limit)
	late := max(0, min(capacity, float64(usableSlots))*(1-onTimeReserve)-running) * share
	if a.gateways > 1 {
		late /= lateDivisor
	}
	g.allotment.limit, g.allotment.late = limit+elsewhere, a.round(late)
}

// allotByNeed computes the allotment of a group from what waits at all gateways.
func (a *Admitter) allotByNeed(s *service, g *group, usable []*upstream, in apportioner.Input) {
	in.Gateways, in.Reporting = a.gateways, 1+s.peerWaiting.gateways
	in.Turnover = min(maxTurnover, allotInterval.Seconds()/s.serviceTime.Seconds())
	ratio := a.groupShare(s, g)
	in.OwnWaiting, in.PeerWaiting = s.ownWaiting.Scaled(ratio), s.peerWaiting.requests.Scaled(ratio)
	part := apportioner.Apportion(in)
	g.allotment.byNeed, g.allotment.part = true, part.Limit
	limit := a.round(part.Limit)
	a.spreadGrowth(usable, min(limit-in.OwnRunning, in.Free), in.Free)
	late := part.Late
	if a.gateways > 1 {
		late /= lateDivisor
	}
	g.allotment.limit, g.allotment.late = a.ensureMinShare(usable, in.Capacity, limit), a.round(late)
}

// spreadGrowth sets the limits of ranks to their running requests and some more slots, spread in proportion to the free
// slots of each from a random one on.
func (a *Admitter) spreadGrowth(usable []*upstream, slots, free int) {
	interval := float64(free) / float64(max(slots, 1))
	next, seen := a.cfg.Draw()*interval, 0
	for _, u := range usable {
		u.limit = u.running
		seen += u.freeSlots()
		for ; slots > 0 && next < float64(seen); next += interval {
			u.limit++
			slots--
		}
	}
}

// ensureMinShare raises a limit over all ranks to the number of slots that the gateway may always use.
func (a *Admitter) ensureMinShare(usable []*upstream, capacity float64, limit int) int {
	missing := max(int(capacity)/a.gateways/minShareDivisor, 1) - limit
	if missing <= 0 {
		return limit
	}
	a.raiseLimits(usable, missing)
	return limit + missing
}

// raiseLimits spreads a number of slots over upstreams, from a random one on.
func (a *Admitter) raiseLimits(upstreams []*upstream, slots int) {
	first := int(a.cfg.Draw() * float64(len(upstreams)))
	for i := range upstreams {
		extra := slots / len(upstreams)
		if i < slots%len(upstreams) {
			extra++
		}
		upstreams[(first+i)%len(upstreams)].limit += extra
	}
}

// capacity returns the number of requests that may run on a group, over all gateways: as many as the ranks have slots, or
// fewer if the gaps between the events of streams would exceed their target.
func (s *service) capacity(g *group, slots, ranks int) float64 {
	if s.gapTarget <= 0 {
		return float64(slots)
	}
	base, perRank := s.baseLoad(), float64(slots)/float64(ranks)
	load, known := g.timekeeper.MaxLoad(s.gapTarget, s.serviceTime, timekeeper.LoadRange{
		Base: base, Least: base + minCapacity*perRank, Most: base + perRank,
	})
	switch {
	case known:
		return float64(ranks) * min(load-base, perRank)
	case !g.openedAt.IsZero() && !g.hasPassed:
		return minCapacity * float64(slots)
	default:
		return float64(slots)
	}
}

// round rounds a number up or down at random, so that the mean over many gateways is kept.
func (a *Admitter) round(x float64) int {
	return int(math.Floor(x + a.cfg.Draw()))
}
