package mapleader

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// maxPassTime is longer than any usual pass. A group of which no pass was noticed for that long may be idle, or this
// gateway forwards none of its streams.
const maxPassTime = 500 * time.Millisecond

// passClock is what this gateway knows of the passes of a group.
type passClock struct {
	beganAt time.Time
	took    time.Duration
	// next is closed, and replaced, when a pass begins.
	next chan struct{}
}

// PassBegan notifies the leader that a group has begun a pass, after one that took some time. It may be called
// concurrently.
func (l *Leader) PassBegan(id identifier.GroupID, took time.Duration) {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	p, found := l.passes[id]
	if !found {
		p = &passClock{}
		l.passes[id] = p
	} else {
		close(p.next)
	}
	p.beganAt, p.took, p.next = time.Now(), took, make(chan struct{})
}

// awaitPass waits until a group begins a pass, and returns how long passes take. It returns 0 if no pass is noticed within
// maxPassTime, and at once if none was in that time.
func (l *Leader) awaitPass(ctx context.Context, id identifier.GroupID) time.Duration {
	l.passMu.Lock()
	p, found := l.passes[id]
	if !found || time.Since(p.beganAt) >= maxPassTime {
		l.passMu.Unlock()
		return 0
	}
	next := p.next
	l.passMu.Unlock()
	timer := time.NewTimer(maxPassTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0
	case <-timer.C:
		return 0
	case <-next:
	}
	l.passMu.Lock()
	defer l.passMu.Unlock()
	return p.took
}
