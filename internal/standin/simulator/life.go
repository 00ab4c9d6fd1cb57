package simulator

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Life is the time between the start of an upstream and its falling over.
type Life struct {
	Boot   identifier.Boot
	server *Server
	ctx    context.Context
	cancel context.CancelFunc
	fallen chan struct{}
	once   sync.Once

	work sync.WaitGroup

	mu          sync.Mutex
	running     int
	completions int
	// graceUntil ends the time after cooling in which the upstream is slow but does not fall over.
	graceUntil time.Time
}

// Context ends when the upstream falls over or stops.
func (l *Life) Context() context.Context { return l.ctx }

func (l *Life) end() { l.cancel() }

// Crash makes the upstream fall over now.
func (l *Life) Crash() {
	if l.ctx.Err() != nil {
		return
	}
	l.once.Do(func() {
		l.server.recorder.fall()
		l.cancel()
		close(l.fallen)
	})
}

// Running returns the number of running requests.
func (l *Life) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running
}

// Go runs background work of the life. It ends with the life's context; Run returns after it.
func (l *Life) Go(work func()) {
	l.work.Add(1)
	go func() {
		defer l.work.Done()
		work()
	}()
}

// Warmth grows from 0, cold, to 1, warm.
func (l *Life) Warmth() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.warmth()
}

func (l *Life) warmth() float64 {
	return min(1, float64(l.completions)/float64(l.server.cfg.WarmAfter))
}

// bearable is the number of running requests that the upstream can bear.
func (l *Life) bearable() int {
	cfg := l.server.cfg
	return cfg.Cold + int(float64(cfg.Warm-cfg.Cold)*l.warmth())
}

// excess is the number of running requests above what the upstream bears, or 0 within the grace after cooling.
func (l *Life) excess(now time.Time) int {
	if now.Before(l.graceUntil) {
		return 0
	}
	return l.running - l.bearable()
}

// cool makes the upstream cold without a new boot id. After the grace it falls over when it runs more than it can bear.
func (l *Life) cool(grace time.Duration) {
	l.mu.Lock()
	l.completions = 0
	l.graceUntil = time.Now().Add(grace)
	l.mu.Unlock()
	if grace <= 0 {
		l.check()
		return
	}
	time.AfterFunc(grace, l.check)
}

// check lets the upstream fall over if it runs more than it can bear.
func (l *Life) check() {
	l.mu.Lock()
	excess := l.excess(time.Now())
	l.mu.Unlock()
	l.judge(excess)
}

func (l *Life) judge(excess int) {
	if l.ctx.Err() != nil {
		return
	}
	l.server.recorder.excess(excess)
	if excess > 0 {
		l.Crash()
	}
}

// Start counts a request as running and lets the upstream fall over if that is more than it can bear.
// The caller ends the request with Finish.
func (l *Life) Start() { l.StartWithin(0) }

// StartWithin does the same unless limit requests run already; limit 0 sets no bound.
func (l *Life) StartWithin(limit int) bool {
	l.mu.Lock()
	if limit > 0 && l.running >= limit {
		l.mu.Unlock()
		return false
	}
	l.running++
	excess := l.excess(time.Now())
	l.mu.Unlock()
	l.judge(excess)
	return true
}

// Finish counts a request as no longer running.
func (l *Life) Finish(complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if complete {
		l.completions++
	}
}

// Open records the start of a call.
func (l *Life) Open(call Call) *OpenCall {
	call.Boot = l.Boot
	return l.server.recorder.open(call)
}
