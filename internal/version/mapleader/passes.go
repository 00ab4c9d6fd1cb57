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
	// next is closed, and replaced, when a pass begins.
	next chan struct{}
}

// PassBegan notifies the leader that a group has ended a pass and begins the next one. If the passes have become slower,
// the counts of the group are read at once. It may be called concurrently.
func (l *Leader) PassBegan(id identifier.GroupID, ended timekeeper.Pass) {
	l.notePass(id, ended)
	if ended.Slowed && l.Leading() {
		l.interrupt()
	}
}

// interrupt makes Run look at the groups at once.
func (l *Leader) interrupt() {
	select {
	case l.wake <- struct{}{}:
	default:
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
	if ended.Slowed && len(l.signs[id]) < maxSigns {
		l.signs[id] = append(l.signs[id], slowSign{at: p.beganAt})
	}
}

// slowSign is a sign that the passes of a group have become slower.
type slowSign struct {
	at time.Time
	// byPeer is set if another gateway has noticed it.
	byPeer bool
}

// maxSigns bounds the signs of a group that the leader has not taken.
const maxSigns = 64

// PassesSlowed notifies the leader that another gateway noticed at a time that the passes of a group have become slower.
// It may be called concurrently.
func (l *Leader) PassesSlowed(id identifier.GroupID, at time.Time) {
	if !l.Leading() {
		return
	}
	l.passMu.Lock()
	if len(l.signs[id]) < maxSigns {
		l.signs[id] = append(l.signs[id], slowSign{at: at, byPeer: true})
	}
	l.passMu.Unlock()
	l.interrupt()
}

// takeSigns returns the signs since the last call that the passes of a group have become slower.
func (l *Leader) takeSigns(id identifier.GroupID) []slowSign {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	signs := l.signs[id]
	delete(l.signs, id)
	return signs
}

// lastPass returns when the latest pass of a group began, and how long the one before took; zero if none was noticed.
func (l *Leader) lastPass(id identifier.GroupID) (time.Time, time.Duration) {
	l.passMu.Lock()
	defer l.passMu.Unlock()
	if p, found := l.passes[id]; found {
		return p.beganAt, p.took
	}
	return time.Time{}, 0
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
