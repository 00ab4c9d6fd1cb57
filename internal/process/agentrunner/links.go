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

// entryLinks holds the newest link of each entry. It is safe for concurrent use.
type entryLinks struct {
	mu      sync.Mutex
	byEntry map[identifier.Node]*linker.Link
}

func newEntryLinks() *entryLinks {
	return &entryLinks{byEntry: map[identifier.Node]*linker.Link{}}
}

func (l *entryLinks) add(link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byEntry[link.Peer().Node] = link
}

// remove reports whether the link was the current one of its entry.
func (l *entryLinks) remove(link *linker.Link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	node := link.Peer().Node
	if l.byEntry[node] != link {
		return false
	}
	delete(l.byEntry, node)
	return true
}

// enqueue enqueues a message for an entry, or drops it if the entry has no link.
func (l *entryLinks) enqueue(entry identifier.Node, m messenger.Message) {
	l.mu.Lock()
	link := l.byEntry[entry]
	l.mu.Unlock()
	if link != nil {
		link.Enqueue(m)
	}
}

// triggerHeartbeats sends a heartbeat to every entry immediately.
func (l *entryLinks) triggerHeartbeats() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.byEntry {
		link.TriggerHeartbeat()
	}
}

func (l *entryLinks) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byEntry)
}

// serveLink handles a link that an entry or another agent has opened, until the link is down.
func (a *Agent) serveLink(ctx context.Context, link *linker.Link) error {
	if link.Peer().Role == identifier.RoleEntry {
		a.entryLinks.add(link)
		defer a.removeEntry(link)
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

// removeEntry removes the link of an entry. Unless a newer link has replaced it, the entry's unused credits and demand are
// dropped too.
func (a *Agent) removeEntry(link *linker.Link) {
	if a.entryLinks.remove(link) {
		a.admission.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.RemoveEntry(now, link.Peer().Node)
		})
	}
}

// servePeer handles a link that this agent has opened to an entry to receive the configuration, until the link is down.
func (a *Agent) servePeer(ctx context.Context, link *linker.Link) error {
	return link.Run(ctx, func(m messenger.Message) { a.handle(link, m) })
}

// acceptStreams serves the request streams of a link until the link is down and all of them have ended.
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

// handle handles a control message.
func (a *Agent) handle(link *linker.Link, m messenger.Message) {
	if link.Peer().Role == identifier.RoleEntry && a.handleCredits(link.Peer().Node, m) {
		return
	}
	switch m := m.(type) {
	case messenger.GroupEvent:
		a.member.receive(link, m)
	case messenger.Heartbeat:
		a.admission.mergeSuspicions(m.Suspicions)
		a.distributor.ObserveRevision(link, m.Revision)
	default:
		a.distributor.Handle(link, m)
	}
}

// handleCredits handles the demand and the returned credits of an entry. It reports whether the message was one of these.
func (a *Agent) handleCredits(entry identifier.Node, m messenger.Message) bool {
	switch m := m.(type) {
	case messenger.Demand:
		a.admission.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.SetDemand(now, entry, m.Customers)
		})
	case messenger.ReturnGrant:
		a.admission.withGranter(func(now time.Time, g *granter.Granter) []granter.IssuedGrant {
			return g.ReturnCredits(now, entry, m)
		})
	default:
		return false
	}
	return true
}

// dialPeers keeps links to the entries in the settings while no entry has linked to this agent, in order to receive the
// configuration, until ctx ends.
func (a *Agent) dialPeers(ctx context.Context) error {
	for waiter.For(ctx, peerCheckInterval) {
		var addresses []string
		if a.entryLinks.count() == 0 {
			addresses = a.settings.Peers
		}
		a.peers.SetAddresses(ctx, addresses)
	}
	return nil
}
