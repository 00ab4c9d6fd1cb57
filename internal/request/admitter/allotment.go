package admitter

import "time"

const (
	// allotInterval is the shortest time between two allotments. The counts of peers may be this old, so the free slots that
	// all gateways see are divided only once within this time.
	allotInterval = 200 * time.Millisecond
	// minShareDivisor sets the number of slots that a gateway may always use: an equal share of all slots, divided by this
	// number. With it, a gateway whose clients arrive late gets slots while the others are busy.
	minShareDivisor = 4
	// onTimeReserve is the share of the slots that late requests leave to those that can still be on time. A request
	// holds its slot for seconds: without a reserve, a request that can be on time waits too long for the next free slot
	// while the backlog of an outage is served. Ranks with fewer requests are faster, so the reserve costs little
	// throughput.
	onTimeReserve = 0.06
)

// allotment limits the requests that this gateway runs at a group. Near saturation all gateways see the same few free
// slots, some hundred milliseconds late; if each gateway took all of them, ranks would receive several times what they
// can run. A gateway may refill the slots that its own requests free. Of the free slots of each rank it takes a share
// equal to its share of the running requests, but at least that of one gateway.
type allotment struct {
	// limit is the number of requests that the gateway may run, over all ranks.
	limit int
	// freeShare is the share of the slots that no gateway uses.
	freeShare float64
	// computedAt is zero until the first allotment since the group opened.
	computedAt time.Time
}

// allows reports whether one more request may run beside the running ones. It limits only late requests, and none before
// the first allotment or without running requests. Requests that can be on time are limited only by the limit of each
// rank.
func (l *allotment) allows(running int, late bool) bool {
	if !late || l.computedAt.IsZero() || running == 0 {
		return true
	}
	return float64(running+1) <= float64(l.limit)*(1-onTimeReserve) && l.freeShare > onTimeReserve
}

// allot recomputes the allotment of a group from the counts of peers, at most once per allotInterval.
func (a *Admitter) allot(now time.Time, s *service, g *group) {
	if s.Engine == nil || now.Sub(g.allotment.computedAt) < allotInterval {
		return
	}
	var usable []*upstream
	total, own, peers := 0, 0, 0
	for _, u := range a.upstreams {
		if u.group != g {
			continue
		}
		own += u.running
		peers += u.peerRunning
		u.limit = 0
		if a.usable(u) && a.pauser.Allows(now, u.ID) {
			usable = append(usable, u)
			total += a.usableSlots(s, u)
		}
	}
	g.load = float64(own+peers) / float64(max(len(usable), 1))
	share := 1 / float64(a.gateways)
	if running := own + peers; running > 0 {
		share = max(share, float64(own)/float64(running))
	}
	limit := 0
	for _, u := range usable {
		free := max(u.Slots-u.running-u.peerRunning, 0)
		u.limit = u.running + int(share*float64(free)+a.cfg.Draw())
		limit += u.limit
	}
	minLimit := max(total/a.gateways/minShareDivisor, 1)
	for ; limit < minLimit && len(usable) > 0; limit++ {
		usable[int(a.cfg.Draw()*float64(len(usable)))].limit++
	}
	g.allotment = allotment{limit: limit, freeShare: float64(total-own-peers) / float64(max(total, 1)), computedAt: now}
}
