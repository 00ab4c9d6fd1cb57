// Package pooler holds the links of an entry to agents with the load that each agent reported last.
package pooler

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/connection/messenger"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Member is a linked agent.
type Member struct {
	Link *linker.Link
	Load messenger.Load
	// Revision is the configuration revision that the agent reported last.
	Revision identifier.Revision
	Heard    time.Time
}

// Pool holds at most one link for each upstream, the newest.
type Pool struct {
	mu      sync.Mutex
	members map[identifier.Upstream]*Member
	changed chan struct{}
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{members: map[identifier.Upstream]*Member{}, changed: make(chan struct{})}
}

// Add puts a link in place of an earlier one to the same upstream.
func (p *Pool) Add(link *linker.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	hello := link.Peer()
	p.members[hello.Upstream] = &Member{Link: link, Revision: hello.Revision, Heard: time.Now()}
	close(p.changed)
	p.changed = make(chan struct{})
}

// Remove takes a link out. It reports whether the link was the current one of its upstream.
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

// Report records a heartbeat.
func (p *Pool) Report(link *linker.Link, h messenger.Heartbeat) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[link.Peer().Upstream]
	if !ok || m.Link != link {
		return
	}
	m.Heard = time.Now()
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

// Await waits until an upstream has a link that is up.
func (p *Pool) Await(ctx context.Context, upstream identifier.Upstream) (*linker.Link, error) {
	return p.await(ctx, func() *Member { return p.members[upstream] })
}

// AwaitNode waits until a node has a link that is up.
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

func (p *Pool) await(ctx context.Context, find func() *Member) (*linker.Link, error) {
	for {
		p.mu.Lock()
		m := find()
		changed := p.changed
		p.mu.Unlock()
		if m != nil && up(m.Link) {
			return m.Link, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-changed:
		}
	}
}

func up(link *linker.Link) bool {
	select {
	case <-link.Done():
		return false
	default:
		return true
	}
}
