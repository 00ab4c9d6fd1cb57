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
	// maxUpstreams bounds the number of upstreams of a group or service that an entry links to.
	maxUpstreams = 24
	// maxPeers bounds the number of entries that an entry links to in addition to the peers in its settings.
	maxPeers = 8
	// newsFanout is the number of peers that receive the gossip of a round while there is news: a new revision of the
	// configuration, or a newly known crash of an upstream.
	newsFanout = 4
	// idleFanout is the number of peers that receive the gossip of a round without news. These rounds refresh the state
	// that peers hold of nodes to which they have no link.
	idleFanout = 1
	// maxGossipNodes bounds the number of nodes in a message, so that the traffic does not grow with the fleet. Four
	// messages per second with 32 nodes each would use 33 KB/s of an entry.
	maxGossipNodes = 16
	// gossipInterval is the time between two rounds without news, newsInterval while there is news.
	gossipInterval = time.Second
	newsInterval   = 250 * time.Millisecond
	// newsRounds is the number of rounds in which news is sent: enough to reach 320 entries with a fanout of 4.
	newsRounds = 6
	// dialInterval is the maximum time between two updates of the set of links.
	dialInterval = time.Second
)

// peers holds the links to other entries and the rate of gossip to them. It is safe for concurrent use.
type peers struct {
	mu    sync.Mutex
	links map[*linker.Link]bool
	// newsRoundsLeft is the number of rounds in which the current news is still sent.
	newsRoundsLeft int
	// wake starts the next round immediately.
	wake chan struct{}
}

func newPeers() *peers {
	return &peers{links: map[*linker.Link]bool{}, wake: make(chan struct{}, 1)}
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
	return p.sample(math.MaxInt)
}

// sample returns at most n links, chosen at random.
func (p *peers) sample(n int) []*linker.Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]*linker.Link, 0, len(p.links))
	for l := range p.links {
		out = append(out, l)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

// startNewsRounds makes gossip more frequent for newsRounds rounds and starts the first of them immediately.
func (p *peers) startNewsRounds() {
	p.mu.Lock()
	p.newsRoundsLeft = newsRounds
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// nextRound begins a round. It returns the number of peers to send to now and the time to the next round.
func (p *peers) nextRound() (fanout int, next time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.newsRoundsLeft > 0 {
		p.newsRoundsLeft--
		return newsFanout, newsInterval
	}
	return idleFanout, gossipInterval
}

// gossip sends the state that this entry knows to random peers in rounds until ctx ends.
func (e *Entry) gossip(ctx context.Context) error {
	for {
		fanout, next := e.peers.nextRound()
		for _, l := range e.peers.sample(fanout) {
			if err := l.Send(e.gossipMessage()); err != nil {
				l.Close("control stream does not accept messages")
			}
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-e.peers.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

// gossipMessage returns the message of a round: the revision, some of the known nodes and the suspicions.
func (e *Entry) gossipMessage() messenger.Gossip {
	now := time.Now()
	e.nodes.Observe(now, e.ownSummary())
	return messenger.Gossip{
		Revision: e.store.Revision(), Nodes: e.nodes.Summaries(now, maxGossipNodes), Suspicions: e.suspects.list(),
	}
}

// ownSummary returns the summary of this entry.
func (e *Entry) ownSummary() messenger.NodeSummary {
	return messenger.NodeSummary{
		Node: e.settings.Node, Role: identifier.RoleEntry, FailureDomain: e.settings.FailureDomain,
		Address: e.settings.Advertise, Incarnation: e.incarnation, Revision: e.store.Revision(),
	}
}

// maintainLinks keeps links to the agents of upstreams and to other entries until ctx ends.
func (e *Entry) maintainLinks(ctx context.Context) error {
	states := map[identifier.Node]registrar.State{}
	for {
		revision := e.store.Revision()
		e.logStateChanges(states)
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

// logStateChanges logs the nodes whose state differs from the last logged one, and updates last.
func (e *Entry) logStateChanges(last map[identifier.Node]registrar.State) {
	for _, n := range e.nodes.Nodes(time.Now()) {
		if last[n.Node] == n.State || n.Node == e.settings.Node {
			continue
		}
		last[n.Node] = n.State
		e.log.RecordDecision(logger.Decision{
			Event: logger.EventNodeState, Choice: string(n.State), Reason: n.Reason,
			Fields: []logger.Field{{Name: "peer", Value: string(n.Node)}},
		})
	}
}

// agentAddresses returns the addresses of the agents to link to: all agents of a small group or service, a fixed subset
// of a large one.
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

// entryAddresses returns the addresses of the entries to link to: the peers in the settings, and up to maxPeers of the
// entries known from gossip, chosen by rendezvous hashing.
func (e *Entry) entryAddresses() []string {
	selected := map[string]bool{}
	var known []string
	for _, n := range e.nodes.Nodes(time.Now()) {
		if n.Role == identifier.RoleEntry && n.State != registrar.StateGone && n.Address != "" {
			known = append(known, n.Address)
		}
	}
	self := e.settings.Advertise
	sort.Slice(known, func(i, j int) bool { return router.Weight(self, known[i]) > router.Weight(self, known[j]) })
	for _, address := range append(append([]string(nil), e.settings.Peers...), known...) {
		if address != self && len(selected) < maxPeers+len(e.settings.Peers) {
			selected[address] = true
		}
	}
	out := make([]string, 0, len(selected))
	for address := range selected {
		out = append(out, address)
	}
	return out
}

// serveAccepted handles a link that a peer has opened, until the link is down.
func (e *Entry) serveAccepted(ctx context.Context, link *linker.Link) error {
	switch link.Peer().Role {
	case identifier.RoleEntry:
		return e.serveEntry(ctx, link)
	default:
		return link.Run(ctx, func(m messenger.Message) { e.handleCommon(link, m) })
	}
}

// serveAgent handles a link to an agent, over which requests and credits are sent, until the link is down.
func (e *Entry) serveAgent(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role != identifier.RoleAgent {
		link.Close("not an agent")
		return nil
	}
	e.pool.Add(link)
	defer e.pool.Remove(link)
	requestsDone := make(chan struct{})
	go func() {
		defer close(requestsDone)
		e.dispatcher.ServeLink(ctx, link)
	}()
	err := link.Run(ctx, func(m messenger.Message) { e.handleAgent(link, m) })
	<-requestsDone
	return err
}

// handleAgent handles a control message of an agent.
func (e *Entry) handleAgent(link *linker.Link, m messenger.Message) {
	switch m := m.(type) {
	case messenger.Grant:
		e.dispatcher.HandleGrant(link.Peer().Upstream, m)
		return
	case messenger.Heartbeat:
		e.pool.RecordHeartbeat(link, m)
	}
	e.handleCommon(link, m)
}

// serveEntry handles a link to another entry, over which gossip and explain requests are sent, until the link is down.
func (e *Entry) serveEntry(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role != identifier.RoleEntry {
		link.Close("not an entry")
		return nil
	}
	e.peers.add(link)
	defer e.peers.remove(link)
	go e.serveStreams(ctx, link)
	return link.Run(ctx, func(m messenger.Message) { e.handleCommon(link, m) })
}

// handleCommon handles the control messages that every peer sends.
func (e *Entry) handleCommon(link *linker.Link, m messenger.Message) {
	now := time.Now()
	switch m := m.(type) {
	case messenger.Heartbeat:
		e.observePeer(now, link, m.Revision)
		e.suspects.merge(m.Suspicions)
		e.distributor.ObserveRevision(link, m.Revision)
	case messenger.Gossip:
		e.observePeer(now, link, m.Revision)
		for _, n := range m.Nodes {
			if n.Node != e.settings.Node {
				e.nodes.Observe(now, n)
			}
		}
		e.suspects.merge(m.Suspicions)
		e.distributor.ObserveRevision(link, m.Revision)
	default:
		e.distributor.Handle(link, m)
	}
}

// observePeer records that a message of the peer has arrived on a link.
func (e *Entry) observePeer(now time.Time, link *linker.Link, revision identifier.Revision) {
	p := link.Peer()
	e.nodes.Observe(now, messenger.NodeSummary{
		Node: p.Node, Role: p.Role, FailureDomain: p.FailureDomain, Address: p.Address,
		Incarnation: p.Incarnation, Revision: revision,
	})
}

// announceSuspicions sends the suspicions to agents and entries immediately, so that duplicates of a request that crashes
// upstreams are stopped.
func (e *Entry) announceSuspicions() {
	for _, m := range e.pool.Members() {
		m.Link.TriggerHeartbeat()
	}
	e.peers.startNewsRounds()
}
