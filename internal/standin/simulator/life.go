package simulator

import (
	"context"
	"sync"

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

	mu          sync.Mutex
	running     int
	completions int
}

// Context ends when the upstream falls over or stops.
func (l *Life) Context() context.Context { return l.ctx }

func (l *Life) end() { l.cancel() }

// Crash makes the upstream fall over now.
func (l *Life) Crash() {
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

// bearable is the number of running requests that the upstream can bear.
func (l *Life) bearable() int {
	cfg := l.server.cfg
	warmth := min(1, float64(l.completions)/float64(cfg.WarmAfter))
	return cfg.Cold + int(float64(cfg.Warm-cfg.Cold)*warmth)
}

// cool makes the upstream cold without a new boot id. It falls over when it runs more than it can bear now.
func (l *Life) cool() {
	l.mu.Lock()
	l.completions = 0
	excess := l.running - l.bearable()
	l.mu.Unlock()
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
	excess := l.running - l.bearable()
	l.mu.Unlock()
	l.server.recorder.excess(excess)
	if excess > 0 {
		l.Crash()
	}
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
