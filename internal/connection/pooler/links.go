package pooler

import (
	"sync"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Links holds all links to each upstream's agent. Two agents may have dialled each other, and when one of the links ends
// the other is still good.
type Links struct {
	mu     sync.Mutex
	byPeer map[identifier.Upstream][]*linker.Link
}

// NewLinks returns an empty set.
func NewLinks() *Links {
	return &Links{byPeer: map[identifier.Upstream][]*linker.Link{}}
}

// Add adds a link.
func (l *Links) Add(peer identifier.Upstream, link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byPeer[peer] = append(l.byPeer[peer], link)
}

// Remove takes a link out.
func (l *Links) Remove(peer identifier.Upstream, link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*linker.Link
	for _, other := range l.byPeer[peer] {
		if other != link {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(l.byPeer, peer)
		return
	}
	l.byPeer[peer] = kept
}

// Newest returns the link that was added last, or nil if there is none.
func (l *Links) Newest(peer identifier.Upstream) *linker.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.byPeer[peer]
	if len(all) == 0 {
		return nil
	}
	return all[len(all)-1]
}
