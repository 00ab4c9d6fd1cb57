package gatewayrunner

import (
	"maps"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/request/admitter"
)

// groupStates passes on what the leader of the expert maps sees of the groups. Only changes count: a report is some
// hundred milliseconds old, and an upstream's own rejection in between is newer.
type groupStates struct {
	admitter *admitter.Admitter
	mu       sync.Mutex
	open     map[identifier.Service]bool
	// counts holds how often requests of this gateway showed that a closed group works again.
	counts map[identifier.Service]uint64
}

func newGroupStates(a *admitter.Admitter) *groupStates {
	return &groupStates{admitter: a, open: map[identifier.Service]bool{}, counts: map[identifier.Service]uint64{}}
}

// opened notes that requests of this gateway showed that the group of a service works again.
func (g *groupStates) opened(s identifier.Service) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.counts[s]++
}

func (g *groupStates) openings() map[identifier.Service]uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.counts)
}

// seen notes whether the group of a service works.
func (g *groupStates) seen(s identifier.Service, open bool) {
	g.mu.Lock()
	was, known := g.open[s]
	g.open[s] = open
	g.mu.Unlock()
	if known && was == open {
		return
	}
	if open {
		g.admitter.GroupOpened(time.Now(), s)
		return
	}
	g.admitter.GroupClosed(time.Now(), s)
}

func (g *groupStates) all() map[identifier.Service]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.open)
}

// leaderSilence is how long the leader may be silent before another gateway takes over: three lost datagrams in a row.
// A group that the leader was holding has to go on before clients leave after 2 s.
const leaderSilence = 650 * time.Millisecond

// dead tells whether an incarnation of a gateway has ended, since a later one of the same node was heard, or is silent.
func (g *gateway) dead(node identifier.Node, incarnation identifier.Incarnation) bool {
	for _, p := range g.gossiper.Peers() {
		if p.Node == node {
			return p.Incarnation > incarnation || time.Since(p.ReceivedAt) > leaderSilence
		}
	}
	return false
}

// readersPerDomain is the number of gateways of a failure domain that follow the platform: two, so that the death of one
// delays no change. The others get the rows from them, which keeps the calls of the store independent of the size of the
// fleet.
const readersPerDomain = 2

// reads tells whether this gateway follows the platform: it is one of the first of its failure domain that the platform
// answers, or knows of no gateway that it answers.
func (g *gateway) reads() bool {
	before, readers := 0, 0
	for _, p := range g.gossiper.Peers() {
		if p.Silent || p.StoreLost || p.Stopping {
			continue
		}
		readers++
		if p.FailureDomain == g.settings.FailureDomain && p.Node < g.settings.Node {
			before++
		}
	}
	return before < readersPerDomain || readers == 0
}

// leaderHeard tells whether another gateway leads and was heard lately.
func (g *gateway) leaderHeard() bool {
	for _, p := range g.gossiper.Peers() {
		if p.Leading && time.Since(p.ReceivedAt) < leaderSilence {
			return true
		}
	}
	return false
}

// resigned tells whether a peer has given up this version of the lease.
func (g *gateway) resigned(version uint64) bool {
	for _, p := range g.gossiper.Peers() {
		if p.Resigned == version {
			return true
		}
	}
	return false
}

// storeAge returns the time since the platform last answered this gateway, or 0 if it never did.
func (g *gateway) storeAge() time.Duration {
	last := g.operators.LastResponse()
	if at := g.upstreams.LastResponse(); at.After(last) {
		last = at
	}
	if last.IsZero() {
		return 0
	}
	return max(time.Since(last), time.Millisecond)
}

// othersServed tells whether the platform has answered a peer since a time.
func (g *gateway) othersServed(since time.Time) bool {
	for _, p := range g.gossiper.Peers() {
		if !p.Silent && p.LastStoreResponse().After(since) {
			return true
		}
	}
	return false
}

// nobodyServed tells whether most of the known peers were heard lately and the platform has answered none of them since a
// time.
func (g *gateway) nobodyServed(since time.Time) bool {
	heard := 0
	peers := g.gossiper.Peers()
	for _, p := range peers {
		switch {
		case p.Silent:
		case p.LastStoreResponse().After(since):
			return false
		default:
			heard++
		}
	}
	return 2*heard >= len(peers)
}
