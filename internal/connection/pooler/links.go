package pooler

import (
	"sync"

	"currantledge.example/currantledge/internal/connection/linker"
	"currantledge.example/currantledge/internal/process/identifier"
)

// Links holds all links of an agent to the agent of each upstream. Two agents may have dialled each other; when one of
// the two links ends, the other is still usable. Its methods may be called concurrently.
type Links struct {
	mu         sync.Mutex
	byUpstream map[identifier.Upstream][]*linker.Link
}

// NewLinks returns an empty set.
func NewLinks() *Links {
	return &Links{byUpstream: map[identifier.Upstream][]*linker.Link{}}
}

// Add adds a link.
func (l *Links) Add(upstream identifier.Upstream, link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byUpstream[upstream] = append(l.byUpstream[upstream], link)
}

// Remove removes a link.
func (l *Links) Remove(upstream identifier.Upstream, link *linker.Link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []*linker.Link
	for _, other := range l.byUpstream[upstream] {
		if other != link {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(l.byUpstream, upstream)
		return
	}
	l.byUpstream[upstream] = kept
}

// Newest returns the link that was added last, or nil if there is none.
func (l *Links) Newest(upstream identifier.Upstream) *linker.Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := l.byUpstream[upstream]
	if len(links) == 0 {
		return nil
	}
	return links[len(links)-1]
}
