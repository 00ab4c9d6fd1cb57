// Package timekeeper follows the passes of a group of ranks by the events of the streams that a gateway forwards. The
// ranks of a group advance together: each pass yields one event of every stream, so that the streams of a gateway show
// when passes begin and how long they take, at all ranks.
//
// The package does no I/O and reads no clock: callers pass the current time. Its types are not safe for concurrent use.
package timekeeper

import "time"

// Pass is a pass of a group that has just ended, at which the next one begins.
type Pass struct {
	Took time.Duration
}

// Timekeeper follows the passes of one group.
type Timekeeper struct {
	// endedAt is when the latest pass ended.
	endedAt time.Time
}

// New returns a Timekeeper that has seen no pass.
func New() *Timekeeper {
	return &Timekeeper{}
}

// Observe records the time between two events of a stream. It returns the pass that has ended if the event is the first
// one of that pass.
func (t *Timekeeper) Observe(now time.Time, gap time.Duration) (Pass, bool) {
	// The events of a pass arrive at nearly the same time.
	if now.Sub(t.endedAt) < gap/2 {
		return Pass{}, false
	}
	t.endedAt = now
	return Pass{Took: gap}, true
}
