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
}

func newGroupStates(a *admitter.Admitter) *groupStates {
	return &groupStates{admitter: a, open: map[identifier.Service]bool{}}
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
	g.admitter.GroupBroken(time.Now(), s)
}

func (g *groupStates) all() map[identifier.Service]bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.open)
}

// dead tells whether an incarnation of a gateway has ended: a later one of the same node was heard.
func (g *gateway) dead(node identifier.Node, incarnation identifier.Incarnation) bool {
	for _, p := range g.gossiper.Peers() {
		if p.Node == node {
			return p.Incarnation > incarnation
		}
	}
	return false
}

// leaderHeard tells whether another gateway leads and was heard lately.
func (g *gateway) leaderHeard() bool {
	for _, p := range g.gossiper.Peers() {
		if p.Leading && !p.Silent {
			return true
		}
	}
	return false
}
