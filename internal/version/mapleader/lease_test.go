package mapleader_test

import (
	"bytes"
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/replicator"
)

// store is a fake of the platform's store with one row.
type store struct {
	mu  sync.Mutex
	row replicator.Row
	// lastVersion is the counter of the last write. Counters are not consecutive.
	lastVersion uint64
	era         replicator.Era
	// reads counts the reads of the row.
	reads int
	// refused holds the nodes whose calls fail, and refusedAt is when the first of these writes took place.
	refused   map[identifier.Node]bool
	refusedAt time.Time
	// silent makes the calls of refused nodes fail only when their context or silentTimeout ends.
	silent bool
	// loseResponses makes writes take effect but return an error.
	loseResponses bool
}

// silentTimeout is the store client's own timeout of a call.
const silentTimeout = 1500 * time.Millisecond

var errResponseLost = errors.New("response lost")

func (s *store) refuse(node identifier.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = true
}

// nodeStore is the store as one node calls it.
type nodeStore struct {
	*store
	node identifier.Node
}

func (s nodeStore) ReadRow(context.Context, replicator.Table, string) (replicator.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.refused[s.node] {
		return replicator.Row{}, replicator.ErrRefused
	}
	if s.row.Version == 0 {
		return replicator.Row{Version: replicator.NewVersion(s.era, 0)}, nil
	}
	return s.row, nil
}

func (s nodeStore) Write(ctx context.Context, _ replicator.Table, key string, value []byte, expected uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[s.node] {
		if s.refusedAt.IsZero() {
			s.refusedAt = time.Now()
		}
		if s.silent {
			s.mu.Unlock()
			select {
			case <-ctx.Done():
			case <-time.After(silentTimeout):
			}
			s.mu.Lock()
		}
		return 0, replicator.ErrRefused
	}
	if s.row.Version != expected && (s.row.Version != 0 || replicator.CounterOf(expected) != 0) {
		return 0, replicator.ErrConflict
	}
	s.lastVersion += 7
	s.row = replicator.Row{Key: key, Value: value, Version: replicator.NewVersion(s.era, s.lastVersion)}
	if s.loseResponses {
		return 0, errResponseLost
	}
	return s.row.Version, nil
}

// fixture holds the leases of two nodes on one row and their clock.
type fixture struct {
	// log receives the lines of the leader.
	log   bytes.Buffer
	store *store
	// meter is the one of the last leader that newSpoilingLeader has returned.
	meter *meter.Meter
	now   time.Duration
	// clock returns now, or the time since the start of a test with a simulated clock.
	clock func() time.Duration
	// resigned is the version that its holder has announced as resigned, or 0.
	resigned uint64
	// dead is the result of Dead for both nodes.
	dead bool
	// platformDown is the result of PlatformDown for the leader; StoreServesPeers returns the opposite.
	platformDown bool
	// peerResponseDelay is how long after the first refused call the store last responds to another gateway.
	peerResponseDelay time.Duration
	// notCandidate keeps the leader from acquiring a free lease.
	notCandidate bool
	a, b         *mapleader.Lease
}

func newFixture() *fixture {
	f := &fixture{store: &store{refused: map[identifier.Node]bool{}}}
	f.clock = func() time.Duration { return f.now }
	lease := func(node identifier.Node) *mapleader.Lease {
		return mapleader.NewLease(mapleader.LeaseConfig{
			Store: nodeStore{f.store, node}, Node: node, Incarnation: 1,
			Now:      func() time.Duration { return f.clock() },
			Dead:     func(identifier.Node, identifier.Incarnation) bool { return f.dead },
			Resigned: func(version uint64) bool { return f.resigned != 0 && f.resigned == version },
		})
	}
	f.a, f.b = lease("a"), lease("b")
	return f
}

// peerRespondedAt returns when the store last responded to another gateway; zero if peerResponseDelay is not set.
func (f *fixture) peerRespondedAt() time.Time {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	if f.peerResponseDelay == 0 || f.store.refusedAt.IsZero() {
		return time.Time{}
	}
	return f.store.refusedAt.Add(f.peerResponseDelay)
}

func acquire(t *testing.T, l *mapleader.Lease) bool {
	t.Helper()
	acquired, err := l.Acquire(t.Context())
	require.NoError(t, err)
	return acquired
}

// Guards against two holders at a time, and against a lease that stays free after its holder has stopped renewing it.
func TestLeaseHasOneHolder(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	for range 20 {
		f.now += 500 * time.Millisecond
		held, err := f.a.Renew(t.Context())
		require.NoError(t, err)
		require.True(t, held)
		require.False(t, acquire(t, f.b))
	}
	waited := time.Duration(0)
	for ; !acquire(t, f.b); waited += 100 * time.Millisecond {
		f.now += 100 * time.Millisecond
		require.Less(t, waited, 6*time.Second)
	}
	require.False(t, f.a.Held())
	require.True(t, f.b.Held())
	held, err := f.a.Renew(t.Context())
	require.NoError(t, err)
	require.False(t, held)
}

// Guards against a VM that still considers itself the holder after it was suspended for longer than the term.
func TestSuspendedHolderStops(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	f.now += 5 * time.Second
	require.False(t, f.a.Held())
}

// Guards against a lease that is lost, or held without the holder's knowledge, because the response to a write was
// lost.
func TestLostResponseIsResolvedByReading(t *testing.T) {
	t.Parallel()
	f := newFixture()
	f.store.loseResponses = true
	_, err := f.a.Acquire(t.Context())
	require.Error(t, err)
	require.False(t, f.a.Held())
	f.store.loseResponses = false
	require.True(t, acquire(t, f.a))
	require.False(t, acquire(t, f.b))
	f.now += time.Second
	f.store.loseResponses = true
	_, err = f.a.Renew(t.Context())
	require.Error(t, err)
	f.store.loseResponses = false
	held, err := f.a.Renew(t.Context())
	require.NoError(t, err)
	require.True(t, held)
	require.True(t, f.a.Held())
}

// Guards against seconds without a leader while the platform refuses only the calls of the leader's VM.
func TestRefusedLeaderResigns(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	f.store.refused["a"] = true
	f.now += 2 * time.Second
	require.False(t, f.a.Resign())
	f.now += time.Second
	require.True(t, f.a.Resign())
	require.False(t, f.a.Held())
	require.False(t, acquire(t, f.b))
	f.resigned = f.a.Resigned()
	require.True(t, acquire(t, f.b))
	require.Greater(t, f.b.Fence(), f.resigned)
}

// Guards against a group that stays held until the term ends because its leader died.
func TestDeadHolderIsReplacedAtOnce(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	require.False(t, acquire(t, f.b))
	f.dead = true
	require.True(t, acquire(t, f.b))
}

// Guards against a graceful stop that leaves the groups without a leader until the term ends.
func TestReleasedLeaseIsFree(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	require.NoError(t, f.a.Release(t.Context()))
	require.True(t, acquire(t, f.b))
}

// Guards against groups without a leader during a platform outage, when demand still shifts, and against a suspended VM
// that extends its lease after the term has ended.
func TestLeaseIsExtendedDuringOutage(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	f.store.refused["a"], f.store.refused["b"] = true, true
	for range 20 {
		f.now += time.Second
		f.a.Extend()
		require.True(t, f.a.Held())
		_, err := f.b.Acquire(t.Context())
		require.Error(t, err)
	}
	f.now += 5 * time.Second
	f.a.Extend()
	require.False(t, f.a.Held())
}

// Guards against a leader that stops at the end of its term while the platform responds to no gateway, and against one
// that keeps leading although the platform may respond to another gateway.
func TestLeaderKeepsLeadingDuringOutage(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			f := newFixture()
			f.clock = func() time.Duration { return time.Since(started) }
			f.platformDown = down
			ctx, cancel := context.WithCancel(t.Context())
			l := newLeader(f, &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}})
			var running sync.WaitGroup
			running.Go(func() { _ = l.RunLease(ctx) })
			time.Sleep(time.Second)
			require.True(t, l.Leading())
			f.store.refuse("a")
			time.Sleep(8 * time.Second)
			require.Equal(t, down, l.Leading())
			cancel()
			running.Wait()
		})
	}
}

// Guards against a lease that ends during an outage because the store, which does not respond at all, delays the renewals.
func TestLeaderKeepsLeadingWhileStoreIsSilent(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		f := newFixture()
		f.clock = func() time.Duration { return time.Since(started) }
		f.platformDown = true
		ctx, cancel := context.WithCancel(t.Context())
		l := newLeader(f, &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}})
		var running sync.WaitGroup
		running.Go(func() { _ = l.RunLease(ctx) })
		time.Sleep(time.Second)
		require.True(t, l.Leading())
		f.store.mu.Lock()
		f.store.silent = true
		f.store.mu.Unlock()
		f.store.refuse("a")
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, l.Leading())
		}
		cancel()
		running.Wait()
	})
}

// Guards against a leader that resigns at the start of an outage because another gateway's call ended a moment after its
// own had begun.
func TestLeaderKeepsLeadingWhenAnOutageBegins(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		f := newFixture()
		f.clock = func() time.Duration { return time.Since(started) }
		f.platformDown, f.peerResponseDelay = true, 100*time.Millisecond
		ctx, cancel := context.WithCancel(t.Context())
		l := newLeader(f, &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}})
		var running sync.WaitGroup
		running.Go(func() { _ = l.RunLease(ctx) })
		time.Sleep(time.Second)
		require.True(t, l.Leading())
		f.store.refuse("a")
		time.Sleep(8 * time.Second)
		require.True(t, l.Leading())
		cancel()
		running.Wait()
	})
}

// restore returns the store to a row of before, in a new era.
func (s *store) restore(row replicator.Row, counter uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.lastVersion = counter
	s.row = replicator.Row{}
	if row.Version != 0 {
		s.row = replicator.Row{Key: row.Key, Value: row.Value, Version: replicator.NewVersion(s.era, replicator.CounterOf(row.Version))}
	}
}

// Guards against a group that has no leader for a term because the store has forgotten who holds the lease, and against
// fences that fall, so that ranks reject the maps of the next leader.
func TestHolderKeepsTheLeaseWhenTheStoreIsRestored(t *testing.T) {
	t.Parallel()
	for name, played := range map[string]func(*testing.T, *fixture) replicator.Row{
		"row of the holder": func(t *testing.T, f *fixture) replicator.Row {
			t.Helper()
			require.True(t, acquire(t, f.a))
			return f.store.row
		},
		"row of an earlier holder": func(t *testing.T, f *fixture) replicator.Row {
			t.Helper()
			require.True(t, acquire(t, f.b))
			row := f.store.row
			require.NoError(t, f.b.Release(t.Context()))
			require.True(t, acquire(t, f.a))
			return row
		},
		"released row": func(t *testing.T, f *fixture) replicator.Row {
			t.Helper()
			require.True(t, acquire(t, f.b))
			require.NoError(t, f.b.Release(t.Context()))
			row := f.store.row
			require.True(t, acquire(t, f.a))
			return row
		},
		"no row": func(t *testing.T, f *fixture) replicator.Row {
			t.Helper()
			require.True(t, acquire(t, f.a))
			return replicator.Row{}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture()
			f.store.era = 1
			row := played(t, f)
			counter := f.store.lastVersion
			renew := func() bool {
				f.now += time.Second
				held, err := f.a.Renew(t.Context())
				require.NoError(t, err)
				return held
			}
			for range 9 {
				require.True(t, renew())
			}
			fence := f.a.Fence()
			f.store.restore(row, counter)
			require.True(t, renew())
			require.True(t, renew())
			require.False(t, acquire(t, f.b))
			require.NoError(t, f.a.Release(t.Context()))
			require.True(t, acquire(t, f.b))
			require.Greater(t, f.b.Fence(), fence)
		})
	}
}

// Guards against two holders after the holder was cut off while the store was restored and another process acquired the
// lease.
func TestLeaseAcquiredSinceTheRestorationCounts(t *testing.T) {
	t.Parallel()
	f := newFixture()
	f.store.era = 1
	require.True(t, acquire(t, f.a))
	row, counter := f.store.row, f.store.lastVersion
	f.now += time.Second
	held, err := f.a.Renew(t.Context())
	require.NoError(t, err)
	require.True(t, held)
	f.store.restore(row, counter)
	f.dead = true
	require.True(t, acquire(t, f.b))
	f.now += time.Second
	held, err = f.a.Renew(t.Context())
	require.NoError(t, err)
	require.False(t, held)
	require.True(t, f.b.Held())
}
