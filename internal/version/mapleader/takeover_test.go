package mapleader_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"currantledge.example/currantledge/internal/process/identifier"
	"currantledge.example/currantledge/internal/version/mapleader"
	"currantledge.example/currantledge/internal/version/mapswitcher"
)

// Guards against successive leaders that hold a group before the same steps: terms count the acquisitions.
func TestTermsCountLeaders(t *testing.T) {
	t.Parallel()
	f := newFixture()
	require.True(t, acquire(t, f.a))
	require.EqualValues(t, 1, f.a.Term())
	f.now += time.Second
	_, err := f.a.Renew(t.Context())
	require.NoError(t, err)
	require.EqualValues(t, 1, f.a.Term())
	f.dead = true
	require.True(t, acquire(t, f.b))
	require.EqualValues(t, 2, f.b.Term())
	require.NoError(t, f.b.Release(t.Context()))
	require.True(t, acquire(t, f.a))
	require.EqualValues(t, 3, f.a.Term())
}

// Guards against a former leader that goes on because it has heard of its successor neither from the store nor from its own
// clock.
func TestDoubtedLeaseIsHeldOnlyAfterAWrite(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		change func(*fixture)
		held   bool
	}{
		"still the holder": {func(*fixture) {}, true},
		"another holder":   {func(f *fixture) { f.dead = true; require.True(t, acquire(t, f.b)) }, false},
		"no store":         {func(f *fixture) { f.store.refused["a"] = true }, false},
		"outage":           {func(f *fixture) { f.store.refused["a"] = true; f.a.Extend() }, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture()
			require.True(t, acquire(t, f.a))
			f.a.Doubt()
			require.False(t, f.a.Held())
			test.change(f)
			held, _ := f.a.Renew(t.Context())
			require.Equal(t, test.held, held)
			require.Equal(t, test.held, f.a.Held())
		})
	}
}

// Guards against a leader that takes its lease for confirmed although another one may lead.
func TestLeaseIsConfirmedByAWrite(t *testing.T) {
	t.Parallel()
	f := newFixture()
	confirm := func() bool {
		confirmed, _ := f.a.Confirm(t.Context())
		return confirmed
	}
	require.False(t, confirm(), "not acquired")
	require.True(t, acquire(t, f.a))
	fence := f.a.Fence()
	require.True(t, confirm())
	require.Greater(t, f.a.Fence(), fence)
	f.store.refused["a"] = true
	require.False(t, confirm())
	f.a.Extend()
	require.True(t, confirm(), "no gateway can acquire the lease during an outage")
	f.now += 2 * time.Second
	require.False(t, confirm(), "extended too long ago")
	delete(f.store.refused, "a")
	f.dead = true
	require.True(t, acquire(t, f.b))
	require.False(t, confirm())
	require.False(t, f.a.Held())
}

// Guards against a leader of the past that ends the hold of the next one while it does not reach the store, and against a
// group that stays held during an outage.
func TestHoldOfAnotherLeaderIsEndedOnlyByAConfirmedOne(t *testing.T) {
	t.Parallel()
	for _, down := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			engines := &haltingEngines{holds: map[string]identifier.Step{}}
			engines.held, engines.armed = map[string]bool{}, map[string]bool{}
			f := newFixture()
			f.clock = func() time.Duration { return time.Since(started) }
			f.platformDown = down
			stop := startLeader(t, newHaltingLeader(f, engines))
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { engines.run(ctx) })
			defer running.Wait()
			defer cancel()
			time.Sleep(2 * time.Second)
			f.store.refuse("a")
			if down {
				f.store.refuse("b")
			}
			engines.setBusy(true)
			// A step that the leader under test does not name: its term is 1.
			engines.place("1", 5)
			held := engines.currentStep() + 4
			time.Sleep(1800 * time.Millisecond)
			require.LessOrEqual(t, engines.currentStep(), held)
			time.Sleep(4 * time.Second)
			require.Equal(t, down, engines.currentStep() > held, "platform down: %v", down)
			stop()
		})
	}
}

// followedEngines is a fake of a group on whose ranks a later leader has prepared a map, once followed is set.
type followedEngines struct {
	*fakeEngines
	followed atomic.Bool
}

// laterVersion is higher than all versions of the leader under test.
const laterVersion = 1 << 50

func (e *followedEngines) Report(ctx context.Context, m mapswitcher.Member) (mapswitcher.Report, error) {
	report, err := e.fakeEngines.Report(ctx, m)
	if e.followed.Load() {
		report.Prepared = laterVersion
	}
	return report, err
}

func (e *followedEngines) Order(ctx context.Context, m mapswitcher.Member, epoch mapswitcher.Epoch, o mapswitcher.Order) (mapswitcher.Status, error) {
	if _, is := o.(mapswitcher.Prepare); is && e.followed.Load() {
		return mapswitcher.StatusConflict, nil
	}
	return e.fakeEngines.Order(ctx, m, epoch, o)
}

// Guards against a former leader that goes on with its switches after ranks have shown it that another one has followed, and
// against one that stops for good although the store confirms its lease.
func TestFollowedLeaderStopsUntilItsLeaseIsConfirmed(t *testing.T) {
	t.Parallel()
	for _, refused := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			f := newFixture()
			f.clock = func() time.Duration { return time.Since(started) }
			engines := &followedEngines{fakeEngines: &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}, popular: true, otherRate: 0.1}}
			cfg := leaderConfig(f, engines.fakeEngines)
			cfg.Engines = engines
			l := mapleader.New(cfg)
			stop := startLeader(t, l)
			time.Sleep(300 * time.Millisecond)
			require.True(t, l.Leading())
			if refused {
				f.store.refuse("a")
			}
			engines.followed.Store(true)
			stopped := 0
			for range 15 {
				time.Sleep(100 * time.Millisecond)
				if !l.Leading() {
					stopped++
				}
			}
			require.Positive(t, stopped)
			engines.followed.Store(false)
			time.Sleep(time.Second)
			require.Equal(t, !refused, l.Leading())
			stop()
		})
	}
}

// Guards against two leaders for as long as the platform is away: another gateway may have acquired the lease just before.
func TestLeaseIsNotExtendedWhileAnotherGatewayLeads(t *testing.T) {
	t.Parallel()
	for _, peerLeads := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			started := time.Now()
			f := newFixture()
			f.clock = func() time.Duration { return time.Since(started) }
			f.platformDown = true
			var hasPeer atomic.Bool
			cfg := leaderConfig(f, &fakeEngines{held: map[string]bool{}, armed: map[string]bool{}})
			cfg.PeerLeads = hasPeer.Load
			l := mapleader.New(cfg)
			stop := startLeader(t, l)
			time.Sleep(time.Second)
			require.True(t, l.Leading())
			f.store.refuse("a")
			hasPeer.Store(peerLeads)
			time.Sleep(6 * time.Second)
			require.Equal(t, !peerLeads, l.Leading())
			stop()
		})
	}
}
