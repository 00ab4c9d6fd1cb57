// Package pooler holds the links to agents. An entry holds its links to the agents of upstreams in a Pool, with the load
// that each agent reported last. An agent holds its links to other agents in Links. Both may be used concurrently.
package pooler

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Member is a linked agent and its last report.
type Member struct {
	Link *linker.Link
	Load messenger.Load
	// Revision is the configuration revision that the agent reported last.
	Revision identifier.Revision
	// ReportedAt is when the last heartbeat of the agent arrived, or when its link was added.
	ReportedAt time.Time
}

// Pool holds at most one link for each upstream, the newest.
type Pool struct {
	mu      sync.Mutex
	members map[identifier.Upstream]*Member
	// added is closed and replaced whenever a link is added.
	added chan struct{}
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{members: map[identifier.Upstream]*Member{}, added: make(chan struct{})}
}

// Add adds a link. It replaces an earlier one to the same upstream.
func (p *Pool) Add(link *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hello := link.Peer()
	p.members[hello.Upstream] = &Member{Link: link, Revision: hello.Revision, ReportedAt: time.Now()}
	close(p.added)
	p.added = make(chan struct{})
}

// Remove removes a link. It reports whether the link was the current one of its upstream.
func (p *Pool) Remove(link *linker.Link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	upstream := link.Peer().Upstream
	if m, ok := p.members[upstream]; !ok || m.Link != link {
		return false
	}
	delete(p.members, upstream)
	return true
}

// RecordHeartbeat records a heartbeat. It is ignored if the link has been replaced or removed.
func (p *Pool) RecordHeartbeat(link *linker.Link, h messenger.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[link.Peer().Upstream]
	if !ok || m.Link != link {
		return
	}
	m.ReportedAt = time.Now()
	m.Revision = h.Revision
	if h.Load != nil {
		m.Load = *h.Load
	}
}

// Member returns the linked agent of an upstream.
func (p *Pool) Member(upstream identifier.Upstream) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[upstream]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns all linked agents.
func (p *Pool) Members() map[identifier.Upstream]Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[identifier.Upstream]Member, len(p.members))
	for upstream, m := range p.members {
		out[upstream] = *m
	}
	return out
}

// Await waits until an upstream has a link that is up. It returns the error of the context if that ends first.
func (p *Pool) Await(ctx context.Context, upstream identifier.Upstream) (*linker.Link, error) {
	return p.await(ctx, func() *Member { return p.members[upstream] })
}

// AwaitNode waits until a node has a link that is up. It returns the error of the context if that ends first.
func (p *Pool) AwaitNode(ctx context.Context, node identifier.Node) (*linker.Link, error) {
	return p.await(ctx, func() *Member {
		for _, m := range p.members {
			if m.Link.Peer().Node == node {
				return m
			}
		}
		return nil
	})
}

// await calls find, with the lock held, until it returns a member whose link is up.
func (p *Pool) await(ctx context.Context, find func() *Member) (*linker.Link, error) {
	for {
		p.mu.Lock()
		m := find()
		added := p.added
		p.mu.Unlock()
		if m != nil && isUp(m.Link) {
			return m.Link, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-added:
		}
	}
}

func isUp(link *linker.Link) bool {
	select {
	case <-link.Done():
		return false
	default:
		return true
	}
}
