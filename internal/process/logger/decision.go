package logger

import (
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Field is a named detail of a decision. It never holds a prompt, a response, a key or the name of another customer.
type Field struct {
	Name  string
	Value string
}

// Decision is one decision of this process on routing or placement.
type Decision struct {
	Event Event
	At    time.Time
	// Node is the node that made the decision.
	Node identifier.Node
	// Request is the zero value if the decision concerns no single request.
	Request identifier.Request
	// Choice is the alternative that was chosen, for example an upstream or an outcome.
	Choice string
	Reason string
	Fields []Field
}

// ringBuffer keeps a fixed number of decisions; a new one overwrites the oldest. It is safe for concurrent use.
type ringBuffer struct {
	mu    sync.Mutex
	items []Decision
	// next is the index that the next decision is written to. Once the buffer is full, it is that of the oldest one.
	next int
	full bool
}

func newRingBuffer(size int) *ringBuffer {
	return &ringBuffer{items: make([]Decision, size)}
}

func (r *ringBuffer) add(d Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.items[r.next] = d
	r.next++
	if r.next == len(r.items) {
		r.next = 0
		r.full = true
	}
}

// oldestFirst returns a copy of all decisions, oldest first.
func (r *ringBuffer) oldestFirst() []Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.full {
		return append([]Decision(nil), r.items[:r.next]...)
	}
	out := make([]Decision, 0, len(r.items))
	out = append(out, r.items[r.next:]...)
	return append(out, r.items[:r.next]...)
}

func (r *ringBuffer) byRequest(id identifier.Request) []Decision {
	var out []Decision
	for _, d := range r.oldestFirst() {
		if d.Request == id {
			out = append(out, d)
		}
	}
	return out
}

func (r *ringBuffer) last(limit int) []Decision {
	all := r.oldestFirst()
	if len(all) > limit {
		all = all[len(all)-limit:]
	}
	return all
}
