package logger

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Field is a named detail of a decision. It never holds a prompt, an answer, a key or another customer's name.
type Field struct {
	Name  string
	Value string
}

// Decision is one routing or placement decision.
type Decision struct {
	Event   Event
	At      time.Time
	Node    identifier.Node
	Request identifier.Request
	// Choice names what was chosen, for example an upstream.
	Choice string
	Reason string
	Fields []Field
}

// ring keeps the most recent decisions in a fixed amount of memory.
type ring struct {
	mu    sync.Mutex
	items []Decision
	next  int
	full  bool
}

func newRing(size int) *ring {
	return &ring{items: make([]Decision, size)}
}

func (r *ring) add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items[r.next] = d
	r.next++
	if r.next == len(r.items) {
		r.next = 0
		r.full = true
	}
}

func (r *ring) ordered() []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Decision(nil), r.items[:r.next]...)
	}
	out := make([]Decision, 0, len(r.items))
	out = append(out, r.items[r.next:]...)
	return append(out, r.items[:r.next]...)
}

func (r *ring) of(id identifier.Request) []Decision {
	var out []Decision
	for _, d := range r.ordered() {
		if d.Request == id {
			out = append(out, d)
		}
	}
	return out
}

func (r *ring) last(limit int) []Decision {
	all := r.ordered()
	if len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
