package forwarder

import (
	"sync/atomic"
	"time"
)

// stallTimer cancels an attempt whose stream has had no event with content for a time. The time that the client takes
// to accept events does not count. A nil stallTimer has no limit.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
	// left is the time that remained when the timer was paused.
	left     time.Duration
	deadline time.Time
	hasFired atomic.Bool
}

// newStallTimer returns a running timer, or nil if the timeout is 0.
func newStallTimer(timeout time.Duration, cancel func()) *stallTimer {
	if timeout <= 0 {
		return nil
	}
	t := &stallTimer{timeout: timeout, deadline: time.Now().Add(timeout)}
	t.timer = time.AfterFunc(timeout, func() {
		t.hasFired.Store(true)
		cancel()
	})
	return t
}

// pause stops the timer until resume.
func (t *stallTimer) pause() {
	if t == nil {
		return
	}
	t.timer.Stop()
	t.left = time.Until(t.deadline)
}

// resume continues with the remaining time, or with the full time after progress.
func (t *stallTimer) resume(progress bool) {
	if t == nil || t.hasFired.Load() {
		return
	}
	left := t.left
	if progress {
		left = t.timeout
	}
	t.deadline = time.Now().Add(left)
	t.timer.Reset(max(left, 0))
}

func (t *stallTimer) stop() {
	if t != nil {
		t.timer.Stop()
	}
}

// fired reports whether the timer has cancelled the attempt.
func (t *stallTimer) fired() bool {
	return t != nil && t.hasFired.Load()
}
