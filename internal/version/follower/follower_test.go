package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/logger"
	"currantledge.example/currantledge/internal/process/meter"
	"currantledge.example/currantledge/internal/version/follower"
	"currantledge.example/currantledge/internal/version/replicator"
)

const table = replicator.Table("t")

// store is a fake of the platform's store with one table.
type store struct {
	mu      sync.Mutex
	rows    []replicator.Row
	version uint64
	err     error
	reads   int
	follows int
}

func (s *store) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, replicator.Row{Key: key, Version: s.version})
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = []replicator.Row{{Key: key, Version: s.version, Deleted: true}}
}

func (s *store) fail(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *store) Read(context.Context, replicator.Table) ([]replicator.Row, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return s.rows, s.version, s.err
}

func (s *store) Follow(ctx context.Context, _ replicator.Table, after uint64, wait time.Duration) ([]replicator.Row, uint64, error) {
	deadline := time.Now().Add(wait)
	for {
		s.mu.Lock()
		s.follows++
		rows, version, err := s.rows, s.version, s.err
		s.mu.Unlock()
		if err != nil || version > after || time.Now().After(deadline) {
			return rows, version, err
		}
		select {
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// calls returns the numbers of reads and follows.
func (s *store) calls() (int, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.follows
}

// startFollower runs a follower until the test ends.
func startFollower(t *testing.T, s *store, shouldFollow func() bool) (*follower.Follower, *replicator.Replicator) {
	t.Helper()
	r := replicator.New(replicator.Config{})
	f := follower.New(follower.Config{
		Store: s, Replicator: r, Table: table, ShouldFollow: shouldFollow, Log: logger.Discard(), Meter: meter.New(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { _ = f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return f, r
}

func always() bool { return true }

// Guards against changes that arrive late, and against a copy that stays outdated after the platform has dropped the
// history of the table.
func TestChangesArrive(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.put("a")
		_, r := startFollower(t, s, always)
		time.Sleep(time.Second)
		s.put("b")
		time.Sleep(300 * time.Millisecond)
		require.Len(t, r.Rows(table), 2)
		s.fail(replicator.ErrHistoryLost)
		time.Sleep(time.Second)
		s.put("c")
		s.fail(nil)
		time.Sleep(2 * time.Second)
		require.Len(t, r.Rows(table), 3)
		reads, _ := s.calls()
		require.Greater(t, reads, 1)
	})
}

// Guards against a gateway that calls an unavailable store without backoff, or does not notice that it has recovered.
func TestBackoffAndRecovery(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.put("a")
		f, r := startFollower(t, s, always)
		time.Sleep(time.Second)
		s.fail(replicator.ErrRefused)
		time.Sleep(2 * time.Second)
		require.True(t, f.StoreLost())
		_, before := s.calls()
		time.Sleep(10 * time.Second)
		_, after := s.calls()
		// The longest backoff of 800 ms allows 12 or 13 calls in 10 s.
		require.LessOrEqual(t, after-before, 15)
		s.fail(nil)
		s.put("b")
		time.Sleep(time.Second)
		require.False(t, f.StoreLost())
		require.Len(t, r.Rows(table), 2)
	})
}

// Guards against calls to the store that grow with the fleet, and against missed changes when a gateway has to follow
// the store again after it has received rows from peers.
func TestFollowsOnlyWhenRequired(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		s := &store{}
		s.put("a")
		var mu sync.Mutex
		shouldFollow := false
		_, r := startFollower(t, s, func() bool {
			mu.Lock()
			defer mu.Unlock()
			return shouldFollow
		})
		time.Sleep(time.Second)
		_, before := s.calls()
		time.Sleep(5 * time.Second)
		_, after := s.calls()
		require.Equal(t, before, after)
		require.Len(t, r.Rows(table), 1)
		s.put("b")
		r.Merge(time.Now(), table, []replicator.Row{{Key: "b", Version: 2}}, false)
		mu.Lock()
		shouldFollow = true
		mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		s.put("c")
		time.Sleep(500 * time.Millisecond)
		require.Len(t, r.Rows(table), 3)
	})
}

// Guards against a gateway that defers deletions after it alone has lost the store, and thus uses upstreams that are gone,
// and against one that does not defer them after an outage of the platform, whose end others may notice first.
func TestDeletionsAreDeferredAfterOutagesOfThePlatformOnly(t *testing.T) {
	t.Parallel()
	for name, tt := range map[string]struct {
		// peersServed is when the store responds to another gateway again, after its loss.
		peersServed time.Duration
		deferred    bool
		// unchanged is how long after the return of the store the table does not change.
		unchanged time.Duration
	}{
		"lost alone":                 {peersServed: 0, deferred: false},
		"outage, others served":      {peersServed: 7500 * time.Millisecond, deferred: true},
		"outage, others not served":  {peersServed: time.Hour, deferred: true},
		"outage, response waits":     {peersServed: 7500 * time.Millisecond, deferred: true, unchanged: 1200 * time.Millisecond},
		"others served long earlier": {peersServed: 4 * time.Second, deferred: false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				s := &store{}
				s.put("a")
				r := replicator.New(replicator.Config{})
				started := time.Now()
				const lostAt, lostFor = time.Second, 8 * time.Second
				f := follower.New(follower.Config{
					Store: s, Replicator: r, Table: table, ShouldFollow: always, DeferDeletions: true,
					StoreServesPeers: func(since time.Time) bool {
						at := time.Since(started)
						return since.Before(started.Add(lostAt)) || at >= lostAt+tt.peersServed && since.Before(time.Now())
					},
					Log: logger.Discard(), Meter: meter.New(),
				})
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				running.Go(func() { _ = f.Run(ctx) })
				time.Sleep(lostAt)
				s.fail(replicator.ErrRefused)
				time.Sleep(lostFor)
				s.fail(nil)
				time.Sleep(tt.unchanged)
				s.remove("a")
				time.Sleep(time.Second)
				require.Equal(t, tt.deferred, len(r.Rows(table)) == 1)
				cancel()
				running.Wait()
			})
		})
	}
}

// Guards against a configuration, or the end of an upstream, that is noticed late after an outage since the process waits
// although others have shown that the store is back, and against many calls to a store that refuses this process only.
func TestBackoffEndsWhenTheStoreServesOthers(t *testing.T) {
	t.Parallel()
	for _, aloneLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			const lostAt, backAt = time.Second, 9 * time.Second
			s := &store{}
			s.put("a")
			r := replicator.New(replicator.Config{})
			started := time.Now()
			f := follower.New(follower.Config{
				Store: s, Replicator: r, Table: table, ShouldFollow: always,
				StoreServesPeers: func(time.Time) bool { at := time.Since(started); return aloneLost || at < lostAt || at >= backAt },
				Log:              logger.Discard(), Meter: meter.New(),
			})
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { _ = f.Run(ctx) })
			time.Sleep(lostAt)
			s.fail(replicator.ErrRefused)
			time.Sleep(backAt - lostAt - time.Millisecond)
			_, follows := s.calls()
			if aloneLost {
				require.LessOrEqual(t, follows, 120, "about 100 during the first second, then 1.25 a second and one in two seconds")
			}
			s.fail(nil)
			s.put("b")
			time.Sleep(200 * time.Millisecond)
			if !aloneLost {
				require.Len(t, r.Rows(table), 2)
			}
			cancel()
			running.Wait()
		})
	}
}
