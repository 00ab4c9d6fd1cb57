// Package follower keeps the copy of a table of the platform's store in a replicator up to date. It reads the full
// table first, then fetches its changes by long polling.
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
	// longPollTimeout is how long the store may delay its response if there are no changes. A silent store is noticed 0.5 s
	// after that. Another process then follows it, and a configuration has to take effect within 2 s.
	longPollTimeout = 800 * time.Millisecond
	// callInterval is the time between two calls, so that changes in quick succession arrive in one response.
	callInterval = 120 * time.Millisecond
	// minBackoff and maxBackoff bound the time before the next call after a failed one.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
	// earlyRetryInterval is the least time between two backoffs that are cut short.
	earlyRetryInterval = 2 * time.Second
	// idlePollInterval is how often a process that does not follow the store checks whether it has to.
	idlePollInterval = 100 * time.Millisecond
	// failureExpiry is how long after the last failed call a process that no longer follows the store stops reporting it
	// as lost, so that it may follow again.
	failureExpiry = 5 * time.Second
	// outageAfter is the shortest time without a successful call that counts as an outage of the platform.
	outageAfter = time.Second
	// lostAloneAfter is how long after its own last response a process takes a response to another one as a sign that the
	// platform is not down. It exceeds the time between two responses.
	lostAloneAfter = 1500 * time.Millisecond
	// lostAloneFor is how long before its next successful call a process must have noticed that sign. When the platform
	// returns, others may receive a response while a call of this process still fails; the next one starts within
	// maxBackoff.
	lostAloneFor = maxBackoff + 200*time.Millisecond
)

// Store is the part of the platform's store that a Follower uses. Read returns all rows, Follow those that changed after
// a version. Both also return the version of the table after these rows. Without a change, Follow returns no rows once
// the wait is over.
type Store interface {
	Read(ctx context.Context, t replicator.Table) ([]replicator.Row, uint64, error)
	Follow(ctx context.Context, t replicator.Table, after uint64, wait time.Duration) ([]replicator.Row, uint64, error)
}

// Config configures a Follower.
type Config struct {
	Store      Store
	Replicator *replicator.Replicator
	Table      replicator.Table
	// ShouldFollow reports whether this process has to follow the store now; other processes receive the rows from their
	// peers.
	ShouldFollow func() bool
	// DeferDeletions is set for tables whose rows expire during an outage of the platform.
	DeferDeletions bool
	// StoreServesPeers reports whether the store has responded to another process since a time.
	StoreServesPeers func(since time.Time) bool
	// OnStoreLost is called when the store no longer responds, so that another process follows it at once.
	OnStoreLost func()
	Log         *logger.Logger
	Meter       *meter.Meter
}

// Follower follows one table.
type Follower struct {
	cfg Config
	// version is the table version after which the next call returns changes.
	version uint64
	// needsFullRead is set if the next call has to read the full table.
	needsFullRead bool
	// readEra is the highest era of a full read.
	readEra replicator.Era
	// failing is set after a failed call until a call succeeds or, while another process follows, the failure expires.
	failing atomic.Bool
	// lastResponse is when the store last responded; nil before the first response.
	lastResponse atomic.Pointer[time.Time]
	// lastCurrent is when the copy of the table was last current: by a response, or while peers supply the rows.
	lastCurrent time.Time
	// lastFailure is when a call last failed.
	lastFailure time.Time
	// failures counts the failed calls since the last response.
	failures int
	// lostAloneSince is when a failed call first showed that the store responds to others; zero if none did since the last
	// response.
	lostAloneSince time.Time
	// retriedEarlyAt is when a backoff was last cut short.
	retriedEarlyAt time.Time
}

// New returns a Follower that starts with a full read.
func New(cfg Config) *Follower {
	if cfg.OnStoreLost == nil {
		cfg.OnStoreLost = func() {}
	}
	if cfg.StoreServesPeers == nil {
		cfg.StoreServesPeers = func(time.Time) bool { return false }
	}
	return &Follower{cfg: cfg, needsFullRead: true, lastCurrent: time.Now()}
}

// Run follows the table until the context ends. The full read takes place whatever ShouldFollow reports.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		// The first row of a new era that a peer sends is followed by a full read: the peer may not know of all rows that the
		// store has lost, and the era may be false.
		if replicator.EraOf(f.cfg.Replicator.Version(f.cfg.Table)) > f.readEra {
			f.needsFullRead = true
		}
		if !f.needsFullRead && !f.cfg.ShouldFollow() {
			f.idle(ctx)
			continue
		}
		started := time.Now()
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.backOff(ctx, f.recordFailure(err), started)
			continue
		}
		waiter.For(ctx, callInterval)
	}
	return nil
}

// backOff waits before the next call after one that has failed. If another process gets a response meanwhile, the store is
// probably back: the wait then ends early, but seldom, since the store may refuse this process only.
func (f *Follower) backOff(ctx context.Context, wait time.Duration, failedCall time.Time) {
	end := time.Now().Add(wait)
	for {
		left := time.Until(end)
		if !waiter.For(ctx, min(left, minBackoff)) || left <= minBackoff {
			return
		}
		if now := time.Now(); now.Sub(f.retriedEarlyAt) >= earlyRetryInterval && f.cfg.StoreServesPeers(failedCall) {
			f.retriedEarlyAt = now
			return
		}
	}
}

// idle waits for idlePollInterval while another process follows the store. Rows from peers count as read, so that
// following continues after them.
func (f *Follower) idle(ctx context.Context) {
	waiter.For(ctx, idlePollInterval)
	f.version = max(f.version, f.cfg.Replicator.Version(f.cfg.Table))
	f.lastCurrent = time.Now()
	if f.lastCurrent.Sub(f.lastFailure) > failureExpiry {
		f.failing.Store(false)
	}
}

// StoreLost reports whether the last call to the store failed. It may be called concurrently.
func (f *Follower) StoreLost() bool {
	return f.failing.Load()
}

// LastResponse returns when the store last responded to this process; zero if it never did. It may be called
// concurrently.
func (f *Follower) LastResponse() time.Time {
	if at := f.lastResponse.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// poll makes one call to the store and passes the rows to the replicator.
func (f *Follower) poll(ctx context.Context) error {
	started := time.Now()
	if f.needsFullRead {
		known := f.cfg.Replicator.Version(f.cfg.Table)
		rows, version, err := f.cfg.Store.Read(ctx, f.cfg.Table)
		if err != nil {
			return err
		}
		f.recordSuccess(started)
		era := replicator.EraOf(version)
		if era < replicator.EraOf(known) {
			f.cfg.Log.Event(logger.EventEraDisproven).Str("table", string(f.cfg.Table)).Uint64("era", uint64(era)).
				Uint64("copyEra", uint64(replicator.EraOf(known))).Send()
			f.cfg.Replicator.Disprove(time.Now(), f.cfg.Table, era)
		}
		f.readEra = max(f.readEra, era)
		f.logIgnored(f.cfg.Replicator.Replace(time.Now(), f.cfg.Table, rows, version, f.cfg.DeferDeletions))
		f.needsFullRead, f.version = false, version
		return nil
	}
	rows, version, err := f.cfg.Store.Follow(ctx, f.cfg.Table, f.version, longPollTimeout)
	if err != nil {
		return err
	}
	f.recordSuccess(started)
	f.logIgnored(f.cfg.Replicator.Merge(time.Now(), f.cfg.Table, rows, f.cfg.DeferDeletions))
	f.version = version
	return nil
}

// logIgnored logs the number of rows that the replicator ignored, and the last of them.
func (f *Follower) logIgnored(rows []replicator.Row) {
	if len(rows) == 0 {
		return
	}
	last := rows[len(rows)-1]
	f.cfg.Log.Event(logger.EventRowsIgnored).Str("table", string(f.cfg.Table)).Str("key", last.Key).
		Str("version", replicator.VersionText(last.Version)).
		Str("copyVersion", replicator.VersionText(f.cfg.Replicator.Version(f.cfg.Table))).
		Int("rows", len(rows)).Send()
}

// recordSuccess updates the state after the response to a call. It notifies the replicator if an outage of the platform
// has ended.
func (f *Follower) recordSuccess(started time.Time) {
	now := time.Now()
	outage := now.Sub(f.lastCurrent)
	lostAlone := !f.lostAloneSince.IsZero() && started.Sub(f.lostAloneSince) >= lostAloneFor
	f.lastCurrent = now
	f.lostAloneSince = time.Time{}
	f.lastResponse.Store(&now)
	f.failures = 0
	if !f.failing.CompareAndSwap(true, false) {
		return
	}
	if outage > outageAfter && !lostAlone {
		f.cfg.Replicator.PlatformRecovered(now)
	}
	f.cfg.Log.Event(logger.EventStoreAvailable).Str("table", string(f.cfg.Table)).Dur("awayMs", outage).
		Bool("lostAlone", lostAlone).Str("version", replicator.VersionText(f.version)).Send()
}

// recordFailure updates the state after a failed call and returns the time before the next one. The shift is capped, so
// that the backoff cannot overflow.
func (f *Follower) recordFailure(err error) time.Duration {
	if errors.Is(err, replicator.ErrHistoryLost) {
		f.cfg.Log.Event(logger.EventHistoryLost).Str("table", string(f.cfg.Table)).
			Str("version", replicator.VersionText(f.version)).AnErr("error", err).Send()
		f.needsFullRead = true
		return minBackoff
	}
	f.cfg.Meter.Increment(meter.StoreFailures)
	f.failures++
	f.lastFailure = time.Now()
	if f.lostAloneSince.IsZero() && f.cfg.StoreServesPeers(f.lastCurrent.Add(lostAloneAfter)) {
		f.lostAloneSince = f.lastFailure
	}
	if f.failing.CompareAndSwap(false, true) {
		f.cfg.Log.Event(logger.EventStoreUnavailable).Str("table", string(f.cfg.Table)).AnErr("error", err).
			Str("version", replicator.VersionText(f.version)).Send()
		f.cfg.OnStoreLost()
	}
	return min(minBackoff<<min(f.failures, 8), maxBackoff)
}
