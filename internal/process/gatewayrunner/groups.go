package gatewayrunner

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/federator"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/request/admitter"
	"currantledge.example/currantledge/internal/version/cataloguer"
)

// groupStates applies the group states that the leader of the expert maps observes to the admitter. Only changes of a
// state are applied: a report is some hundred milliseconds old, so a rejection by an upstream in the meantime is newer.
type groupStates struct {
	admitter *admitter.Admitter
	mu       sync.Mutex
	open     map[identifier.GroupID]bool
	// openings counts, for each group, how often requests of this gateway showed that it works again.
	openings map[identifier.GroupID]uint64
	// slowings counts, for each group, how often streams of this gateway showed that its passes have become slower.
	slowings map[identifier.GroupID]uint64
}

func newGroupStates(a *admitter.Admitter) *groupStates {
	return &groupStates{
		admitter: a, open: map[identifier.GroupID]bool{}, openings: map[identifier.GroupID]uint64{},
		slowings: map[identifier.GroupID]uint64{},
	}
}

// countOpening records that requests of this gateway showed that a closed group works again.
func (g *groupStates) countOpening(id identifier.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.openings[id]++
}

// openingCounts returns a copy of the counts that the gateway sends to its peers.
func (g *groupStates) openingCounts() map[identifier.GroupID]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.openings)
}

// countSlowing records that streams of this gateway showed that the passes of a group have become slower.
func (g *groupStates) countSlowing(id identifier.GroupID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slowings[id]++
}

// slowingCounts returns a copy of the counts that the gateway sends to its peers.
func (g *groupStates) slowingCounts() map[identifier.GroupID]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.slowings)
}

// observe records whether a group is open, and notifies the admitter if that has changed.
func (g *groupStates) observe(id identifier.GroupID, open bool) {
	g.mu.Lock()
	was, known := g.open[id]
	g.open[id] = open
	g.mu.Unlock()
	if known && was == open {
		return
	}
	if open {
		g.admitter.GroupOpened(time.Now(), id)
		return
	}
	g.admitter.GroupClosed(time.Now(), id)
}

// retain forgets the groups that none of the upstreams belongs to.
func (g *groupStates) retain(upstreams []cataloguer.Upstream) {
	known := map[identifier.GroupID]bool{}
	for _, u := range upstreams {
		known[identifier.GroupID{Service: u.Service}] = true
		known[identifier.GroupID{Service: u.Service, Group: u.Group}] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.open, func(id identifier.GroupID, _ bool) bool { return !known[id] })
	maps.DeleteFunc(g.openings, func(id identifier.GroupID, _ uint64) bool { return !known[id] })
	maps.DeleteFunc(g.slowings, func(id identifier.GroupID, _ uint64) bool { return !known[id] })
}

// states returns a copy of the last observed states: whether each group is open.
func (g *groupStates) states() map[identifier.GroupID]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.open)
}

// publishGroups publishes the metrics by group.
func (g *gateway) publishGroups() {
	byGroup := func(value func(admitter.GroupStatus) float64) func() map[string]float64 {
		return func() map[string]float64 {
			out := map[string]float64{}
			for id, status := range g.admitter.Groups() {
				out[groupLabel(id)] = value(status)
			}
			return out
		}
	}
	g.meter.SetGauges(meter.GroupOpen, byGroup(func(s admitter.GroupStatus) float64 {
		if s.Open {
			return 1
		}
		return 0
	}))
	g.meter.SetGauges(meter.GroupRanks, byGroup(func(s admitter.GroupStatus) float64 { return float64(s.Ranks) }))
	g.meter.SetGauges(meter.GroupRunning, byGroup(func(s admitter.GroupStatus) float64 { return float64(s.Running) }))
	g.meter.SetGauges(meter.GroupLimit, byGroup(func(s admitter.GroupStatus) float64 { return float64(s.Limit) }))
	g.meter.SetGauges(meter.FleetWaiting, func() map[string]float64 {
		out := map[string]float64{}
		for service, waiting := range g.admitter.FleetWaiting(time.Now()) {
			for priority, n := range waiting.OnTime {
				out[fmt.Sprintf("%s/%d/onTime", service, priority)] = float64(n)
			}
			for priority, n := range waiting.Late {
				out[fmt.Sprintf("%s/%d/late", service, priority)] = float64(n)
			}
		}
		return out
	})
	g.meter.SetGauges(meter.FleetWork, func() map[string]float64 {
		out := map[string]float64{}
		for service, waiting := range g.admitter.FleetWaiting(time.Now()) {
			out[string(service)] = waiting.Work.Seconds() * 1000
		}
		return out
	})
	g.meter.SetGauges(meter.GroupSkew, func() map[string]float64 {
		out := map[string]float64{}
		for id, status := range g.leader.Groups() {
			out[groupLabel(id)] = status.Skew
		}
		return out
	})
	g.meter.SetGauges(meter.CountsRead, g.leader.NumbersRead)
	g.meter.SetGauges(meter.GroupMapAge, func() map[string]float64 {
		out := map[string]float64{}
		for id, status := range g.leader.Groups() {
			if !status.SwitchedAt.IsZero() {
				out[groupLabel(id)] = time.Since(status.SwitchedAt).Seconds()
			}
		}
		return out
	})
}

// isGroupBusy reports whether requests run on a group, those of other gateways included. Until the gateway knows the groups
// of a service, all upstreams of the service are one group without a name.
func (g *gateway) isGroupBusy(id identifier.GroupID) bool {
	groups := g.admitter.Groups()
	status, known := groups[id]
	if !known {
		status = groups[identifier.GroupID{Service: id.Service}]
	}
	return status.Running+status.PeerRunning > 0
}

func groupLabel(id identifier.GroupID) string {
	return string(id.Service) + "/" + string(id.Group)
}

const (
	// leaderTimeout is how long no datagram of the leader may arrive before another gateway takes over: three lost
	// datagrams in a row. A group that the leader was holding has to continue before its clients disconnect after 2 s.
	leaderTimeout = 650 * time.Millisecond
	// summaryDelay is the largest usual age of a summary: two rounds between the gateway that it describes and its reader.
	summaryDelay = 400 * time.Millisecond
	// followingDomains is the number of failure domains in which a gateway follows the platform's store. The others
	// receive the rows from them, so that the load on the store does not grow with the fleet.
	followingDomains = 3
)

// domainPeers returns the other gateways of the own failure domain.
func (g *gateway) domainPeers() []federator.Peer {
	return slices.DeleteFunc(g.gossiper.Peers(), func(p federator.Peer) bool {
		return p.FailureDomain != g.settings.FailureDomain
	})
}

// isDead reports whether an incarnation of a gateway has ended, which a later incarnation of the same node shows, or has
// been silent for leaderTimeout.
func (g *gateway) isDead(node identifier.Node, incarnation identifier.Incarnation) bool {
	for _, p := range g.gossiper.Peers() {
		if p.Node == node {
			return p.Incarnation > incarnation || time.Since(p.ReceivedAt) > leaderTimeout
		}
	}
	for _, s := range g.gossiper.Summaries() {
		if l := s.Leader; l != nil && l.Node == node {
			return l.Incarnation > incarnation || time.Since(l.HeardAt) > leaderTimeout+summaryDelay
		}
	}
	return false
}

// shouldFollow reports whether this gateway has to follow the platform's store. It has to if no usable gateway in its
// failure domain precedes it, and fewer than followingDomains domains with a lower name have a usable
// gateway, or if there is no other usable gateway at all. A gateway is usable while it is not silent, is not stopping and
// does not report the store as lost.
func (g *gateway) shouldFollow() bool {
	own := federator.State{Node: g.settings.Node, LinkSpeed: g.settings.LinkSpeed}
	usable, preceding, lowerDomains := 0, 0, 0
	for _, p := range g.domainPeers() {
		if p.Silent || p.StoreLost || p.Stopping {
			continue
		}
		usable++
		if p.Precedes(own) {
			preceding++
		}
	}
	now := time.Now()
	for _, s := range g.gossiper.Summaries() {
		if s.IsSilent(now) || s.Usable == 0 {
			continue
		}
		usable++
		if s.FailureDomain < g.settings.FailureDomain {
			lowerDomains++
		}
	}
	return usable == 0 || preceding == 0 && lowerDomains < followingDomains
}

// peerLeads reports whether another gateway leads and has sent a datagram within leaderTimeout.
func (g *gateway) peerLeads() bool {
	for _, p := range g.gossiper.Peers() {
		if p.Leading && time.Since(p.ReceivedAt) < leaderTimeout {
			return true
		}
	}
	for _, s := range g.gossiper.Summaries() {
		if s.Leader != nil && s.Leader.Node != g.settings.Node && time.Since(s.Leader.HeardAt) < leaderTimeout {
			return true
		}
	}
	return false
}

// hasResigned reports whether another gateway has resigned the lease at this version of its row.
func (g *gateway) hasResigned(version uint64) bool {
	for _, p := range g.gossiper.Peers() {
		if p.Resigned == version {
			return true
		}
	}
	for _, s := range g.gossiper.Summaries() {
		if slices.Contains(s.Resigned, version) {
			return true
		}
	}
	return false
}

// storeAge returns the time since the platform's store last responded to this gateway, or 0 if it never did.
func (g *gateway) storeAge() time.Duration {
	last := g.operatorFollower.LastResponse()
	if at := g.upstreamFollower.LastResponse(); at.After(last) {
		last = at
	}
	if last.IsZero() {
		return 0
	}
	return max(time.Since(last), time.Millisecond)
}

// storeServesPeers reports whether the platform's store has responded to another gateway since a time.
func (g *gateway) storeServesPeers(since time.Time) bool {
	for _, p := range g.domainPeers() {
		if !p.Silent && p.LastStoreResponse().After(since) {
			return true
		}
	}
	now := time.Now()
	for _, s := range g.gossiper.Summaries() {
		if !s.IsSilent(now) && s.StoreRespondedAt.After(since) {
			return true
		}
	}
	return false
}

// platformDown reports whether at least half of the known gateways are not silent and the platform's store has responded
// to none of these since a time.
func (g *gateway) platformDown(since time.Time) bool {
	if g.storeServesPeers(since) {
		return false
	}
	known, live := 0, 0
	for _, p := range g.domainPeers() {
		known++
		if !p.Silent {
			live++
		}
	}
	now := time.Now()
	for _, s := range g.gossiper.Summaries() {
		known += s.Known
		if !s.IsSilent(now) {
			live += s.Live
		}
	}
	return 2*live >= known
}
