// Package follower keeps a table of the platform up to date in a replicator: a full read first, then its changes.
package follower

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/process/waiter"
	"currantledge.example/currantledge/internal/version/replicator"
)

const (
	// followWait is how long the store may hold a call without changes. A silent connection costs that much and the
	// timeout of a call, which has to stay below the time within which configurations apply.
	followWait = 1500 * time.Millisecond
	// callPause gathers changes that come close together into one call.
	callPause = 120 * time.Millisecond
	// minPause and maxPause bound the pause after a failed call.
	minPause = 100 * time.Millisecond
	maxPause = 800 * time.Millisecond
	// idlePoll is how often a process that does not follow looks whether it has to.
	idlePoll = 100 * time.Millisecond
	// forgiveAfter is when a process that the platform turned away, and that does not follow since, may be asked to follow
	// again.
	forgiveAfter = 5 * time.Second
	// outageAfter is how long calls fail before the end of the failure counts as the return of the platform.
	outageAfter = time.Second
)

// Store is what a follower needs of the platform.
type Store interface {
	Read(ctx context.Context, t replicator.Table) ([]replicator.Row, uint64, error)
	Follow(ctx context.Context, t replicator.Table, after uint64, wait time.Duration) ([]replicator.Row, uint64, error)
}

// Config sets up a Follower.
type Config struct {
	Store      Store
	Replicator *replicator.Replicator
	Table      replicator.Table
	// Reads tells whether this process follows the platform at the moment; the others get the rows from their peers.
	Reads func() bool
	// HoldRemovals is set for tables whose entries lapse while the platform is away.
	HoldRemovals bool
	Log          *logger.Logger
	Meter        *meter.Meter
}

// Follower follows one table.
type Follower struct {
	cfg   Config
	after uint64
	// full is set if the next call has to read the whole table.
	full       bool
	failing    atomic.Bool
	answeredAt atomic.Pointer[time.Time]
	lastGood   time.Time
	failedAt   time.Time
	failedCall int
}

// New returns a Follower.
func New(cfg Config) *Follower {
	return &Follower{cfg: cfg, full: true, lastGood: time.Now()}
}

// Run follows the table until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !f.full && !f.cfg.Reads() {
			f.idle(ctx)
			continue
		}
		err := f.step(ctx)
		pause := callPause
		if err != nil && ctx.Err() == nil {
			pause = f.failed(err)
		}
		waiter.For(ctx, pause)
	}
	return nil
}

// idle waits a little. What peers pass on counts as read.
func (f *Follower) idle(ctx context.Context) {
	waiter.For(ctx, idlePoll)
	f.after = max(f.after, f.cfg.Replicator.Version(f.cfg.Table))
	f.lastGood = time.Now()
	if f.lastGood.Sub(f.failedAt) > forgiveAfter {
		f.failing.Store(false)
	}
}

// Lost tells whether the last call of the platform failed.
func (f *Follower) Lost() bool {
	return f.failing.Load()
}

// Answered returns when the platform last answered this process; zero if it never did.
func (f *Follower) Answered() time.Time {
	if at := f.answeredAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (f *Follower) step(ctx context.Context) error {
	if f.full {
		rows, version, err := f.cfg.Store.Read(ctx, f.cfg.Table)
		if err != nil {
			return err
		}
		f.answered()
		f.cfg.Replicator.Replace(time.Now(), f.cfg.Table, rows, version, f.cfg.HoldRemovals)
		f.full, f.after = false, version
		return nil
	}
	rows, version, err := f.cfg.Store.Follow(ctx, f.cfg.Table, f.after, followWait)
	if err != nil {
		return err
	}
	f.answered()
	f.cfg.Replicator.Merge(time.Now(), f.cfg.Table, rows, f.cfg.HoldRemovals)
	f.after = version
	return nil
}

func (f *Follower) answered() {
	now := time.Now()
	away := now.Sub(f.lastGood)
	f.lastGood = now
	f.answeredAt.Store(&now)
	f.failedCall = 0
	if !f.failing.CompareAndSwap(true, false) {
		return
	}
	if away > outageAfter {
		f.cfg.Replicator.Returned(now)
	}
	f.cfg.Log.Event(logger.EventStoreBack).Str("table", string(f.cfg.Table)).Dur("awayMs", away).
		Uint64("version", f.after).Send()
}

// failed notes a failed call and returns the pause before the next one.
func (f *Follower) failed(err error) time.Duration {
	if errors.Is(err, replicator.ErrHistoryLost) {
		f.full = true
		return minPause
	}
	f.cfg.Meter.Add(meter.StoreFailures)
	f.failedCall++
	f.failedAt = time.Now()
	if f.failing.CompareAndSwap(false, true) {
		f.cfg.Log.Event(logger.EventStoreLost).Str("table", string(f.cfg.Table)).AnErr("error", err).
			Uint64("version", f.after).Send()
	}
	return min(minPause<<min(f.failedCall, 8), maxPause)
}
