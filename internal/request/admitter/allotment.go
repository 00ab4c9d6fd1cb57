package admitter

import "time"

const (
	// allotInterval is how old the counts of peers may be. Within it, the free slots that all gateways see are dealt once.
	allotInterval = 200 * time.Millisecond
	// leastShare divides a gateway's equal share of the slots into what it may always use, so that one whose clients come
	// late gets slots while the others are busy.
	leastShare = 4
	// onTimeReserve is the share of the slots that requests which are late already leave to those that can be on time. A
	// request holds its slot for seconds: without a reserve, one that can be on time waits too long for the next free
	// slot while the backlog of an outage is served. Ranks with fewer requests are faster, so little is lost by it.
	onTimeReserve = 0.06
)

// allotment bounds the requests that this gateway runs at a group. Near saturation all gateways see the same few free
// slots, some hundred milliseconds late; if each took them, ranks would get several times what they can run. A gateway
// may fill the slots that its own requests leave, and takes of the free slots of each rank a part like its part of the
// load.
type allotment struct {
	limit int
	// free is the share of the slots that are free over all gateways.
	free  float64
	dealt time.Time
}

// takes tells whether one more request may run beside those that do. Before the first count of peers there is no bound.
func (l *allotment) takes(running int, late bool) bool {
	if !late || l.dealt.IsZero() || running == 0 {
		return true
	}
	return float64(running+1) <= float64(l.limit)*(1-onTimeReserve) && l.free > onTimeReserve
}

// allot deals the free slots of a service if the counts of peers are new.
func (a *Admitter) allot(now time.Time, s *service) {
	if s.Engine == nil || now.Sub(s.allotment.dealt) < allotInterval {
		return
	}
	var usable []*upstream
	total, own, peers := 0, 0, 0
	for _, u := range a.upstreams {
		if u.Service != s.Name {
			continue
		}
		own += u.running
		peers += u.peers
		u.limit = 0
		if a.usable(u) {
			usable = append(usable, u)
			total += u.Slots
		}
	}
	share := 1 / float64(a.gateways)
	if running := own + peers; running > 0 {
		share = max(share, float64(own)/float64(running))
	}
	limit := 0
	for _, u := range usable {
		free := max(u.Slots-u.running-u.peers, 0)
		u.limit = u.running + int(share*float64(free)+a.cfg.Draw())
		limit += u.limit
	}
	least := max(total/a.gateways/leastShare, 1)
	for ; limit < least && len(usable) > 0; limit++ {
		usable[int(a.cfg.Draw()*float64(len(usable)))].limit++
	}
	s.allotment = allotment{limit: limit, free: float64(total-own-peers) / float64(max(total, 1)), dealt: now}
}
