package agentrunner

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/granter"
	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/waiter"
)

// links holds the newest link of each entry.
type links struct {
	mu      sync.Mutex
	byEntry map[identifier.Node]*linker.Link
}

func newLinks() *links {
	return &links{byEntry: map[identifier.Node]*linker.Link{}}
}

func (l *links) add(link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEntry[link.Peer().Node] = link
}

// remove reports whether the link was the current one of its entry.
func (l *links) remove(link *linker.Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	node := link.Peer().Node
	if l.byEntry[node] != link {
		return false
	}
	delete(l.byEntry, node)
	return true
}

func (l *links) post(entry identifier.Node, m messenger.Message) {
	l.mu.Lock()
	link := l.byEntry[entry]
	l.mu.Unlock()
	if link != nil {
		link.Enqueue(m)
	}
}

// beat sends a heartbeat to every entry at once.
func (l *links) beat() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byEntry {
		link.TriggerHeartbeat()
	}
}

func (l *links) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byEntry)
}

// serveLink uses a link that an entry or another agent has opened.
func (a *Agent) serveLink(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role == identifier.RoleEntry {
		a.links.add(link)
		defer a.forget(link)
	}
	if link.Peer().Role == identifier.RoleAgent {
		a.member.add(link)
		defer a.member.remove(link)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var streams sync.WaitGroup
	defer streams.Wait()
	streams.Go(func() { a.acceptStreams(ctx, link) })
	return link.Run(ctx, func(m messenger.Message) { a.handle(link, m) })
}

func (a *Agent) forget(link *linker.Link) {
	if a.links.remove(link) {
		a.admission.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.RemoveEntry(now, link.Peer().Node)
		})
	}
}

// servePeer uses a link that this agent has opened to learn the configuration.
func (a *Agent) servePeer(ctx context.Context, link *linker.Link) error {
	return link.Run(ctx, func(m messenger.Message) { a.handle(link, m) })
}

func (a *Agent) acceptStreams(ctx context.Context, link *linker.Link) {
	var open sync.WaitGroup
	defer open.Wait()
	for {
		stream, err := link.Accept(ctx)
		if err != nil {
			return
		}
		open.Go(func() { a.serveStream(ctx, link, stream) })
	}
}

func (a *Agent) handle(link *linker.Link, m messenger.Message) {
	if link.Peer().Role == identifier.RoleEntry && a.handleCredits(link.Peer().Node, m) {
		return
	}
	switch m := m.(type) {
	case messenger.GroupEvent:
		a.member.receive(link, m)
	case messenger.Heartbeat:
		a.admission.merge(m.Suspicions)
		a.distributor.ObserveRevision(link, m.Revision)
	default:
		a.distributor.Handle(link, m)
	}
}

// handleCredits takes the demand and the returned credits of an entry. It reports whether the message was one of these.
func (a *Agent) handleCredits(entry identifier.Node, m messenger.Message) bool {
	switch m := m.(type) {
	case messenger.Demand:
		a.admission.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.SetDemand(now, entry, m.Customers)
		})
	case messenger.ReturnGrant:
		a.admission.update(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.ReturnCredits(now, entry, m)
		})
	default:
		return false
	}
	return true
}

// dialPeers asks the entries in the settings for the configuration while no entry has linked to this agent.
func (a *Agent) dialPeers(ctx context.Context) error {
	for waiter.For(ctx, lonelyAfter) {
		var wanted []string
		if a.links.count() == 0 {
			wanted = a.settings.Peers
		}
		a.peers.SetAddresses(ctx, wanted)
	}
	return nil
}
