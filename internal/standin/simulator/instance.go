package simulator

import (
	"context"
	"sync"
	"time"

	"currantledge.example/currantledge/internal/process/identifier"
)

// Instance is one run of the upstream, from its start to its crash or stop. Its methods may be called concurrently.
type Instance struct {
	Boot      identifier.Boot
	server    *Server
	ctx       context.Context
	cancel    context.CancelFunc
	crashed   chan struct{}
	crashOnce sync.Once

	background sync.WaitGroup

	// mu guards the fields below. running is the number of running requests, completions the number of requests that have
	// completed since the start or since makeCold.
	mu          sync.Mutex
	running     int
	completions int
	// graceUntil is the end of the grace period after the upstream became cold, in which it is slow but does not crash.
	graceUntil time.Time
}

// Context is cancelled when the upstream crashes or has stopped.
func (i *Instance) Context() context.Context { return i.ctx }

func (i *Instance) end() { i.cancel() }

// Crash crashes the upstream: its connections are closed and the context is cancelled. It has no effect after the end
// of the instance.
func (i *Instance) Crash() {
	if i.ctx.Err() != nil {
		return
	}
	i.crashOnce.Do(func() {
		i.server.recorder.recordCrash()
		i.cancel()
		close(i.crashed)
	})
}

// Running returns the number of running requests.
func (i *Instance) Running() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.running
}

// Go runs a background task, which must end with the context of the instance. The server waits for it.
func (i *Instance) Go(task func()) {
	i.background.Add(1)
	go func() {
		defer i.background.Done()
		task()
	}()
}

// Warmth returns how warm the upstream is, from 0 (cold) to 1 (warm).
func (i *Instance) Warmth() float64 {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.warmth()
}

// warmth is called with mu held.
func (i *Instance) warmth() float64 {
	return min(1, float64(i.completions)/float64(i.server.cfg.WarmAfter))
}

// capacity returns the number of concurrent requests that the upstream sustains. It is called with mu held.
func (i *Instance) capacity() int {
	cfg := i.server.cfg
	return cfg.ColdCapacity + int(float64(cfg.WarmCapacity-cfg.ColdCapacity)*i.warmth())
}

// excess returns the number of running requests minus the capacity, or 0 within the grace period. It is called with mu
// held.
func (i *Instance) excess(now time.Time) int {
	if now.Before(i.graceUntil) {
		return 0
	}
	return i.running - i.capacity()
}

// makeCold makes the upstream cold without a new boot id. After the grace period it crashes if it runs more requests
// than its capacity.
func (i *Instance) makeCold(grace time.Duration) {
	i.mu.Lock()
	i.completions = 0
	i.graceUntil = time.Now().Add(grace)
	i.mu.Unlock()
	if grace <= 0 {
		i.checkLoad()
		return
	}
	time.AfterFunc(grace, i.checkLoad)
}

// checkLoad crashes the upstream if it runs more requests than its capacity.
func (i *Instance) checkLoad() {
	i.mu.Lock()
	excess := i.excess(time.Now())
	i.mu.Unlock()
	i.applyExcess(excess)
}

// applyExcess records the excess and crashes the upstream if it is positive.
func (i *Instance) applyExcess(excess int) {
	if i.ctx.Err() != nil {
		return
	}
	i.server.recorder.recordExcess(excess)
	if excess > 0 {
		i.Crash()
	}
}

// Start counts a request as running. The upstream crashes if that exceeds its capacity. The caller ends the request with
// Finish.
func (i *Instance) Start() { i.TryStart(0) }

// TryStart does the same as Start, but returns false and counts nothing if limit requests are running. Limit 0 sets no
// bound.
func (i *Instance) TryStart(limit int) bool {
	i.mu.Lock()
	if limit > 0 && i.running >= limit {
		i.mu.Unlock()
		return false
	}
	i.running++
	excess := i.excess(time.Now())
	i.mu.Unlock()
	i.applyExcess(excess)
	return true
}

// Finish counts a request as no longer running. Completed requests warm up the upstream.
func (i *Instance) Finish(complete bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.running--
	if complete {
		i.completions++
	}
}

// RecordCall adds a call to the record. The caller ends it with Close.
func (i *Instance) RecordCall(call Call) *OpenCall {
	call.Boot = i.Boot
	return i.server.recorder.recordCall(call)
}
