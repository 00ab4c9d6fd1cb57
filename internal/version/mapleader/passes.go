package mapleader

import (
	"context"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/timekeeper"
)

// maxPassTime is longer than any usual pass. A group of which no pass was noticed for that long may be idle, or this
// gateway forwards none of its streams.
const maxPassTime = 500 * time.Millisecond

// passClock is what this gateway knows of the passes of a group.
type passClock struct {
	beganAt time.Time
	took    time.Duration
	// slowed is set if the passes have become slower and the leader does not know it yet.
	slowed bool
	// next is closed, and replaced, when a pass begins.
	next chan struct{}
}

// PassBegan notifies the leader that a group has ended a pass and begins the next one. If the passes have become slower,
// the counts of the group are read at once. It may be called concurrently.
func (l *Leader) PassBegan(id identifier.GroupID, ended timekeeper.Pass) {
	l.notePass(id, ended)
	if ended.Slowed && l.Leading() {
		select {
		case l.wake <- struct{}{}:
		default:
		}
	}
}

func (l *Leader) notePass(id identifier.GroupID, ended timekeeper.Pass) {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	p, found := l.passes[id]
	if !found {
		p = &passClock{}
		l.passes[id] = p
	} else {
		close(p.next)
	}
	p.beganAt, p.took, p.next = time.Now(), ended.Took, make(chan struct{})
	p.slowed = p.slowed || ended.Slowed
}

// takeSlowed reports whether the passes of a group have become slower since the last call.
func (l *Leader) takeSlowed(id identifier.GroupID) bool {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	p, found := l.passes[id]
	if !found || !p.slowed {
		return false
	}
	p.slowed = false
	return true
}

// passTime returns how long the latest pass of a group took, or 0 if it is not known.
func (l *Leader) passTime(id identifier.GroupID) time.Duration {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	if p, found := l.passes[id]; found {
		return p.took
	}
	return 0
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
