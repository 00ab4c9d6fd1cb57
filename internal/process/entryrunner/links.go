package entryrunner

import (
	"context"
	"math"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/registrar"
	"currantledge.example/currantledge/internal/request/router"
)

const (
	// maxUpstreams bounds the upstreams of a group or service that an entry links to.
	maxUpstreams = 24
	// maxPeers bounds the entries that an entry links to by itself.
	maxPeers = 8
	// freshFanout is the number of peers told in a round while there is news.
	freshFanout = 4
	// idleFanout is the number of peers told in a round without news. It renews what peers know of nodes that they are
	// not linked to.
	idleFanout = 1
	// gossipNodes bounds the nodes told in a round, so that traffic does not grow with the fleet. Four messages of 32
	// nodes a second took 33 KB/s of an entry.
	gossipNodes    = 16
	gossipInterval = time.Second
	freshInterval  = 250 * time.Millisecond
	// freshRounds is how many rounds news is fresh, enough to reach 320 entries with a fanout of 4.
	freshRounds  = 6
	dialInterval = time.Second
)

// peers holds the links to other entries.
type peers struct {
	mu    sync.Mutex
	links map[*linker.Link]bool
	fresh int
	news  chan struct{}
}

func newPeers() *peers {
	return &peers{links: map[*linker.Link]bool{}, news: make(chan struct{}, 1)}
}

func (p *peers) add(l *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.links[l] = true
}

func (p *peers) remove(l *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// all returns every link.
func (p *peers) all() []*linker.Link {
	return p.some(math.MaxInt)
}

// some returns up to n links in random order.
func (p *peers) some(n int) []*linker.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*linker.Link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// refresh makes gossip frequent for some rounds and starts the first at once.
func (p *peers) refresh() {
	p.mu.Lock()
	p.fresh = freshRounds
	p.mu.Unlock()
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// round returns the number of peers to tell now and the time to the next round.
func (p *peers) round() (fanout int, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fresh > 0 {
		p.fresh--
		return freshFanout, freshInterval
	}
	return idleFanout, gossipInterval
}

// gossip tells some peers what this entry knows until ctx ends.
func (e *Entry) gossip(ctx context.Context) error {
	for {
		fanout, next := e.peers.round()
		for _, l := range e.peers.some(fanout) {
			if err := l.Send(e.news()); err != nil {
				l.Close("control stream does not accept messages")
			}
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-e.peers.news:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (e *Entry) news() messenger.Gossip {
	now := time.Now()
	e.nodes.Heard(now, e.self())
	return messenger.Gossip{
		Revision: e.store.Revision(), Nodes: e.nodes.Summaries(now, gossipNodes), Suspicions: e.suspects.list(),
	}
}

func (e *Entry) self() messenger.NodeSummary {
	return messenger.NodeSummary{
		Node: e.settings.Node, Role: identifier.RoleEntry, FailureDomain: e.settings.FailureDomain,
		Address: e.settings.Advertise, Incarnation: e.incarnation, Revision: e.store.Revision(),
	}
}

// dial keeps links to the upstreams' agents and to other entries until ctx ends.
func (e *Entry) dial(ctx context.Context) error {
	states := map[identifier.Node]registrar.State{}
	for {
		revision := e.store.Revision()
		e.logStates(states)
		e.agents.SetAddresses(ctx, e.agentAddresses())
		e.entries.SetAddresses(ctx, e.entryAddresses())
		timer := time.NewTimer(dialInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-e.store.Changed(revision):
			timer.Stop()
		case <-timer.C:
		}
	}
}

// logStates logs the nodes whose state differs from the one logged last.
func (e *Entry) logStates(last map[identifier.Node]registrar.State) {
	for _, n := range e.nodes.Nodes(time.Now()) {
		if last[n.Node] == n.State || n.Node == e.settings.Node {
			continue
		}
		last[n.Node] = n.State
		e.log.Decide(logger.Decision{
			Event: logger.EventNodeState, Choice: string(n.State), Reason: n.Reason,
			Fields: []logger.Field{{Name: "peer", Value: string(n.Node)}},
		})
	}
}

// agentAddresses returns the agents to link to: all of a small group or service, a fixed subset of a large one.
func (e *Entry) agentAddresses() []string {
	snapshot := e.store.Snapshot()
	sets := map[string]map[identifier.Upstream]identifier.FailureDomain{}
	for name, u := range snapshot.Upstreams {
		set := string(u.ModelGroup) + "/" + string(u.Service)
		if sets[set] == nil {
			sets[set] = map[identifier.Upstream]identifier.FailureDomain{}
		}
		sets[set][name] = u.FailureDomain
	}
	var out []string
	for _, members := range sets {
		for _, name := range router.Subset(e.settings.Node, e.settings.FailureDomain, members, maxUpstreams) {
			out = append(out, snapshot.Upstreams[name].Address)
		}
	}
	sort.Strings(out)
	return out
}

// entryAddresses returns the peers in the settings and some of the entries learned from gossip.
func (e *Entry) entryAddresses() []string {
	wanted := map[string]bool{}
	var known []string
	for _, n := range e.nodes.Nodes(time.Now()) {
		if n.Role == identifier.RoleEntry && n.State != registrar.StateGone && n.Address != "" {
			known = append(known, n.Address)
		}
	}
	self := e.settings.Advertise
	sort.Slice(known, func(i, j int) bool { return router.Weight(self, known[i]) > router.Weight(self, known[j]) })
	for _, address := range append(append([]string(nil), e.settings.Peers...), known...) {
		if address != self && len(wanted) < maxPeers+len(e.settings.Peers) {
			wanted[address] = true
		}
	}
	out := make([]string, 0, len(wanted))
	for address := range wanted {
		out = append(out, address)
	}
	return out
}

// serveAccepted uses a link that a peer has opened.
func (e *Entry) serveAccepted(ctx context.Context, link *linker.Link) error {
	switch link.Peer().Role {
	case identifier.RoleEntry:
		return e.serveEntry(ctx, link)
	default:
		return link.Run(ctx, func(m messenger.Message) { e.handleAny(link, m) })
	}
}

// serveAgent uses a link to an agent for requests and control.
func (e *Entry) serveAgent(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role != identifier.RoleAgent {
		link.Close("not an agent")
		return nil
	}
	e.pool.Add(link)
	defer e.pool.Remove(link)
	served := make(chan struct{})
	go func() {
		defer close(served)
		e.dispatcher.ServeLink(ctx, link)
	}()
	err := link.Run(ctx, func(m messenger.Message) { e.handleAgent(link, m) })
	<-served
	return err
}

func (e *Entry) handleAgent(link *linker.Link, m messenger.Message) {
	switch m := m.(type) {
	case messenger.Grant:
		e.dispatcher.HandleGrant(link.Peer().Upstream, m)
		return
	case messenger.Heartbeat:
		e.pool.RecordHeartbeat(link, m)
	}
	e.handleAny(link, m)
}

// serveEntry uses a link to another entry for gossip.
func (e *Entry) serveEntry(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role != identifier.RoleEntry {
		link.Close("not an entry")
		return nil
	}
	e.peers.add(link)
	defer e.peers.remove(link)
	go e.serveStreams(ctx, link)
	return link.Run(ctx, func(m messenger.Message) { e.handleAny(link, m) })
}

// handleAny takes the messages that every peer sends.
func (e *Entry) handleAny(link *linker.Link, m messenger.Message) {
	now := time.Now()
	switch m := m.(type) {
	case messenger.Heartbeat:
		e.hear(now, link, m.Revision)
		e.suspects.merge(m.Suspicions)
		e.distributor.ObserveRevision(link, m.Revision)
	case messenger.Gossip:
		e.hear(now, link, m.Revision)
		for _, n := range m.Nodes {
			if n.Node != e.settings.Node {
				e.nodes.Heard(now, n)
			}
		}
		e.suspects.merge(m.Suspicions)
		e.distributor.ObserveRevision(link, m.Revision)
	default:
		e.distributor.Handle(link, m)
	}
}

func (e *Entry) hear(now time.Time, link *linker.Link, revision identifier.Revision) {
	p := link.Peer()
	e.nodes.Heard(now, messenger.NodeSummary{
		Node: p.Node, Role: p.Role, FailureDomain: p.FailureDomain, Address: p.Address,
		Incarnation: p.Incarnation, Revision: revision,
	})
}

// spreadSuspicions tells agents and entries at once, so that the next copy of a crashing request is stopped.
func (e *Entry) spreadSuspicions() {
	for _, m := range e.pool.Members() {
		m.Link.TriggerHeartbeat()
	}
	e.peers.refresh()
}
